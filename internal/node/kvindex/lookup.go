package kvindex

import (
	"cmp"
	"slices"

	"kestrelspread/internal/node/routing"
)

// Holders lists who keeps the beginning of a prompt under a salt, the most tokens first. A part counts only where every part
// before it is kept whole (PROTOCOL.md, "Requests"). The list is valid until the next call.
func (x *Index) Holders(salt uint64, parts []routing.PromptPart) []routing.Holder {
	x.query++
	x.matchedHolders = x.matchedHolders[:0]
	for place, part := range parts {
		if !x.extendMatches(place, keyOf(salt, part.ID), part.Tokens) {
			break
		}
	}
	x.results = x.results[:0]
	for _, number := range x.matchedHolders {
		x.results = append(x.results, routingHolder(&x.holders[number]))
	}
	slices.SortFunc(x.results, func(a, b routing.Holder) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Instance, b.Instance))
	})
	return x.results
}

// extendMatches counts the part at a place for the holders that keep all before it, and reports whether any keeps it whole.
func (x *Index) extendMatches(place int, key uint64, tokens int) bool {
	any := false
	for at := x.head(key); at != noRecord; at = x.records[at].next {
		r := &x.records[at]
		if !x.live(r) {
			continue
		}
		h := &x.holders[r.holder]
		if h.query != x.query {
			if place > 0 {
				continue
			}
			h.query, h.completeParts, h.tokens = x.query, 0, 0
			x.matchedHolders = append(x.matchedHolders, r.holder)
		}
		if h.completeParts != place {
			continue
		}
		r.referenced = true
		h.tokens += min(int(r.tokens), tokens)
		if int(r.tokens)+blockTokens > tokens {
			h.completeParts++
			any = true
		}
	}
	return any
}

func routingHolder(h *holder) routing.Holder {
	if address, ok := storeAddress(h.name); ok {
		return routing.Holder{Instance: address, Store: true, Tokens: h.tokens}
	}
	return routing.Holder{Instance: h.name, Tokens: h.tokens}
}
