// Package prompt describes the parts of a prompt and the rendezvous order by which all proxies
// find, without an exchange of messages, the broker or store that should keep its shared parts.
package prompt

import "kestrelspread/internal/node/routing/cachesalt"

// Part is one part of a prompt, as X-Kestrelspread-Prompt-Prefix lists them.
type Part struct {
	ID     uint64
	Tokens int
}

// StickyPart is the part that decides on a prompt's owner: the deepest shared one, as the last part
// belongs to the request or its session (PROTOCOL.md, "Requests"). false: the prompt has no parts.
func StickyPart(parts []Part) (Part, bool) {
	switch n := len(parts); n {
	case 0:
		return Part{}, false
	case 1:
		return parts[0], true
	default:
		return parts[n-2], true
	}
}

// SharedParts are the parts that other requests may have as well: all but the last.
func SharedParts(parts []Part) []Part {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// SharedTokens is the length of the shared parts, in tokens.
func SharedTokens(parts []Part) int {
	tokens := 0
	for _, part := range SharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// AffinityKey names what should be kept together: a part under a model and an isolated tenant
// (empty: none), whatever the version of the weights.
func AffinityKey(part Part, model, isolatedTenant string) uint64 {
	key := part.ID ^ HashText(model)
	if isolatedTenant != "" {
		key ^= Mix64(HashText(isolatedTenant))
	}
	return Mix64(key)
}

// RendezvousWeight is the weight of a broker or store in the rendezvous order (highest random
// weight) of a key; nameHash is HashText of its name. The one with the highest weight owns the key,
// and every proxy finds the same.
func RendezvousWeight(key, nameHash uint64) uint64 { return Mix64(key ^ nameHash) }

// HashText is a well spread hash of a name.
func HashText(text string) uint64 { return Mix64(cachesalt.ID(text)) }

// Mix64 spreads a number over 64 bits (the finalizer of SplitMix64).
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
