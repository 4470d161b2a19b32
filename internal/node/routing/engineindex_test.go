package routing

import (
	"slices"

	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// delayedIndex is an index that is updated once a second.
type delayedIndex struct {
	holders map[indexKey][]prefixcache.Holder
}

// indexKey identifies a cached part as the index does, by the id of its salt.
type indexKey struct{ salt, part uint64 }

func (x *delayedIndex) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	var found []prefixcache.Holder
	for i, part := range parts {
		holders := x.holders[indexKey{salt, part.ID}]
		if i == 0 {
			found = slices.Clone(holders)
			continue
		}
		for j := range found {
			for _, h := range holders {
				if h.Instance == found[j].Instance && found[j].Tokens == sumTokens(parts[:i]) {
					found[j].Tokens += h.Tokens
				}
			}
		}
	}
	return found
}

func sumTokens(parts []prompt.Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// refreshIndex rebuilds the index from what the engines and the store cache now.
func (s *engineSim) refreshIndex() {
	if s.index == nil {
		return
	}
	s.index.holders = map[indexKey][]prefixcache.Holder{}
	addHolders := func(e *engine, h prefixcache.Holder) {
		for key, part := range e.parts {
			id := indexKey{cachesalt.ID(key.salt), key.part}
			h.Tokens = part.tokens
			s.index.holders[id] = append(s.index.holders[id], h)
		}
	}
	for id, e := range s.engines {
		addHolders(e, prefixcache.Holder{Instance: id})
	}
	addHolders(s.store, prefixcache.Holder{Instance: storeAddress, Store: true})
}
