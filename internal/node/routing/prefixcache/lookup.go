package prefixcache

import (
	"slices"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prompt"
)

// Lookup is what is known of the shared parts of a prompt.
type Lookup struct {
	Store        *config.Service // the healthy store that caches them; nil: there is none
	SharedTokens int             // length of the shared parts

	engine   *config.Engine // of the request's service
	versions []VersionCoverage
}

// VersionCoverage is what is known of the shared parts under one version of the weights.
type VersionCoverage struct {
	Version   uint64
	MaxCached int // most tokens that any candidate of the version caches
	NewTokens int // tokens at the end that weren't sent to any broker recently
}

// Version returns the coverage under a version, or nil if no candidate has that version.
func (l *Lookup) Version(version uint64) *VersionCoverage {
	for i := range l.versions {
		if l.versions[i].Version == version {
			return &l.versions[i]
		}
	}
	return nil
}

// LookUp collects what is known of the prompt's shared parts, and fills in how many tokens of them
// each candidate caches. The result is valid until the next call.
func (c *Cache) LookUp(now core.Time, req *inflight.Request, candidates []candidate.Candidate) *Lookup {
	c.queryIndex(now, req, candidates)
	l := &c.lookup
	l.Store = c.chooseStore(now, req)
	l.SharedTokens = prompt.SharedTokens(req.Parts)
	l.engine = c.engine(req)
	l.versions = l.versions[:0]
	for i := range candidates {
		if version := candidates[i].Version; l.Version(version) == nil {
			newTokens := c.markRecent(now, req, candidates, version)
			l.versions = append(l.versions, VersionCoverage{Version: version, NewTokens: newTokens})
		}
	}
	for i := range candidates {
		coverage := l.Version(candidates[i].Version)
		coverage.MaxCached = max(coverage.MaxCached, candidates[i].CachedTokens)
	}
	return l
}

// queryIndex fills in what the index knows: how many tokens of the prompt each candidate caches,
// and how many the prompt's store holds under the candidate's version.
func (c *Cache) queryIndex(now core.Time, req *inflight.Request, candidates []candidate.Candidate) {
	if c.index == nil || req.ServedModel == "" || !c.switches.On(mechanism.PromptIndex) {
		return
	}
	store := ""
	if service := c.chooseStore(now, req); service != nil {
		store = service.KVStoreAddr
	}
	c.queriedVersions = c.queriedVersions[:0]
	for i := range candidates {
		version := candidates[i].Version
		if slices.Contains(c.queriedVersions, version) {
			continue
		}
		c.queriedVersions = append(c.queriedVersions, version)
		for _, holder := range c.index.Holders(saltID(req, version), req.Parts) {
			if !holder.Store || holder.Instance == store {
				markHolder(candidates, version, holder)
			}
		}
	}
}

// markHolder fills in the tokens of one entry of the index: at the candidate that it belongs to or,
// for a store, at all candidates of the version.
func markHolder(candidates []candidate.Candidate, version uint64, holder Holder) {
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Version != version:
		case holder.Store:
			c.StoredTokens = max(c.StoredTokens, holder.Tokens)
		case c.Broker.Instance.ID == holder.Instance:
			c.CachedTokens = holder.Tokens
		}
	}
}

// markRecent fills in, for the candidates of a version, how much of the prompt they read now or
// have just read. It returns how many tokens at the end of the shared parts weren't sent to any
// broker recently.
func (c *Cache) markRecent(now core.Time, req *inflight.Request, candidates []candidate.Candidate, version uint64) (newTokens int) {
	salt := saltID(req, version)
	tokens := 0
	for _, part := range prompt.SharedParts(req.Parts) {
		tokens += part.Tokens
		prefills := c.recent.find(now, salt, part)
		if prefills == nil {
			newTokens += part.Tokens
			continue
		}
		newTokens = 0
		for i := range prefills.brokers {
			sent := &prefills.brokers[i]
			if c.switches.On(mechanism.RecentPrefills) && sent.broker != nil && now < sent.sentAt+PrefillAssumedFor {
				markPrefill(now, candidates, sent, tokens)
			}
		}
	}
	return newTokens
}

// markPrefill fills in that a broker will have read the given number of tokens of the prompt before
// a new request's turn, and that it caches them if it has read them by now.
func markPrefill(now core.Time, candidates []candidate.Candidate, sent *prefill, tokens int) {
	for i := range candidates {
		c := &candidates[i]
		if c.Broker != sent.broker {
			continue
		}
		c.ExpectedTokens = max(c.ExpectedTokens, tokens)
		if now >= sent.readyAt {
			c.CachedTokens = max(c.CachedTokens, tokens)
		}
		return
	}
}
