package config

import "strconv"

// ItemPath is the position of an item in what an operator sent, as "upsert.routes[3]".
type ItemPath struct {
	List  string // path of the list, or of the item itself where Index is notListed
	Index int    // from 0
}

// notListed is the index of an item that is not an element of a list.
const notListed = -1

// String returns the path as error messages show it.
func (p ItemPath) String() string {
	if p.Index == notListed {
		return p.List
	}
	return p.List + "[" + strconv.Itoa(p.Index) + "]"
}

// pathStep is one step from an item to a field within it: a name, or an index where the name is
// empty.
type pathStep struct {
	name  string
	index int
}

// fieldPath returns the path of a field. It allocates, and is for error messages only.
func fieldPath(item ItemPath, steps ...pathStep) string {
	path := item.String()
	for _, step := range steps {
		if step.name != "" {
			path += "." + step.name
		} else {
			path += "[" + strconv.Itoa(step.index) + "]"
		}
	}
	return path
}
