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

// Lookup is what is known of a prompt's shared parts.
type Lookup struct {
	Store        *config.Service // that caches them; nil: there is none that is well
	SharedTokens int

	engine   *config.Engine // of the request's service
	versions []VersionCoverage
}

// VersionCoverage is what is known of the shared parts under a version of the weights.
type VersionCoverage struct {
	Version   uint64
	MaxCached int // the most tokens that any candidate caches
	NewTokens int // tokens at the end that no broker was sent recently
}

// Version is the coverage under a candidate's version; nil where no candidate has it.
func (l *Lookup) Version(version uint64) *VersionCoverage {
	for i := range l.versions {
		if l.versions[i].Version == version {
			return &l.versions[i]
		}
	}
	return nil
}

// LookUp finds what is known of the prompt's shared parts, and fills in how many tokens each
// candidate caches. The result is valid until the next call.
func (c *Cache) LookUp(now core.Time, req *inflight.Request, found []candidate.Candidate) *Lookup {
	c.queryIndex(now, req, found)
	l := &c.lookup
	l.Store = c.chooseStore(now, req)
	l.SharedTokens = prompt.SharedTokens(req.Parts)
	l.engine = c.engine(req)
	l.versions = l.versions[:0]
	for i := range found {
		if version := found[i].Version; l.Version(version) == nil {
			newTokens := c.markRecent(now, req, found, version)
			l.versions = append(l.versions, VersionCoverage{Version: version, NewTokens: newTokens})
		}
	}
	for i := range found {
		coverage := l.Version(found[i].Version)
		coverage.MaxCached = max(coverage.MaxCached, found[i].Cached)
	}
	return l
}

// queryIndex fills in how many tokens of the prompt each candidate caches, and its store under the
// candidate's version, as far as the index knows.
func (c *Cache) queryIndex(now core.Time, req *inflight.Request, found []candidate.Candidate) {
	if c.index == nil || req.ServedModel == "" || !c.switches.On(mechanism.PromptIndex) {
		return
	}
	store := ""
	if service := c.chooseStore(now, req); service != nil {
		store = service.KVStoreAddr
	}
	c.queriedVersions = c.queriedVersions[:0]
	for i := range found {
		version := found[i].Version
		if slices.Contains(c.queriedVersions, version) {
			continue
		}
		c.queriedVersions = append(c.queriedVersions, version)
		for _, holder := range c.index.Holders(saltID(req, version), req.Parts) {
			if !holder.Store || holder.Instance == store {
				markHolder(found, version, holder)
			}
		}
	}
}

func markHolder(found []candidate.Candidate, version uint64, holder Holder) {
	for i := range found {
		c := &found[i]
		switch {
		case c.Version != version:
		case holder.Store:
			c.StoredTokens = max(c.StoredTokens, holder.Tokens)
		case c.Broker.Instance.ID == holder.Instance:
			c.Cached = holder.Tokens
		}
	}
}

// markRecent fills in, at the candidates of a version, what they are reading or have just read of
// the prompt, and returns how many tokens at the end of the shared ones were not sent to any broker
// recently.
func (c *Cache) markRecent(now core.Time, req *inflight.Request, found []candidate.Candidate, version uint64) (newTokens int) {
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
			if c.switches.On(mechanism.RecentPrefills) && sent.broker != nil && now < sent.sentAt+PrefillBelieved {
				markPrefill(now, found, sent, tokens)
			}
		}
	}
	return newTokens
}

// markPrefill fills in that a broker has so many tokens of the prompt, or will have them before its
// next request's turn.
func markPrefill(now core.Time, found []candidate.Candidate, sent *prefill, tokens int) {
	for i := range found {
		c := &found[i]
		if c.Broker != sent.broker {
			continue
		}
		c.Arriving = max(c.Arriving, tokens)
		if now >= sent.readyAt {
			c.Cached = max(c.Cached, tokens)
		}
		return
	}
}
