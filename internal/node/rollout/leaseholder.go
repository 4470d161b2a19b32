package rollout

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// fenceEpochShift leaves room in a fence for several grants within one epoch: the fences of two epochs never meet.
	fenceEpochShift = 16
	// submitTimeout is how long the end of a submitted change is waited for before it is submitted anew.
	submitTimeout = 1500 * time.Millisecond
	// submitBackoff is kept after a change was turned down.
	submitBackoff = 300 * time.Millisecond
	// takeoverMargin is added to the lease of the former holder: the way of an order to a broker.
	takeoverMargin = 300 * time.Millisecond
)

// leaseHolder keeps the right to order: headship, the grant, and the wait for a former holder.
type leaseHolder struct {
	leaseDuration time.Duration // within which two holders may not take turns
	thawGrace     time.Duration

	isHead    bool
	epoch     uint64
	headSince core.Time
	// previousKnown: which brokers a former holder may have ordered is known; until then nothing is ordered.
	previousKnown bool
	// previousLeaseEnd is when no former holder's order can be too young any more. Until then the brokers that such a one may have ordered are
	// left alone: those that its grant names, or all.
	previousLeaseEnd  core.Time
	previousClaims    map[string]bool // by instance id
	previousClaimsAll bool
	// ownEarlierClaims are the brokers that a former life of this machine may have ordered.
	ownEarlierClaims []string

	holderID         string          // of this node in orders
	maxFence         uint64          // the highest fence known
	requestedFence   uint64          // fence of the grant asked for; 0: none
	grantedFence     uint64          // of the grant that stands in this node's name; 0: none
	claimedInstances []string        // brokers that this node wants to order under the fence asked for, in the order of their claims
	inheritedClaims  []string        // those of them that a former holder may have ordered
	grantedInstances map[string]bool // those of them that the grant that stands names
	releaseSubmitted bool            // its release was asked for: nothing is ordered under it any more, whatever became of that
	nextSubmitAt     core.Time
	lastOrderAt      core.Time // 0: none in this life
}

// takeoverWait is how long after this node became head another's last order may still be too young.
func (h *leaseHolder) takeoverWait() time.Duration {
	return h.leaseDuration + HeadLeaseDuration + max(takeoverMargin, h.thawGrace)
}

// observe takes what the situation says of headship and grant. It reports false while this node is not the head.
func (h *leaseHolder) observe(now core.Time, s *Situation) bool {
	h.holderID = s.HolderID
	if s.Grant != nil {
		h.maxFence = max(h.maxFence, s.Grant.Fence)
	}
	if !s.Head {
		h.isHead = false
		return false
	}
	if !h.isHead || s.Epoch > h.epoch+1 {
		h.becomeHead(now, s.Epoch)
	}
	h.epoch = s.Epoch
	h.learnPreviousClaims(now, s)
	h.observeGrant(s.Grant)
	return true
}

func (h *leaseHolder) becomeHead(now core.Time, epoch uint64) {
	h.isHead = true
	h.epoch = epoch
	h.headSince = now
	h.previousKnown = false
	h.previousLeaseEnd = now + h.takeoverWait()
	h.previousClaims, h.previousClaimsAll = nil, true
	h.ownEarlierClaims = nil
	h.resetGrant()
	h.nextSubmitAt = 0
}

func (h *leaseHolder) resetGrant() {
	h.requestedFence, h.grantedFence = 0, 0
	h.claimedInstances, h.inheritedClaims, h.grantedInstances = nil, nil, nil
	h.releaseSubmitted = false
}

