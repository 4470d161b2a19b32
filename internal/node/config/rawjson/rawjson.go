// Package rawjson splits JSON text without decoding it, so that what an operator sent can be kept
// as it was sent. It is no general decoder: all functions but Compact require text that Compact has
// returned, or a value within it that they have split off, and may panic on anything else. Names of
// members are compared exactly, unlike in encoding/json; of two members with one name, the last
// counts.
package rawjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf8"
)

// MalformedError says why a text is not one JSON value in UTF-8, or too deep.
type MalformedError struct {
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "rawjson: malformed: " + e.Reason }

// MaxDepth bounds the nesting of arrays and objects, as their readers recurse.
const MaxDepth = 200

// Compact checks that text is exactly one JSON value in UTF-8, no deeper than MaxDepth, and returns
// a copy of it without white space. The error is a *MalformedError.
func Compact(text []byte) ([]byte, error) {
	if !utf8.Valid(text) {
		return nil, &MalformedError{Reason: "not UTF-8"}
	}
	if depthOf(text) > MaxDepth {
		return nil, &MalformedError{Reason: fmt.Sprintf("deeper than %d lists and objects", MaxDepth)}
	}
	var compacted bytes.Buffer
	compacted.Grow(len(text))
	if err := json.Compact(&compacted, text); err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	return compacted.Bytes(), nil
}

// EachMember calls visit with each member of an object, until visit fails, and returns visit's
// error. Names are decoded, and bytes because a conversion to a string that is only compared does
// not allocate. Values are slices of object.
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

// EachElement calls visit with each element of an array, until visit fails, and returns visit's
// error. Values are slices of array.
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

// Member returns the value of an object's member; nil: there is none.
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

// String returns the decoded text of a string value.
func String(quoted []byte) string { return string(decoded(quoted)) }

// decoded returns the decoded text of a string value; it may be a slice of quoted.
func decoded(quoted []byte) []byte {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return quoted[1 : len(quoted)-1]
	}
	var text string
	_ = json.Unmarshal(quoted, &text) // checked by Compact
	return []byte(text)
}

// Integer returns the value of a number without a fraction, as 7, 7.0 or 7e0, and whether value is
// one that int64 holds. A number with a point or an exponent must lie within 2^53, where floats are
// exact.
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

// stringEnd returns the length of the string that text begins with, quotes included.
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

// nestedEnd returns the length of the object or array that text begins with.
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

// depthOf returns the deepest nesting of arrays and objects in text, which need not be JSON.
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

// scalarEnd returns the length of the number or literal that text begins with.
func scalarEnd(text []byte) int {
	for i, c := range text {
		if c == ',' || c == '}' || c == ']' {
			return i
		}
	}
	return len(text)
}

// afterComma returns text without the comma that it may begin with.
func afterComma(text []byte) []byte {
	if len(text) > 0 && text[0] == ',' {
		return text[1:]
	}
	return text
}
