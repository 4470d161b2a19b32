package config

import (
	"strconv"

	"kestrelspread/internal/node/config/rawjson"
)

// fieldReader takes typed fields out of an item and remembers the first that has another type. A null leaves a field as
// it is.
type fieldReader struct {
	item  ItemPath
	steps []pathStep // to the object or list that is being read
	err   error
}

func (r *fieldReader) fail(wanted string, steps ...pathStep) {
	if r.err == nil {
		r.err = invalid(fieldPath(r.item, append(r.steps, steps...)...), "must be %s", wanted)
	}
}

func (r *fieldReader) text(name, value []byte, into *string) {
	switch {
	case rawjson.IsString(value):
		*into = rawjson.String(value)
	case !rawjson.IsNull(value):
		r.fail("a string", pathStep{name: string(name)})
	}
}

func (r *fieldReader) flag(name, value []byte, into *bool) {
	switch string(value) {
	case "true":
		*into = true
	case "false":
		*into = false
	case "null":
	default:
		r.fail("true or false", pathStep{name: string(name)})
	}
}

func (r *fieldReader) number(name, value []byte, into *float64) {
	if rawjson.IsNull(value) {
		return
	}
	parsed, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		r.fail("a number", pathStep{name: string(name)})
		return
	}
	*into = parsed
}

func (r *fieldReader) whole(name, value []byte, into *int) {
	wide := int64(*into)
	r.whole64(name, value, &wide)
	*into = int(wide)
}

func (r *fieldReader) whole64(name, value []byte, into *int64) {
	if rawjson.IsNull(value) {
		return
	}
	parsed, ok := rawjson.Whole(value)
	if !ok {
		r.fail("a whole number", pathStep{name: string(name)})
		return
	}
	*into = parsed
}

// object calls visit for each member of the object at step; the fields that visit takes stand below it.
func (r *fieldReader) object(step pathStep, value []byte, visit func(name, value []byte)) {
	if rawjson.IsNull(value) {
		return
	}
	if !rawjson.IsObject(value) {
		r.fail("an object", step)
		return
	}
	r.steps = append(r.steps, step)
	r.members(value, visit)
	r.steps = r.steps[:len(r.steps)-1]
}

// members calls visit for each member of an object.
func (r *fieldReader) members(object []byte, visit func(name, value []byte)) {
	_ = rawjson.EachMember(object, func(name, value []byte) error {
		visit(name, value)
		return r.err
	})
}

// list calls visit for each element of the list of that name; what visit takes stands below the list.
func (r *fieldReader) list(name, value []byte, visit func(step pathStep, value []byte)) {
	if rawjson.IsNull(value) {
		return
	}
	if !rawjson.IsArray(value) {
		r.fail("a list", pathStep{name: string(name)})
		return
	}
	r.steps = append(r.steps, pathStep{name: string(name)})
	_ = rawjson.EachElement(value, func(index int, element []byte) error {
		visit(pathStep{index: index}, element)
		return r.err
	})
	r.steps = r.steps[:len(r.steps)-1]
}