// learnPreviousClaims finds out which brokers a former holder may have ordered. Only a state that is current as of this headship tells:
// what the former head was granted is in it, and it orders nothing else.
func (h *leaseHolder) learnPreviousClaims(now core.Time, s *Situation) {
	if h.previousKnown {
		return
	}
	if now >= h.previousLeaseEnd {
		h.previousKnown = true
		return
	}
	if s.GrantAsOf == 0 || s.GrantAsOf < h.headSince {
		return
	}
	h.previousKnown = true
	h.previousClaimsAll = false
	if s.Grant == nil || s.Grant.Released {
		return
	}
	// A former life of this machine is the same holder; what it had found ordered by another one it has named.
	ordered := s.Grant.Targets
	if s.Grant.Holder == h.holderID {
		ordered = s.Grant.Former
		h.ownEarlierClaims = s.Grant.Targets
	}
	h.previousClaims = map[string]bool{}
	for _, id := range ordered {
		h.previousClaims[id] = true
	}
}

// blockedByPrevious reports whether a broker may have been ordered by a former holder so lately that this one must not.
func (h *leaseHolder) blockedByPrevious(now core.Time, id string) bool {
	return !h.previousKnown || now < h.previousLeaseEnd && (h.previousClaimsAll || h.previousClaims[id])
}

// observeGrant finds out whether the grant that stands is the one asked for.
func (h *leaseHolder) observeGrant(grant *nodepb.DutyChange) {
	h.grantedFence = 0
	h.grantedInstances = nil
	if grant == nil || h.requestedFence == 0 || grant.Holder != h.holderID || grant.Fence != h.requestedFence {
		return
	}
	if grant.Released {
		h.resetGrant()
		return
	}
	h.grantedFence = h.requestedFence
	h.grantedInstances = make(map[string]bool, len(grant.Targets))
	for _, id := range grant.Targets {
		h.grantedInstances[id] = true
	}
}

// mayOrder reports whether an order to the broker may leave now.
func (h *leaseHolder) mayOrder(now core.Time, s *Situation, id string) bool {
	return h.grantCovers(id) && !h.blockedByPrevious(now, id) && h.headLeaseValid(now, s)
}

// headLeaseValid reports whether this node is certainly the head still.
func (h *leaseHolder) headLeaseValid(now core.Time, s *Situation) bool {
	return h.previousKnown && now < s.headLeaseEnd()
}

// grantCovers reports whether the grant that stands names the broker.
func (h *leaseHolder) grantCovers(id string) bool {
	return h.grantedFence != 0 && !h.releaseSubmitted && h.grantedInstances[id]
}

// claim notes that a broker is to be named in the grant.
func (h *leaseHolder) claim(id string) {
	if !slices.Contains(h.claimedInstances, id) {
		h.claimedInstances = append(h.claimedInstances, id)
		h.nextSubmitAt = 0
	}
}

// grantIncomplete reports whether something was claimed that the grant that stands does not name.
func (h *leaseHolder) grantIncomplete() bool {
	return h.releaseSubmitted || h.grantedFence == 0 || len(h.grantedInstances) < len(h.claimedInstances)
}

// requestGrant asks for the grant of all that was claimed, where it does not stand. Within a fence claims are only added, so that a
// change that comes late takes nothing back.
func (h *leaseHolder) requestGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if !h.headLeaseValid(now, s) || len(h.claimedInstances) == 0 || !h.grantIncomplete() || now < h.nextSubmitAt {
		return outputs
	}
	if h.requestedFence == 0 || h.releaseSubmitted {
		// A release that is under way names the fence that it gives up, so a grant under a higher one outlives it.
		h.requestedFence = max(h.epoch<<fenceEpochShift, h.maxFence+1)
		h.maxFence = h.requestedFence
		h.grantedFence, h.grantedInstances, h.releaseSubmitted = 0, nil, false
		h.inheritPreviousClaims(now)
	}
	change := &nodepb.DutyChange{
		Duty: RoleName, Holder: h.holderID, Fence: h.requestedFence, Targets: slices.Clone(h.claimedInstances), Former: slices.Clone(h.inheritedClaims),
	}
	return h.submitChange(now, change, outputs)
}

