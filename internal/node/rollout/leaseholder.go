package rollout

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// takeoverMargin is added to the previous holder's lease: a bound of the one-way latency of an
// order to a broker.
const takeoverMargin = 300 * time.Millisecond

// leaseHolder is this node as holder of the role's lease: its headship, what the previous holder
// may have ordered, and its own grant.
type leaseHolder struct {
	leaseDuration time.Duration // Options.Lease
	thawGrace     time.Duration // Options.ThawGrace

	isHead    bool
	epoch     uint64
	headSince core.Time
	previous  previousHolder

	holderID string // of this machine in orders and grants
	maxFence uint64 // the highest fence seen or used

	// claimedInstances are the instances that this node wants to order under requestedFence, in the
	// order of their claims; with inheritedClaims.
	claimedInstances []string
	// inheritedClaims are those of them that a previous holder may have ordered.
	inheritedClaims  []string
	requestedFence   uint64          // of the grant last requested; 0: none
	grantedFence     uint64          // of the committed grant of this node; 0: none
	grantedInstances map[string]bool // that the committed grant of this node claims
	// releaseSubmitted: the release of the grant was submitted. No order leaves under it any more,
	// whether or not the release is committed.
	releaseSubmitted bool
	nextSubmitAt     core.Time
	lastOrderAt      core.Time // 0: none in this incarnation
}

// previousHolder is what this node knows of the holder before it, since it became head.
type previousHolder struct {
	// known reports whether it is known which instances the previous holder may have ordered. Until
	// then nothing is ordered.
	known bool
	// leaseEnd is when every order of the previous holder is older than its lease. Until then its
	// claims are left alone.
	leaseEnd   core.Time
	claims     map[string]bool // instances that it may have ordered
	allClaimed bool            // any instance may have been ordered
	// ownClaims are the instances that an earlier incarnation of this machine may have ordered.
	// They block nothing, as that was the same holder, but a successor must know of them.
	ownClaims []string
}

// blocks reports whether the previous holder may have ordered an instance so recently that this
// node must not order it.
func (p *previousHolder) blocks(now core.Time, id string) bool {
	return !p.known || now < p.leaseEnd && (p.allClaimed || p.claims[id])
}

// learn finds out which instances the previous holder may have ordered. Only a grant that
// was read after this node became head shows it: what the previous head was granted is in it, and it ordered
// nothing else. Without one, learn ends when the lease has ended.
func (p *previousHolder) learn(now core.Time, s *Situation, headSince core.Time) {
	if p.known {
		return
	}
	if now >= p.leaseEnd {
		p.known = true
		return
	}
	if s.GrantAsOf == 0 || s.GrantAsOf < headSince {
		return
	}
	p.known = true
	p.allClaimed = false
	if s.Grant == nil || s.Grant.Released {
		return
	}
	// An earlier incarnation of this machine is the same holder. What a holder before that may have
	// ordered, it has listed in its own grant as inherited.
	claims := s.Grant.Claims
	if s.Grant.Holder == s.HolderID {
		claims = s.Grant.InheritedClaims
		p.ownClaims = s.Grant.Claims
	}
	p.claims = map[string]bool{}
	for _, id := range claims {
		p.claims[id] = true
	}
}

// takeoverWait is how long after this node became head an order of the previous holder may still be
// within its lease: the previous holder may have sent until the end of its head lease, and the
// order may have travelled or been frozen for a while.
func (h *leaseHolder) takeoverWait() time.Duration {
	return h.leaseDuration + HeadLeaseDuration + max(takeoverMargin, h.thawGrace)
}

// observe takes in headship and grant. It reports whether this node is the head.
func (h *leaseHolder) observe(now core.Time, s *Situation) bool {
	h.holderID = s.HolderID
	if s.Grant != nil {
		h.maxFence = max(h.maxFence, s.Grant.FencingToken)
	}
	if !s.Head {
		h.isHead = false
		return false
	}
	// Where an epoch was skipped, another node may have been head in between.
	if !h.isHead || s.Epoch > h.epoch+1 {
		h.becomeHead(now)
	}
	h.epoch = s.Epoch
	h.previous.learn(now, s, h.headSince)
	h.observeGrant(s.Grant)
	return true
}

func (h *leaseHolder) becomeHead(now core.Time) {
	h.isHead = true
	h.headSince = now
	h.previous = previousHolder{leaseEnd: now + h.takeoverWait(), allClaimed: true}
	h.resetGrant()
	h.nextSubmitAt = 0
}

// mayOrder reports whether an order to the instance may leave now.
func (h *leaseHolder) mayOrder(now core.Time, s *Situation, id string) bool {
	return h.grantCovers(id) && !h.previous.blocks(now, id) && h.headLeaseValid(now, s)
}

// headLeaseValid reports whether no other node can have become head yet, and the previous holder's
// claims are known.
func (h *leaseHolder) headLeaseValid(now core.Time, s *Situation) bool {
	return h.previous.known && now < s.headLeaseEnd()
}

// claim has the next grant name an instance.
func (h *leaseHolder) claim(id string) {
	if !slices.Contains(h.claimedInstances, id) {
		h.claimedInstances = append(h.claimedInstances, id)
		h.nextSubmitAt = 0
	}
}

// fenceSuperseded gives the grant up after a broker has seen a higher fence, so that another holder
// must be taken to have ordered any instance just now. The next fence lies well above this node's,
// as that holder's is not known.
func (h *leaseHolder) fenceSuperseded(now core.Time) {
	h.resetGrant()
	h.maxFence += 1 << fenceEpochShift
	h.previous.leaseEnd = now + h.takeoverWait()
	h.previous.allClaimed = true
	h.nextSubmitAt = h.previous.leaseEnd
}

// observeGrant finds out whether the committed grant is the one that this node requested.
func (h *leaseHolder) observeGrant(grant *nodepb.LeaseChange) {
	h.grantedFence = 0
	h.grantedInstances = nil
	if grant == nil || h.requestedFence == 0 || grant.Holder != h.holderID || grant.FencingToken != h.requestedFence {
		return
	}
	if grant.Released {
		h.resetGrant()
		return
	}
	h.grantedFence = h.requestedFence
	h.grantedInstances = make(map[string]bool, len(grant.Claims))
	for _, id := range grant.Claims {
		h.grantedInstances[id] = true
	}
}

func (h *leaseHolder) resetGrant() {
	h.requestedFence = 0
	h.grantedFence = 0
	h.claimedInstances = nil
	h.inheritedClaims = nil
	h.grantedInstances = nil
	h.releaseSubmitted = false
}
