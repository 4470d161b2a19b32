package routing

import (
	"strconv"
	"strings"

	"kestrelspread/internal/node/config"
)

// Cache salts keep apart what must not be shared (RULES.md, STALE and WALL): a broker finds kept parts only under the very
// salt under which they were made. A salt names the model and the version of its weights, and for a tenant that is isolated
// the tenant too.
const saltSeparator = '|'

// cacheSalt is the text of the Cache-Salt header. tenant is empty where the request's tenant isn't isolated.
func cacheSalt(model string, version uint64, tenant string) string {
	var text strings.Builder
	text.Grow(len(model) + len(tenant) + 12)
	writeEscaped(&text, model)
	text.WriteByte(saltSeparator)
	text.WriteString(strconv.FormatUint(version, 10))
	if tenant != "" {
		text.WriteByte(saltSeparator)
		writeEscaped(&text, tenant)
	}
	return text.String()
}

// writeEscaped writes a name so that no two names give the same text and none holds the separator.
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

func isPlain(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.'
}

// SaltID is the number under which package kvindex keeps a salt: FNV-1a of its text.
func SaltID(salt string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(salt) {
		hash ^= uint64(salt[i])
		hash *= prime
	}
	return hash
}

// walls remembers which tenants were ever isolated: while a configuration that sets a tenant apart may still be in force at
// another proxy, none of its requests may share what others made.
type walls struct {
	isolated map[string]bool
}

func (w *walls) note(compiled *config.Compiled) {
	for _, tenant := range compiled.Tenants {
		if tenant.Isolated {
			w.add(tenant.Name)
		}
	}
}

func (w *walls) add(tenant string) {
	if w.isolated == nil {
		w.isolated = make(map[string]bool)
	}
	w.isolated[tenant] = true
}

// wall names the tenant that a request must not share with others for, or is empty.
func (w *walls) wall(tenant *config.Tenant) string {
	if tenant == nil || !tenant.Isolated && !w.isolated[tenant.Name] {
		return ""
	}
	return tenant.Name
}
