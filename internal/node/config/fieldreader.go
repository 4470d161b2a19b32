package config

import (
	"strconv"

	"kestrelspread/internal/node/config/rawjson"
)

// fieldReader reads typed fields of an item, and keeps the error of the first one that has another
// type. A null leaves its destination as it is.
type fieldReader struct {
	item  ItemPath
	steps []pathStep // from the item to the object or list being read
	err   error      // the first
}

func (r *fieldReader) setError(wanted string, steps ...pathStep) {
	if r.err == nil {
		r.err = invalid(fieldPath(r.item, append(r.steps, steps...)...), "must be %s", wanted)
	}
}

func (r *fieldReader) readString(name, value []byte, destination *string) {
	switch {
	case rawjson.IsString(value):
		*destination = rawjson.String(value)
	case !rawjson.IsNull(value):
		r.setError("a string", pathStep{name: string(name)})
	}
}

func (r *fieldReader) readBool(name, value []byte, destination *bool) {
	switch string(value) {
	case "true":
		*destination = true
	case "false":
		*destination = false
	case "null":
	default:
		r.setError("true or false", pathStep{name: string(name)})
	}
}

func (r *fieldReader) readNumber(name, value []byte, destination *float64) {
	if rawjson.IsNull(value) {
		return
	}
	parsed, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		r.setError("a number", pathStep{name: string(name)})
		return
	}
	*destination = parsed
}

func (r *fieldReader) readInt(name, value []byte, destination *int) {
	wide := int64(*destination)
	r.readInt64(name, value, &wide)
	*destination = int(wide)
}

func (r *fieldReader) readInt64(name, value []byte, destination *int64) {
	if rawjson.IsNull(value) {
		return
	}
	parsed, isInteger := rawjson.Integer(value)
	if !isInteger {
		r.setError("a whole number", pathStep{name: string(name)})
		return
	}
	*destination = parsed
}

// readObject calls visit for each member of the object at step; fields that visit reads have paths
// below step.
func (r *fieldReader) readObject(step pathStep, value []byte, visit func(name, value []byte)) {
	if rawjson.IsNull(value) {
		return
	}
	if !rawjson.IsObject(value) {
		r.setError("an object", step)
		return
	}
	r.steps = append(r.steps, step)
	r.readMembers(value, visit)
	r.steps = r.steps[:len(r.steps)-1]
}

// readMembers calls visit for each member of an object, until the first error.
func (r *fieldReader) readMembers(object []byte, visit func(name, value []byte)) {
	_ = rawjson.EachMember(object, func(name, value []byte) error {
		visit(name, value)
		return r.err
	})
}

// readList calls visit for each element of the list named name, until the first error; what visit
// reads has a path below the list.
func (r *fieldReader) readList(name, value []byte, visit func(step pathStep, value []byte)) {
	if rawjson.IsNull(value) {
		return
	}
	if !rawjson.IsArray(value) {
		r.setError("a list", pathStep{name: string(name)})
		return
	}
	r.steps = append(r.steps, pathStep{name: string(name)})
	_ = rawjson.EachElement(value, func(index int, element []byte) error {
		visit(pathStep{index: index}, element)
		return r.err
	})
	r.steps = r.steps[:len(r.steps)-1]
}
