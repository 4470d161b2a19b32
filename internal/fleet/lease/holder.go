package lease

import "sort"

// Lease is a duty as its owner sees it.
type Lease struct {
	Role             string
	Token            uint64
	ExpiresAt        float64 // on the holder's own steady clock: it ends before the grantor thinks it may have
	ReleaseRequested bool    // it is to end and release
	Progress         []byte  // how far the owner before had come
}

// Action is what a holder is to do.
type Action struct {
	Start          *Lease // begin the work
	Stop           *Lease // end it now: nothing more may be begun under this token
	Finish         *Lease // bring the step at hand to its end, then release
	Renew          string // ask for more time, for this duty
	ReportReleased *Lease // tell the voters that this token is done with: they still hold this instance to be its owner
}

// Holder is an instance's view of what it owns.
type Holder struct {
	config            Config
	leases            map[string]*Lease
	renewalSentAt     map[string]float64 // by duty: when a renewal was last sent
	endedTokens       map[string]uint64  // by duty: the latest token that was let go or lost
	lastLeaderContact float64            // when a voter that leads last answered
}

// NewHolder owns nothing.
func NewHolder(rules Config) *Holder {
	return &Holder{config: rules, leases: map[string]*Lease{}, renewalSentAt: map[string]float64{}, endedTokens: map[string]uint64{}}
}

// trustedSpanMs is how long a holder trusts a lease that was asked for at a time: from then on, not from when the answer came, and
// less the drift.
func (h *Holder) trustedSpanMs() float64 {
	if plantLongHold {
		return 1.5 * h.config.LeaseMs
	}
	return h.config.LeaseMs * (1 - h.config.MaxDrift)
}

// HandleGrant: the answer to a question sent at a time says that this instance owns a duty.
func (h *Holder) HandleGrant(now, askedAt float64, duty string, token uint64, data []byte, letGo bool) (acts []Action) {
	at := h.leases[duty]
	// An old answer, held up on its way. One that was given before this instance let go must not bring the duty back: the
	// next owner did not have to wait for this lease.
	if at != nil && token < at.Token {
		return nil
	}
	if token <= h.endedTokens[duty] && !plantBack {
		// A release that was lost would leave the duty with an owner that does nothing, and is renewed for ever.
		if at == nil && token == h.endedTokens[duty] {
			return []Action{{ReportReleased: &Lease{Role: duty, Token: token}}}
		}
		return nil
	}
	if plantAnswerTime {
		askedAt = now
	}
	until := askedAt + h.trustedSpanMs()
	if at != nil && at.Token == token {
		at.ExpiresAt = max(at.ExpiresAt, until)
		if letGo && !at.ReleaseRequested {
			at.ReleaseRequested = true
			acts = append(acts, Action{Finish: at})
		}
		return acts
	}
	if at != nil {
		delete(h.leases, duty)
		acts = append(acts, Action{Stop: at})
	}
	if now >= until {
		return acts // it came too late to begin
	}
	n := &Lease{Role: duty, Token: token, ExpiresAt: until, ReleaseRequested: letGo, Progress: data}
	h.leases[duty] = n
	return append(acts, Action{Start: n})
}

// HandleLost: the grantor says that somebody else owns it, or nobody.
func (h *Holder) HandleLost(duty string, token uint64) []Action {
	at := h.leases[duty]
	if at == nil || at.Token > token {
		return nil
	}
	h.MarkReleased(duty)
	return []Action{{Stop: at}}
}

// MarkReleased: this instance has let go by itself, for good under this token.
func (h *Holder) MarkReleased(duty string) {
	if at := h.leases[duty]; at != nil {
		h.endedTokens[duty] = max(h.endedTokens[duty], at.Token)
		delete(h.leases, duty)
	}
}

// MayAct tells whether something may be begun under a duty's token now. A pause may come between this and the act: the receiver's
// fence is what counts.
func (h *Holder) MayAct(now float64, duty string) (token uint64, may bool) {
	at := h.leases[duty]
	if at == nil || now >= at.ExpiresAt {
		return 0, false
	}
	return at.Token, true
}

// ExpireLeases ends what has run out and asks for more time well before.
func (h *Holder) ExpireLeases(now float64) (acts []Action) {
	names := make([]string, 0, len(h.leases))
	for n := range h.leases {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		at := h.leases[n]
		if now >= at.ExpiresAt {
			// Not under this token again: what an answer says of how far the work has come may be older than the work.
			h.MarkReleased(n)
			acts = append(acts, Action{Stop: at})
			continue
		}
		if now >= h.renewalSentAt[n]+h.config.LeaseMs/4 {
			h.renewalSentAt[n] = now
			acts = append(acts, Action{Renew: n})
		}
	}
	for n := range h.renewalSentAt {
		if h.leases[n] == nil {
			delete(h.renewalSentAt, n)
		}
	}
	return acts
}

// RecordLeaderContact: a voter that leads has answered.
func (h *Holder) RecordLeaderContact(now float64) { h.lastLeaderContact = now }

// LeaderTimedOut tells whether none has for a lease: nothing is owned then, nor will be until one does.
func (h *Holder) LeaderTimedOut(now float64) bool { return now-h.lastLeaderContact > h.config.LeaseMs }

// Leases gives what is owned, in order.
func (h *Holder) Leases() (list []Lease) {
	for _, at := range h.leases {
		list = append(list, *at)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Role < list[j].Role })
	return list
}
