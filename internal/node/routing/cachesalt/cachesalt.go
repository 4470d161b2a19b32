// Package cachesalt computes the salts that separate entries of prefix caches that must not be
// shared (RULES.md, STALE and WALL).
//
// A broker finds cached parts of prompts only under the same salt under which they were computed. A
// salt contains the model, the version of its weights and, for an isolated tenant, the tenant.
// Invariant: different triples of model, version and tenant have different texts.
package cachesalt

import (
	"strconv"
	"strings"
)

// separator stands between the fields of a salt. Escaped names never contain it.
const separator = '|'

// Text returns the value of the Cache-Salt header. tenant is empty unless the request's tenant is
// isolated.
func Text(model string, version uint64, tenant string) string {
	var text strings.Builder
	text.Grow(len(model) + len(tenant) + 12)
	writeEscaped(&text, model)
	text.WriteByte(separator)
	text.WriteString(strconv.FormatUint(version, 10))
	if tenant != "" {
		text.WriteByte(separator)
		writeEscaped(&text, tenant)
	}
	return text.String()
}

// writeEscaped writes a name with special bytes escaped, so that different names have different
// texts and none contains the separator.
func writeEscaped(text *strings.Builder, name string) {
	const hex = "0123456789abcdef"
	for i := range len(name) {
		c := name[i]
		if isPlain(c) {
			text.WriteByte(c)
			continue
		}
		text.WriteByte('%')
		text.WriteByte(hex[c>>4])
		text.WriteByte(hex[c&15])
	}
}

// isPlain reports whether a byte is written to a salt without escaping.
func isPlain(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// ID returns the number by which proxies and package kvindex refer to a salt: the FNV-1a hash of
// its text.
func ID(salt string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(salt) {
		hash ^= uint64(salt[i])
		hash *= prime
	}
	return hash
}
