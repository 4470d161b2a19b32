// Package prompt describes the parts of a prompt. It also defines the rendezvous order by which all
// proxies find the same broker or store for a prompt's shared parts, without exchanging messages.
package prompt

import "kestrelspread/internal/node/routing/cachesalt"

// Part is one part of a prompt, as the header X-Kestrelspread-Prompt-Prefix lists them.
type Part struct {
	ID     uint64 // identifies the content of the part
	Tokens int    // length
}

// StickyPart returns the part that determines which broker owns the prompt: the last shared one,
// because the last part of all belongs to the request or its session (PROTOCOL.md, "Requests"). If
// there is only one part, it is that one. The second result is false if the prompt has no parts.
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

// SharedParts returns the parts that other requests may have as well: all but the last.
func SharedParts(parts []Part) []Part {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// SharedTokens returns the length of the shared parts in tokens.
func SharedTokens(parts []Part) int {
	tokens := 0
	for _, part := range SharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// AffinityKey returns the key by which a part is placed. It depends on the part, the model and the
// isolated tenant ("": none), but not on the version of the weights.
func AffinityKey(part Part, model, isolatedTenant string) uint64 {
	key := part.ID ^ HashText(model)
	if isolatedTenant != "" {
		key ^= Mix64(HashText(isolatedTenant))
	}
	return Mix64(key)
}

// RendezvousWeight returns the weight of a broker or store in the rendezvous order of a key
// (highest random weight hashing). nameHash is HashText of its name. The one with the highest
// weight owns the key, and every proxy computes the same owner.
func RendezvousWeight(key, nameHash uint64) uint64 { return Mix64(key ^ nameHash) }

// HashText returns a hash of a name whose bits are well distributed.
func HashText(text string) uint64 { return Mix64(cachesalt.ID(text)) }

// Mix64 mixes the bits of a number (the finalizer of SplitMix64).
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