// inheritPreviousClaims names what a former holder, or a former life of this one, may have ordered in this node's grant as well, while that counts:
// who comes after this node must know of it too.
func (h *leaseHolder) inheritPreviousClaims(now core.Time) {
	h.inheritedClaims = nil
	if now >= h.previousLeaseEnd {
		return
	}
	h.inheritedClaims = slices.Sorted(maps.Keys(h.previousClaims))
	for _, id := range slices.Concat(h.inheritedClaims, h.ownEarlierClaims) {
		if !slices.Contains(h.claimedInstances, id) {
			h.claimedInstances = append(h.claimedInstances, id)
		}
	}
}

// releasableAt is the moment from which a grant that nothing is needed of may be given back: by then no other's order can
// follow the last of this node's, or of a holder before it, within the lease.
func (h *leaseHolder) releasableAt() core.Time {
	if h.grantedFence == 0 {
		return core.Never
	}
	at := max(h.nextSubmitAt, h.previousLeaseEnd)
	if h.lastOrderAt != 0 {
		at = max(at, h.lastOrderAt+h.leaseDuration+takeoverMargin)
	}
	return at
}

func (h *leaseHolder) releaseGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if h.grantedFence == 0 {
		return h.releasePreviousGrant(now, s, outputs)
	}
	if now < h.releasableAt() {
		return outputs
	}
	h.releaseSubmitted = true
	h.claimedInstances = nil
	return h.submitChange(now, &nodepb.DutyChange{Duty: RoleName, Holder: h.holderID, Fence: h.grantedFence, Released: true}, outputs)
}

// releasePreviousGrant ends a grant that a former holder left open, once its orders are old: else whoever becomes head later would leave its
// brokers alone for no reason.
func (h *leaseHolder) releasePreviousGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if s.Grant == nil || s.Grant.Released || now < h.previousReleasableAt(s) || !h.headLeaseValid(now, s) {
		return outputs
	}
	h.maxFence++
	fence := max(h.epoch<<fenceEpochShift, h.maxFence)
	h.maxFence = fence
	return h.submitChange(now, &nodepb.DutyChange{Duty: RoleName, Holder: h.holderID, Fence: fence, Released: true}, outputs)
}

// previousReleasableAt is when closeFormer has something to do; core.Never: nothing.
func (h *leaseHolder) previousReleasableAt(s *Situation) core.Time {
	if !h.previousKnown || h.grantedFence != 0 || s.Grant == nil || s.Grant.Released {
		return core.Never
	}
	return max(h.nextSubmitAt, h.previousLeaseEnd)
}

func (h *leaseHolder) submitChange(now core.Time, change *nodepb.DutyChange, outputs []core.Output) []core.Output {
	h.nextSubmitAt = now + submitTimeout
	return append(outputs, core.SubmitCommand{Command: &nodepb.Command{
		Id:     commandID(change),
		Change: &nodepb.Command_Duty{Duty: change},
	}})
}

// commandID is the same for the same change, so that it is recognised when it comes again.
func commandID(change *nodepb.DutyChange) string {
	id := change.Duty + "/" + change.Holder + "/" + strconv.FormatUint(change.Fence, 10) + "/" + strconv.Itoa(len(change.Targets))
	if change.Released {
		id += "/released"
	}
	return id
}

// submitDone takes the end of a submitted change. A grant counts only once it stands in the situation.
func (h *leaseHolder) submitDone(now core.Time, result *nodepb.CommandResult) {
	if result.GetCode() == nodepb.ResultCode_TAKEN {
		return
	}
	h.nextSubmitAt = now + submitBackoff
}

// fenceSuperseded gives up the grant after a broker has seen a higher fence. A later one is taken well above it.
func (h *leaseHolder) fenceSuperseded(now core.Time) {
	h.resetGrant()
	h.maxFence += 1 << fenceEpochShift
	h.previousLeaseEnd = now + h.takeoverWait()
	h.previousClaimsAll = true
	h.nextSubmitAt = h.previousLeaseEnd
}
