package routing

import (
	"cmp"
	"slices"
)

// affinitySet is how many brokers are candidates for the prediction on a sticky route.
const affinitySet = 3

// keptStep is how many tokens more a broker must keep to go before another.
const keptStep = 256

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

// byAffinity orders the candidates' first few places: those that the index names, then the rendezvous order. It returns how
// many there are.
func (r *Router) byAffinity(req *request, found []candidate) int {
	part, ok := stickyPart(req.Parts)
	if !ok {
		return 0
	}
	key := affinityKey(part, req.model, req.wall)
	for i := range found {
		found[i].rank = weight(key, found[i].broker)
	}
	r.rankHolders(req, found)
	n := min(affinitySet, len(found))
	for place := range n {
		best := place
		for i := place + 1; i < len(found); i++ {
			if ranksBefore(&found[i], &found[best]) {
				best = i
			}
		}
		found[place], found[best] = found[best], found[place]
	}
	return n
}

// ranksBefore puts who keeps clearly more first; between equals the rendezvous order decides, so that all proxies agree.
func ranksBefore(a, b *candidate) bool {
	if c := cmp.Compare(a.kept/keptStep, b.kept/keptStep); c != 0 {
		return c > 0
	}
	return a.rank > b.rank
}

// rankHolders notes how many tokens of the prompt each candidate keeps, and the store under its version, as far as the index
// knows.
func (r *Router) rankHolders(req *request, found []candidate) {
	if r.options.Index == nil || req.model == "" {
		return
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
			noteHolder(found, version, holder)
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
