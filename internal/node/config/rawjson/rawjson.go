// Package rawjson splits JSON text without decoding it, so that what an operator sent can be kept as it was sent. All
// functions but Compact want text that Compact has returned, or a part of it that they have split off. Names of members
// are compared exactly, unlike in encoding/json; of two members with one name, the last counts.
package rawjson

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/joomcode/errorx"
)

// ErrMalformed is the type of errors about text that is not one JSON value in UTF-8.
var ErrMalformed = errorx.NewNamespace("rawjson").NewType("malformed").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// MaxDepth bounds how deep lists and objects may lie in one another: what reads them recurses.
const MaxDepth = 200

// Compact checks that text is one whole JSON value in UTF-8, no deeper than MaxDepth, and returns a copy of it without
// white space.
func Compact(text []byte) ([]byte, error) {
	if !utf8.Valid(text) {
		return nil, ErrMalformed.New("not UTF-8")
	}
	if depthOf(text) > MaxDepth {
		return nil, ErrMalformed.New("deeper than %d lists and objects", MaxDepth)
	}
	var compacted bytes.Buffer
	compacted.Grow(len(text))
	if err := json.Compact(&compacted, text); err != nil {
		return nil, ErrMalformed.New("%v", err)
	}
	return compacted.Bytes(), nil
}

// EachMember calls visit with each member of an object, until visit fails. Names come decoded, as bytes: a conversion to
// a string that is only compared costs no allocation.
func EachMember(object []byte, visit func(name, value []byte) error) error {
	rest := object[1:]
	for len(rest) > 0 && rest[0] != '}' {
		nameEnd := stringEnd(rest)
		name := decoded(rest[:nameEnd])
		rest = rest[nameEnd+1:]
		end := valueEnd(rest)
		if err := visit(name, rest[:end:end]); err != nil {
			return err
		}
		rest = afterComma(rest[end:])
	}
	return nil
}

// EachElement calls visit with each element of an array, until visit fails.
func EachElement(array []byte, visit func(index int, value []byte) error) error {
	rest := array[1:]
	for index := 0; len(rest) > 0 && rest[0] != ']'; index++ {
		end := valueEnd(rest)
		if err := visit(index, rest[:end:end]); err != nil {
			return err
		}
		rest = afterComma(rest[end:])
	}
	return nil
}

// Member returns the value of an object's member, nil where there is none.
func Member(object []byte, name string) []byte {
	var found []byte
	_ = EachMember(object, func(candidate, value []byte) error {
		if string(candidate) == name {
			found = value
		}
		return nil
	})
	return found
}

// IsNull reports whether a value is null.
func IsNull(value []byte) bool { return value[0] == 'n' }

// IsString reports whether a value is a string.
func IsString(value []byte) bool { return value[0] == '"' }

// IsObject reports whether a value is an object.
func IsObject(value []byte) bool { return value[0] == '{' }

// IsArray reports whether a value is an array.
func IsArray(value []byte) bool { return value[0] == '[' }

// String is the text of a string.
func String(quoted []byte) string { return string(decoded(quoted)) }

// decoded is the text of a string; it may be a part of quoted.
func decoded(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var text string
	_ = json.Unmarshal(quoted, &text) // checked by Compact
	return []byte(text)
}

// Integer is the value of a number without a fraction, as 7, 7.0 or 7e0; false for other values.
func Integer(number []byte) (int64, bool) {
	if integer, err := strconv.ParseInt(string(number), 10, 64); err == nil {
		return integer, true
	}
	const exactInFloat = 1 << 53
	value, err := strconv.ParseFloat(string(number), 64)
	if err != nil || value > exactInFloat || value < -exactInFloat || value != float64(int64(value)) {
		return 0, false
	}
	return int64(value), true
}

// AppendName appends a member's name and a colon to text.
func AppendName(text []byte, name string) []byte {
	quoted, _ := json.Marshal(name) // strings are always encodable
	return append(append(text, quoted...), ':')
}

// valueEnd returns the length of the value that text begins with.
func valueEnd(text []byte) int {
	switch text[0] {
	case '"':
		return stringEnd(text)
	case '{', '[':
		return nestedEnd(text)
	default:
		return scalarEnd(text)
	}
}

func stringEnd(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

func nestedEnd(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringEnd(text[i:]) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(text)
}

// depthOf counts the lists and objects around the innermost value of text, which need not be JSON.
func depthOf(text []byte) int {
	depth, maxDepth := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += stringEnd(text[i:]) - 1
		case '{', '[':
			depth++
			maxDepth = max(maxDepth, depth)
		case '}', ']':
			depth--
		}
	}
	return maxDepth
}

func scalarEnd(text []byte) int {
	for i, c := range text {
		if c == ',' || c == '}' || c == ']' {
			return i
		}
	}
	return len(text)
}

func afterComma(text []byte) []byte {
	if len(text) > 0 && text[0] == ',' {
		return text[1:]
	}
	return text
}
