package config

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// The functions of this file split JSON text that compactJSON has checked, without decoding it: items are kept as they
// were sent. Names of members are compared exactly, unlike in encoding/json; of two members with one name, the last
// counts.

// compactJSON checks that text is one whole JSON value in UTF-8 and returns it without white space.
func compactJSON(text []byte) ([]byte, error) {
	if !utf8.Valid(text) {
		return nil, invalid("body", "not UTF-8")
	}
	var compacted bytes.Buffer
	compacted.Grow(len(text))
	if err := json.Compact(&compacted, text); err != nil {
		return nil, invalid("body", "not readable: %v", err)
	}
	return compacted.Bytes(), nil
}

// valueEnd returns the length of the JSON value that text begins with.
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

func scalarEnd(text []byte) int {
	for i, c := range text {
		if c == ',' || c == '}' || c == ']' {
			return i
		}
	}
	return len(text)
}

// eachMember calls visit with each member of a compact JSON object, until visit fails.
func eachMember(object []byte, visit func(name string, value []byte) error) error {
	rest := object[1:]
	for len(rest) > 0 && rest[0] != '}' {
		nameEnd := stringEnd(rest)
		name := decodedString(rest[:nameEnd])
		rest = rest[nameEnd+1:]
		end := valueEnd(rest)
		if err := visit(name, rest[:end:end]); err != nil {
			return err
		}
		rest = afterComma(rest[end:])
	}
	return nil
}

// eachElement calls visit with each element of a compact JSON array, until visit fails.
func eachElement(array []byte, visit func(index int, value []byte) error) error {
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

func afterComma(text []byte) []byte {
	if len(text) > 0 && text[0] == ',' {
		return text[1:]
	}
	return text
}

// memberNamed returns the value of an object's member, nil where there is none.
func memberNamed(object []byte, name string) []byte {
	var found []byte
	_ = eachMember(object, func(candidate string, value []byte) error {
		if candidate == name {
			found = value
		}
		return nil
	})
	return found
}

func isNull(value []byte) bool   { return value[0] == 'n' }
func isString(value []byte) bool { return value[0] == '"' }
func isObject(value []byte) bool { return value[0] == '{' }
func isArray(value []byte) bool  { return value[0] == '[' }

// decodedString is the text of a JSON string.
func decodedString(quoted []byte) string {
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	var text string
	_ = json.Unmarshal(quoted, &text) // checked by compactJSON
	return text
}

// decodedWhole is the value of a JSON number without a fraction, as 7, 7.0 or 7e0.
func decodedWhole(number []byte) (int64, bool) {
	if whole, err := strconv.ParseInt(string(number), 10, 64); err == nil {
		return whole, true
	}
	const exactInFloat = 1 << 53
	value, err := strconv.ParseFloat(string(number), 64)
	if err != nil || value != float64(int64(value)) || value > exactInFloat || value < -exactInFloat {
		return 0, false
	}
	return int64(value), true
}

// appendName appends a comma, a member's name and a colon.
func appendName(text []byte, name string) []byte {
	quoted, _ := json.Marshal(name) // strings are always encodable
	text = append(text, ',')
	text = append(text, quoted...)
	return append(text, ':')
}
