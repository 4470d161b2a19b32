package rollout

import (
	"strconv"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// fenceEpochShift leaves room in a fence for several grants within one epoch: the fences of two epochs never meet.
	fenceEpochShift = 16
	// grantRetry is how long the end of a submitted change is waited for before it is submitted anew.
	grantRetry = 1500 * time.Millisecond
	// grantPause is kept after a change was turned down.
	grantPause = 300 * time.Millisecond
	// takeoverMargin is added to the lease of the former holder: the way of an order to a broker.
	takeoverMargin = 300 * time.Millisecond
)

// holder keeps the right to order: headship, the grant, and the wait for a former holder.
type holder struct {
	lease time.Duration // within which two holders may not take turns
	thaw  time.Duration

	head      bool
	epoch     uint64
	headSince core.Time
	// decided: whether a former holder has to be waited for is known; until then nothing is ordered.
	decided   bool
	waitUntil core.Time

	name      string // of this node in orders
	highest   uint64 // the highest fence known
	asked     uint64 // fence of the grant asked for; 0: none
	fence     uint64 // of the grant that stands in this node's name; 0: none
	released  bool   // its release was asked for: nothing is ordered under it any more, whatever became of that
	retryAt   core.Time
	lastOrder core.Time // 0: none in this life
}

// takeoverWait is how long after this node became head another's last order may still be too young.
func (h *holder) takeoverWait() time.Duration {
	return h.lease + LeaseLength + max(takeoverMargin, h.thaw)
}

// observe takes what the situation says of headship and grant. It reports false while this node is not the head.
func (h *holder) observe(now core.Time, s *Situation) bool {
	h.name = s.Holder
	if s.Grant != nil {
		h.highest = max(h.highest, s.Grant.Fence)
	}
	if !s.Head {
		h.head = false
		return false
	}
	if !h.head || s.Epoch > h.epoch+1 {
		h.becomeHead(now, s.Epoch)
	}
	h.epoch = s.Epoch
	h.decide(now, s)
	h.noteGrant(s.Grant)
	return true
}

func (h *holder) becomeHead(now core.Time, epoch uint64) {
	h.head = true
	h.epoch = epoch
	h.headSince = now
	h.decided = false
	h.waitUntil = now + h.takeoverWait()
	h.asked, h.fence = 0, 0
	h.released = false
	h.retryAt = 0
}

// decide finds out whether a former holder has to be waited for. Only a state that is current as of this headship tells:
// what the former head was granted is in it.
func (h *holder) decide(now core.Time, s *Situation) {
	if h.decided {
		return
	}
	if now >= h.waitUntil {
		h.decided = true
		return
	}
	if s.GrantAsOf == 0 || s.GrantAsOf < h.headSince {
		return
	}
	h.decided = true
	if s.Grant == nil || s.Grant.Released {
		h.waitUntil = now
	}
}

// noteGrant finds out whether the grant that stands is the one asked for.
func (h *holder) noteGrant(grant *nodepb.DutyChange) {
	h.fence = 0
	if grant == nil || h.asked == 0 || grant.Holder != h.name || grant.Fence != h.asked {
		return
	}
	if !grant.Released {
		h.fence = h.asked
		return
	}
	h.asked = 0
	h.released = false
}

// mayOrder reports whether an order may leave now.
func (h *holder) mayOrder(now core.Time, s *Situation) bool {
	return h.decided && now >= h.waitUntil && h.fence != 0 && !h.released && now < s.leaseEnd()
}

// notBefore is the moment before which nothing can be ordered, whatever the lease says.
func (h *holder) notBefore() core.Time {
	if !h.decided {
		return 0
	}
	return h.waitUntil
}

// takeGrant asks for the grant where this node needs it and has not got it.
func (h *holder) takeGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if !h.decided || h.fence != 0 && !h.released || now < h.retryAt || now >= s.leaseEnd() {
		return outputs
	}
	// A release that is under way names the fence that it gives up, so a grant under a higher one outlives it.
	h.asked = max(h.epoch<<fenceEpochShift, h.highest+1)
	h.highest = h.asked
	h.fence, h.released = 0, false
	return h.submit(now, &nodepb.DutyChange{Duty: DutyName, Holder: h.name, Fence: h.asked}, outputs)
}

// releaseAt is the moment from which a grant that nothing is needed of may be given back: by then no other's order can
// follow the last of this node's within the lease.
func (h *holder) releaseAt() core.Time {
	if h.fence == 0 {
		return core.Never
	}
	if h.lastOrder == 0 {
		return h.retryAt
	}
	return max(h.retryAt, h.lastOrder+h.lease+takeoverMargin)
}

func (h *holder) release(now core.Time, outputs []core.Output) []core.Output {
	if now < h.releaseAt() {
		return outputs
	}
	h.released = true
	return h.submit(now, &nodepb.DutyChange{Duty: DutyName, Holder: h.name, Fence: h.fence, Released: true}, outputs)
}

func (h *holder) submit(now core.Time, duty *nodepb.DutyChange, outputs []core.Output) []core.Output {
	h.retryAt = now + grantRetry
	return append(outputs, core.SubmitCommand{Command: &nodepb.Command{
		Id:     commandID(duty),
		Change: &nodepb.Command_Duty{Duty: duty},
	}})
}

// commandID is the same for the same change, so that it is recognised when it comes again.
func commandID(duty *nodepb.DutyChange) string {
	id := duty.Duty + "/" + duty.Holder + "/" + strconv.FormatUint(duty.Fence, 10)
	if duty.Released {
		id += "/released"
	}
	return id
}

// submitted takes the end of a submitted change. A grant counts only once it stands in the situation.
func (h *holder) submitted(now core.Time, result *nodepb.CommandResult) {
	if result.GetCode() == nodepb.ResultCode_TAKEN {
		return
	}
	h.retryAt = now + grantPause
}

// superseded gives up the grant after a broker has seen a higher fence. A later one is taken well above it.
func (h *holder) superseded(now core.Time) {
	h.fence, h.asked = 0, 0
	h.released = false
	h.highest += 1 << fenceEpochShift
	h.waitUntil = now + h.takeoverWait()
	h.retryAt = h.waitUntil
}
