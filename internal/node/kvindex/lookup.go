package kvindex

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// Holders lists the holders that cache a prefix of a prompt under a salt, the longest prefix first. A
// part counts only if every part before it is cached completely (PROTOCOL.md, "Requests"). The list
// is valid until the next call.
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

// extendMatches adds the part at a position to the matches of the holders that cache all parts before
// it. It reports whether any of them caches the part completely, so that the next one may count.
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

// matchesUpTo reports whether the holder caches all parts before a position completely. A holder of
// the first part becomes a match of the query.
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

// routingHolder returns a match as the router sees it.
func routingHolder(h *holder) prefixcache.Holder {
	if address, ok := storeAddress(h.name); ok {
		return prefixcache.Holder{Instance: address, Store: true, Tokens: h.matchedTokens}
	}
	return prefixcache.Holder{Instance: h.name, Tokens: h.matchedTokens}
}
