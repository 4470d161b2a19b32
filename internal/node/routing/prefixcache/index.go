package prefixcache

import "kestrelspread/internal/node/routing/prompt"

// Index tells which brokers and stores cache which parts of a prompt (package kvindex).
type Index interface {
	// Holders lists brokers and stores that cache a prefix of the parts under the salt, best first.
	Holders(salt uint64, parts []prompt.Part) []Holder
}

// Holder is a broker or store that caches the first tokens of a prompt.
type Holder struct {
	Instance string // instance id, or the store's address where Store
	Store    bool
	Tokens   int
}

// Observer is notified of what ran where, as the parts are cached there now. An Index may be one.
type Observer interface {
	Observed(instance string, salt uint64, parts []prompt.Part)
}
