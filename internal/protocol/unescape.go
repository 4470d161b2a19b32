package protocol

import (
	"bytes"
	"unicode/utf8"
)

// unescapeJSON resolves the escape sequences in s, the text between the quotes of a JSON string, and
// reports whether they are valid. Without escapes it returns s itself.
func unescapeJSON(s []byte) ([]byte, bool) {
	if bytes.IndexByte(s, '\\') < 0 {
		return s, true
	}
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out = append(out, s[i])
			continue
		}
		if i++; i >= len(s) {
			return nil, false
		}
		switch c := s[i]; c {
		case '"', '\\', '/':
			out = append(out, c)
		case 'b':
			out = append(out, '\b')
		case 'f':
			out = append(out, '\f')
		case 'n':
			out = append(out, '\n')
		case 'r':
			out = append(out, '\r')
		case 't':
			out = append(out, '\t')
		case 'u':
			r, ok := parseUTF16Unit(s[i+1:])
			if !ok {
				return nil, false
			}
			i += 4
			if r >= 0xd800 && r < 0xdc00 && len(s) > i+2 && s[i+1] == '\\' && s[i+2] == 'u' {
				if low, ok := parseUTF16Unit(s[i+3:]); ok && low >= 0xdc00 && low < 0xe000 {
					r = 0x10000 + (r-0xd800)<<10 + (low - 0xdc00)
					i += 6
				}
			}
			out = utf8.AppendRune(out, r)
		default:
			return nil, false
		}
	}
	return out, true
}

// parseUTF16Unit parses the four hexadecimal digits of a \u escape.
func parseUTF16Unit(s []byte) (r rune, ok bool) {
	if len(s) < 4 {
		return 0, false
	}
	for _, c := range s[:4] {
		d := hexDigit(c)
		if d < 0 {
			return 0, false
		}
		r = r<<4 | rune(d)
	}
	return r, true
}
