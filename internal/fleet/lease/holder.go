package lease

import (
	"cmp"
	"maps"
	"slices"
)

// Lease is a holder's view of a role that was granted to it.
type Lease struct {
	Role             string
	Token            uint64  // fencing token sent with every effect under this lease
	ExpiresAt        float64 // ms on the holder's clock, earlier than the expiry on the lessor's
	ReleaseRequested bool    // the holder must finish its current step, then release the role
	Progress         []byte  // progress of the work that was stored when the role was granted
}

// Action is a step that the instance must take. Exactly one field is set.
type Action struct {
	Start          *Lease // start the role's work
	Stop           *Lease // stop the work at once: no further effect may start under this token
	Finish         *Lease // finish the current step, then release the role
	ReportReleased *Lease // report to the voters again that this token was released
}

// Holder tracks the leases that one instance holds.
type Holder struct {
	config            Config
	leases            map[string]*Lease // by role
	endedTokens       map[string]uint64 // by role: the latest token whose lease was released, lost or expired
	lastLeaderContact float64           // time of the latest response from a leading voter, in ms
}

// NewHolder returns a Holder that holds no leases.
func NewHolder(config Config) *Holder {
	return &Holder{config: config, leases: map[string]*Lease{}, endedTokens: map[string]uint64{}}
}

// trustedSpanMs returns how long a holder trusts a lease, in ms. The span starts when the request
// was sent, not when the response arrived, and is shorter than Config.lessorSpanMs to cover the
// clock drift.
func (h *Holder) trustedSpanMs() float64 {
	if mutantHolderOutlivesLessor {
		return 1.5 * h.config.LeaseMs
	}
	return h.config.LeaseMs * (1 - h.config.MaxDrift)
}

// HandleGrant handles a response, to the request sent at sentAt, that this instance holds the role
// under the token. release is set if the instance has to finish its step and release the role.
// A delayed response must not revive a token that this instance has ended, because the next
// holder is granted the role without waiting for that lease to expire.
func (h *Holder) HandleGrant(now, sentAt float64, role string, token uint64, progress []byte, release bool) []Action {
	current := h.leases[role]
	if current != nil && token < current.Token {
		return nil
	}
	if token <= h.endedTokens[role] && !mutantReviveEndedLease {
		return h.handleEndedGrant(role, token)
	}
	if mutantLeaseFromResponse {
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
		return actions // the lease expired before its response arrived
	}
	granted := &Lease{Role: role, Token: token, ExpiresAt: expiresAt, ReleaseRequested: release, Progress: progress}
	h.leases[role] = granted
	return append(actions, Action{Start: granted})
}

// handleEndedGrant requests that the release of an ended token is reported again, since the
// voters evidently missed the first report. Otherwise they would renew the lease forever for a
// holder that no longer does the work.
func (h *Holder) handleEndedGrant(role string, token uint64) []Action {
	if h.leases[role] != nil || token != h.endedTokens[role] {
		return nil
	}
	return []Action{{ReportReleased: &Lease{Role: role, Token: token}}}
}

// renewLease extends a held lease, and returns a Finish action if the release is requested for the
// first time.
func renewLease(current *Lease, expiresAt float64, release bool) []Action {
	current.ExpiresAt = max(current.ExpiresAt, expiresAt)
	if !release || current.ReleaseRequested {
		return nil
	}
	current.ReleaseRequested = true
	return []Action{{Finish: current}}
}

// HandleLost handles a response that this instance does not hold the role, whose latest token is
// latestToken.
func (h *Holder) HandleLost(role string, latestToken uint64) []Action {
	current := h.leases[role]
	if current == nil || current.Token > latestToken {
		return nil
	}
	h.MarkReleased(role)
	return []Action{{Stop: current}}
}

// MarkReleased ends the role's lease on this instance. The lease can't be resumed under the same
// token.
func (h *Holder) MarkReleased(role string) {
	if current := h.leases[role]; current != nil {
		h.endedTokens[role] = max(h.endedTokens[role], current.Token)
		delete(h.leases, role)
	}
}

// MayAct reports whether an effect of the role may start now, and under which token. The process
// may be paused between this check and the effect, so the receiver must check the token as well.
func (h *Holder) MayAct(now float64, role string) (token uint64, may bool) {
	current := h.leases[role]
	if current == nil || now >= current.ExpiresAt {
		return 0, false
	}
	return current.Token, true
}

// ExpireLeases ends the leases that have expired. They can't be resumed under the same tokens,
// because the progress in a later response may be older than the work already done.
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

// RecordLeaderContact records that a leading voter responded at now.
func (h *Holder) RecordLeaderContact(now float64) { h.lastLeaderContact = now }

// LeaderTimedOut reports whether no leading voter has responded for the duration of a lease. In
// that case this instance holds no lease, and gets none until a leader responds.
func (h *Holder) LeaderTimedOut(now float64) bool {
	return now-h.lastLeaderContact > h.config.LeaseMs
}

// Leases returns copies of the leases currently held, sorted by role.
func (h *Holder) Leases() (held []Lease) {
	for _, current := range h.leases {
		held = append(held, *current)
	}
	slices.SortFunc(held, func(a, b Lease) int { return cmp.Compare(a.Role, b.Role) })
	return held
}
