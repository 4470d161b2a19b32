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
	// fenceEpochShift leaves 2^16 fences to each epoch, so that the fences of two epochs never
	// meet.
	fenceEpochShift = 16
	// submitTimeout is how long the result of a submitted change is awaited before it is submitted
	// again.
	submitTimeout = 1500 * time.Millisecond
	// submitBackoff follows a rejected change.
	submitBackoff = 300 * time.Millisecond
)

// grantCovers reports whether the committed grant of this node claims the instance.
func (h *leaseHolder) grantCovers(id string) bool {
	return h.grantedFence != 0 && !h.releaseSubmitted && h.grantedInstances[id]
}

// grantIncomplete reports whether an instance is claimed that the committed grant does not claim.
func (h *leaseHolder) grantIncomplete() bool {
	return h.releaseSubmitted || h.grantedFence == 0 || len(h.grantedInstances) < len(h.claimedInstances)
}

// requestGrant submits a grant of all claimed instances where the committed one lacks some. Within
// a fence claims are only added, so that a change that is committed late takes none back.
func (h *leaseHolder) requestGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if !h.headLeaseValid(now, s) || len(h.claimedInstances) == 0 || !h.grantIncomplete() || now < h.nextSubmitAt {
		return outputs
	}
	if h.requestedFence == 0 || h.releaseSubmitted {
		h.beginGrant(now)
	}
	return h.submitChange(now, &nodepb.LeaseChange{
		Role:            RoleName,
		Holder:          h.holderID,
		FencingToken:    h.requestedFence,
		Claims:          slices.Clone(h.claimedInstances),
		InheritedClaims: slices.Clone(h.inheritedClaims),
	}, outputs)
}

// beginGrant chooses the fence of a new grant. A release in flight names the fence that it gives
// up, so a grant under a higher one outlives it.
func (h *leaseHolder) beginGrant(now core.Time) {
	h.requestedFence = max(h.epoch<<fenceEpochShift, h.maxFence+1)
	h.maxFence = h.requestedFence
	h.grantedFence = 0
	h.grantedInstances = nil
	h.releaseSubmitted = false
	h.inheritPreviousClaims(now)
}

// inheritPreviousClaims adds to this node's grant what a previous holder or an earlier incarnation
// of this machine may have ordered, while that is recent enough to count: the next holder must know
// of it too.
func (h *leaseHolder) inheritPreviousClaims(now core.Time) {
	h.inheritedClaims = nil
	if now >= h.previous.leaseEnd {
		return
	}
	h.inheritedClaims = slices.Sorted(maps.Keys(h.previous.claims))
	for _, id := range slices.Concat(h.inheritedClaims, h.previous.ownClaims) {
		if !slices.Contains(h.claimedInstances, id) {
			h.claimedInstances = append(h.claimedInstances, id)
		}
	}
}

// releasableAt is when this node's grant may be released: by then no order of a next holder, which
// need not wait after a release, can follow the last one of this or a previous holder within the
// lease. core.Never: there is no grant.
func (h *leaseHolder) releasableAt() core.Time {
	if h.grantedFence == 0 {
		return core.Never
	}
	releasableAt := max(h.nextSubmitAt, h.previous.leaseEnd)
	if h.lastOrderAt != 0 {
		releasableAt = max(releasableAt, h.lastOrderAt+h.leaseDuration+takeoverMargin)
	}
	return releasableAt
}

// releaseGrant submits the release of this node's grant, or else of one that a previous holder left
// open, once it may.
func (h *leaseHolder) releaseGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if h.grantedFence == 0 {
		return h.releasePreviousGrant(now, s, outputs)
	}
	if now < h.releasableAt() {
		return outputs
	}
	h.releaseSubmitted = true
	h.claimedInstances = nil
	return h.submitRelease(now, h.grantedFence, outputs)
}

// releasePreviousGrant releases a grant that a previous holder left open, once that holder's orders
// are old. Otherwise a later head would leave the claimed instances alone for no reason.
func (h *leaseHolder) releasePreviousGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if now < h.previousReleasableAt(s) || !h.headLeaseValid(now, s) {
		return outputs
	}
	fence := max(h.epoch<<fenceEpochShift, h.maxFence+1)
	h.maxFence = fence
	return h.submitRelease(now, fence, outputs)
}

// previousReleasableAt is when a previous holder's open grant may be released; core.Never: there is
// none.
func (h *leaseHolder) previousReleasableAt(s *Situation) core.Time {
	if !h.previous.known || h.grantedFence != 0 || s.Grant == nil || s.Grant.Released {
		return core.Never
	}
	return max(h.nextSubmitAt, h.previous.leaseEnd)
}

func (h *leaseHolder) submitRelease(now core.Time, fence uint64, outputs []core.Output) []core.Output {
	return h.submitChange(now, &nodepb.LeaseChange{Role: RoleName, Holder: h.holderID, FencingToken: fence, Released: true}, outputs)
}

func (h *leaseHolder) submitChange(now core.Time, change *nodepb.LeaseChange, outputs []core.Output) []core.Output {
	h.nextSubmitAt = now + submitTimeout
	return append(outputs, core.SubmitCommand{Command: &nodepb.Command{
		Id:     commandID(change),
		Change: &nodepb.Command_Lease{Lease: change},
	}})
}

// commandID is the same for the same change, so that a repeated submission is recognised. Within a
// fence claims are only added, so their number tells two changes apart.
func commandID(change *nodepb.LeaseChange) string {
	id := change.Role + "/" + change.Holder + "/" + strconv.FormatUint(change.FencingToken, 10) + "/" + strconv.Itoa(len(change.Claims))
	if change.Released {
		id += "/released"
	}
	return id
}

// submitDone takes the result of a submitted change. A grant counts only once a Situation has it.
func (h *leaseHolder) submitDone(now core.Time, result *nodepb.CommandResult) {
	if result.GetCode() == nodepb.ResultCode_TAKEN {
		return
	}
	h.nextSubmitAt = now + submitBackoff
}
