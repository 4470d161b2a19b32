package kvindex

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// Holders returns the holders that cache a prefix of a prompt under a salt, ordered by descending prefix
// length. A part counts only if the holder caches every part before it completely (PROTOCOL.md,
// "Requests"). The list is valid until the next call.
func (x *Index) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	x.lastQuery++
	x.matchedHolders = x.matchedHolders[:0]
	for position, part := range parts {
		if !x.extendMatches(position, recordKey(salt, part.ID), part.Tokens) {
			break
		}
	}
	x.results = x.results[:0]
	for _, number := range x.matchedHolders {
		x.results = append(x.results, routingHolder(&x.holders[number]))
	}
	slices.SortFunc(x.results, func(a, b prefixcache.Holder) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Instance, b.Instance))
	})
	return x.results
}

// extendMatches adds the part at a position, with its size in tokens, to the matches of the holders that
// cache all parts before it completely. It reports whether any of them caches this part completely too;
// otherwise no later part can count.
func (x *Index) extendMatches(position int, key uint64, tokens int) bool {
	anyComplete := false
	for slot := x.head(key); slot != noRecord; slot = x.records[slot].next {
		r := &x.records[slot]
		if !x.live(r) || !x.matchesUpTo(position, r.holder) {
			continue
		}
		r.referenced = true
		h := &x.holders[r.holder]
		h.matchedTokens += min(int(r.tokens), tokens)
		if int(r.tokens)+blockTokens > tokens {
			h.completeParts++
			anyComplete = true
		}
	}
	return anyComplete
}

// matchesUpTo reports whether a holder caches all parts before a position completely. At position 0 it
// adds the holder to the matches of the query.
func (x *Index) matchesUpTo(position int, number uint32) bool {
	h := &x.holders[number]
	if h.matchedQuery != x.lastQuery {
		if position > 0 {
			return false
		}
		h.matchedQuery, h.completeParts, h.matchedTokens = x.lastQuery, 0, 0
		x.matchedHolders = append(x.matchedHolders, number)
	}
	return h.completeParts == position
}

// routingHolder converts a matched holder to the router's type.
func routingHolder(h *holder) prefixcache.Holder {
	if address, ok := storeAddress(h.name); ok {
		return prefixcache.Holder{Instance: address, Store: true, Tokens: h.matchedTokens}
	}
	return prefixcache.Holder{Instance: h.name, Tokens: h.matchedTokens}
}
