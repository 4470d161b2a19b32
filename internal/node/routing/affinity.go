package routing

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/mechanism"
)

// rankHolders notes how many tokens of the prompt each candidate keeps, and its store under the candidate's version, as far as the
// index knows.
func (r *Router) rankHolders(now core.Time, req *request, found []candidate) {
	if r.options.Index == nil || req.model == "" || !r.switches.On(mechanism.PromptIndex) {
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
		salt := cachesalt.ID(cachesalt.Text(req.model, version, req.wall))
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
