package prefixcache

import "kestrelspread/internal/node/routing/prompt"

// Index tells which brokers and stores cache which parts of a prompt. Package kvindex implements
// it.
type Index interface {
	// Holders lists the brokers and stores that cache a prefix of the parts under the salt, best
	// first.
	Holders(salt uint64, parts []prompt.Part) []Holder
}

// Holder is a broker or store that caches the first tokens of a prompt.
type Holder struct {
	Instance string // instance id, or the address of the store
	Store    bool   // whether this is a store rather than a broker
	Tokens   int    // number of tokens, from the start of the prompt
}

// Observer is notified of what ran where, as the prompt parts are cached there now. An Index may
// implement it.
type Observer interface {
	// Observed records that the instance has read the parts under the salt.
	Observed(instance string, salt uint64, parts []prompt.Part)
}
