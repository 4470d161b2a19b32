package routing

import (
	"slices"

	"kestrelspread/internal/node/core"
)

// stickyPart is the part of a prompt by which its broker is found without an exchange: the deepest that is shared, as the
// last one belongs to the request or its session (PROTOCOL.md, "Requests").
func stickyPart(parts []PromptPart) (PromptPart, bool) {
	switch n := len(parts); n {
	case 0:
		return PromptPart{}, false
	case 1:
		return parts[0], true
	default:
		return parts[n-2], true
	}
}

// sharedParts are those that other requests may use as well.
func sharedParts(parts []PromptPart) []PromptPart {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// affinityKey names what is kept together: a part under a model and wall, whatever the version.
func affinityKey(part PromptPart, model, wall string) uint64 {
	key := part.ID ^ hashText(model)
	if wall != "" {
		key ^= mix(hashText(wall))
	}
	return mix(key)
}

// weight is a broker's place in a key's rendezvous order: the highest keeps the parts. Every proxy finds the same order.
func weight(key uint64, b *broker) uint64 { return mix(key ^ b.hash) }

func hashText(text string) uint64 { return mix(SaltID(text)) }

// mix spreads a number over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rankHolders notes how many tokens of the prompt each candidate keeps, and its store under the candidate's version, as far as the
// index knows.
func (r *Router) rankHolders(now core.Time, req *request, found []candidate) {
	if r.options.Index == nil || req.model == "" || !r.uses(PromptIndex) {
		return
	}
	store := ""
	if keeping := r.storeFor(now, req); keeping != nil {
		store = keeping.KVStoreAddr
	}
	r.asked = r.asked[:0]
	for i := range found {
		version := found[i].version
		if slices.Contains(r.asked, version) {
			continue
		}
		r.asked = append(r.asked, version)
		salt := SaltID(cacheSalt(req.model, version, req.wall))
		for _, holder := range r.options.Index.Holders(salt, req.Parts) {
			if !holder.Store || holder.Instance == store {
				noteHolder(found, version, holder)
			}
		}
	}
}

func noteHolder(found []candidate, version uint64, holder Holder) {
	for i := range found {
		c := &found[i]
		switch {
		case c.version != version:
		case holder.Store:
			c.stored = max(c.stored, holder.Tokens)
		case c.broker.instance.ID == holder.Instance:
			c.kept = holder.Tokens
		}
	}
}
