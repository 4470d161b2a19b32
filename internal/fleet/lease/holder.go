package lease

import (
	"cmp"
	"maps"
	"slices"
)

// Lease is a granted role as its holder sees it.
type Lease struct {
	Role             string
	Token            uint64  // fencing token of every effect under this lease
	ExpiresAt        float64 // on the holder's clock, before the lessor lets it expire
	ReleaseRequested bool    // the holder is to finish its step and release the role
	Progress         []byte  // how far the work had come when it was granted
}

// Action is what an instance has to do. One field is set.
type Action struct {
	Start          *Lease // begin the role's work
	Stop           *Lease // stop it now: no further effect may begin under this token
	Finish         *Lease // finish the step at hand, then release the role
	ReportReleased *Lease // tell the voters again that this token was released
}

// Holder is an instance's view of the leases that it holds.
type Holder struct {
	config            Config
	leases            map[string]*Lease // by role
	endedTokens       map[string]uint64 // by role: the latest token that was released or lost
	lastLeaderContact float64
}

// NewHolder returns a holder without leases.
func NewHolder(config Config) *Holder {
	return &Holder{config: config, leases: map[string]*Lease{}, endedTokens: map[string]uint64{}}
}

// trustedSpanMs is how long a holder trusts a lease. It counts from when the request was sent,
// not from when the response arrived, and is shorter than the lessor's span by the clock drift.
func (h *Holder) trustedSpanMs() float64 {
	if mutantLongHold {
		return 1.5 * h.config.LeaseMs
	}
	return h.config.LeaseMs * (1 - h.config.MaxDrift)
}

// HandleGrant handles a response to the request sent at sentAt: this instance holds the role
// under the token. A response that was delayed on its way can't bring back a token that this
// instance has ended, since the next holder did not have to wait for that lease.
func (h *Holder) HandleGrant(now, sentAt float64, role string, token uint64, progress []byte, release bool) []Action {
	current := h.leases[role]
	if current != nil && token < current.Token {
		return nil
	}
	if token <= h.endedTokens[role] && !mutantBack {
		return h.handleEndedGrant(role, token)
	}
	if mutantAnswerTime {
		sentAt = now
	}
	expiresAt := sentAt + h.trustedSpanMs()
	if current != nil && current.Token == token {
		return renewLease(current, expiresAt, release)
	}
	var actions []Action
	if current != nil {
		delete(h.leases, role)
		actions = append(actions, Action{Stop: current})
	}
	if now >= expiresAt {
		return actions // it arrived too late to begin
	}
	granted := &Lease{Role: role, Token: token, ExpiresAt: expiresAt, ReleaseRequested: release, Progress: progress}
	h.leases[role] = granted
	return append(actions, Action{Start: granted})
}

// handleEndedGrant has a release reported again whose report was lost: without it the role would
// keep a holder that does nothing and whose lease is renewed for ever.
func (h *Holder) handleEndedGrant(role string, token uint64) []Action {
	if h.leases[role] != nil || token != h.endedTokens[role] {
		return nil
	}
	return []Action{{ReportReleased: &Lease{Role: role, Token: token}}}
}

// renewLease extends a held lease, and takes up a request to release it.
func renewLease(current *Lease, expiresAt float64, release bool) []Action {
	current.ExpiresAt = max(current.ExpiresAt, expiresAt)
	if !release || current.ReleaseRequested {
		return nil
	}
	current.ReleaseRequested = true
	return []Action{{Finish: current}}
}

// HandleLost handles a response by which this instance does not hold the role: its latest token
// is another's.
func (h *Holder) HandleLost(role string, latestToken uint64) []Action {
	current := h.leases[role]
	if current == nil || current.Token > latestToken {
		return nil
	}
	h.MarkReleased(role)
	return []Action{{Stop: current}}
}

// MarkReleased ends the role's lease on this instance's side, for good under its token.
func (h *Holder) MarkReleased(role string) {
	if current := h.leases[role]; current != nil {
		h.endedTokens[role] = max(h.endedTokens[role], current.Token)
		delete(h.leases, role)
	}
}

// MayAct tells whether an effect of the role may begin now, and under which token. The process
// may be paused between this check and the effect: the receiver's fence is what decides.
func (h *Holder) MayAct(now float64, role string) (token uint64, may bool) {
	current := h.leases[role]
	if current == nil || now >= current.ExpiresAt {
		return 0, false
	}
	return current.Token, true
}

// ExpireLeases ends the leases that have run out, for good under their tokens: what a later
// response says of the work's progress may be older than the work itself.
func (h *Holder) ExpireLeases(now float64) (actions []Action) {
	for _, role := range slices.Sorted(maps.Keys(h.leases)) {
		current := h.leases[role]
		if now >= current.ExpiresAt {
			h.MarkReleased(role)
			actions = append(actions, Action{Stop: current})
		}
	}
	return actions
}

// RecordLeaderContact records that a leading voter has responded.
func (h *Holder) RecordLeaderContact(now float64) { h.lastLeaderContact = now }

// LeaderTimedOut tells whether no leading voter has responded for a lease. Then no lease is held,
// nor will one be until a leader responds.
func (h *Holder) LeaderTimedOut(now float64) bool {
	return now-h.lastLeaderContact > h.config.LeaseMs
}

// Leases returns copies of the held leases, sorted by role.
func (h *Holder) Leases() (held []Lease) {
	for _, current := range h.leases {
		held = append(held, *current)
	}
	slices.SortFunc(held, func(a, b Lease) int { return cmp.Compare(a.Role, b.Role) })
	return held
}
