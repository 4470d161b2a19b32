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
	// decided: which brokers a former holder may have ordered is known; until then nothing is ordered.
	decided bool
	// waitUntil is when no former holder's order can be too young any more. Until then the brokers that such a one may have ordered are
	// left alone: those that its grant names, or all.
	waitUntil core.Time
	former    map[string]bool // by instance id
	formerAll bool
	// earlier are the brokers that a former life of this machine may have ordered.
	earlier []string

	name      string          // of this node in orders
	highest   uint64          // the highest fence known
	asked     uint64          // fence of the grant asked for; 0: none
	fence     uint64          // of the grant that stands in this node's name; 0: none
	claims    []string        // brokers that this node wants to order under the fence asked for, in the order of their claims
	inherited []string        // those of them that a former holder may have ordered
	granted   map[string]bool // those of them that the grant that stands names
	released  bool            // its release was asked for: nothing is ordered under it any more, whatever became of that
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
	h.former, h.formerAll = nil, true
	h.earlier = nil
	h.forgetGrant()
	h.retryAt = 0
}

func (h *holder) forgetGrant() {
	h.asked, h.fence = 0, 0
	h.claims, h.inherited, h.granted = nil, nil, nil
	h.released = false
}

// decide finds out which brokers a former holder may have ordered. Only a state that is current as of this headship tells:
// what the former head was granted is in it, and it orders nothing else.
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
	h.formerAll = false
	if s.Grant == nil || s.Grant.Released {
		return
	}
	// A former life of this machine is the same holder; what it had found ordered by another one it has named.
	ordered := s.Grant.Targets
	if s.Grant.Holder == h.name {
		ordered = s.Grant.Former
		h.earlier = s.Grant.Targets
	}
	h.former = map[string]bool{}
	for _, id := range ordered {
		h.former[id] = true
	}
}

// barred reports whether a broker may have been ordered by a former holder so lately that this one must not.
func (h *holder) barred(now core.Time, id string) bool {
	return !h.decided || now < h.waitUntil && (h.formerAll || h.former[id])
}

// noteGrant finds out whether the grant that stands is the one asked for.
func (h *holder) noteGrant(grant *nodepb.DutyChange) {
	h.fence = 0
	h.granted = nil
	if grant == nil || h.asked == 0 || grant.Holder != h.name || grant.Fence != h.asked {
		return
	}
	if grant.Released {
		h.forgetGrant()
		return
	}
	h.fence = h.asked
	h.granted = make(map[string]bool, len(grant.Targets))
	for _, id := range grant.Targets {
		h.granted[id] = true
	}
}

// mayOrder reports whether an order to the broker may leave now.
func (h *holder) mayOrder(now core.Time, s *Situation, id string) bool {
	return h.covers(id) && !h.barred(now, id) && h.leads(now, s)
}

// leads reports whether this node is certainly the head still.
func (h *holder) leads(now core.Time, s *Situation) bool { return h.decided && now < s.leaseEnd() }

// covers reports whether the grant that stands names the broker.
func (h *holder) covers(id string) bool { return h.fence != 0 && !h.released && h.granted[id] }

// claim notes that a broker is to be named in the grant.
func (h *holder) claim(id string) {
	if !slices.Contains(h.claims, id) {
		h.claims = append(h.claims, id)
		h.retryAt = 0
	}
}

// lacksGrant reports whether something was claimed that the grant that stands does not name.
func (h *holder) lacksGrant() bool {
	return h.released || h.fence == 0 || len(h.granted) < len(h.claims)
}

// takeGrant asks for the grant of all that was claimed, where it does not stand. Within a fence claims are only added, so that a
// change that comes late takes nothing back.
func (h *holder) takeGrant(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if !h.leads(now, s) || len(h.claims) == 0 || !h.lacksGrant() || now < h.retryAt {
		return outputs
	}
	if h.asked == 0 || h.released {
		// A release that is under way names the fence that it gives up, so a grant under a higher one outlives it.
		h.asked = max(h.epoch<<fenceEpochShift, h.highest+1)
		h.highest = h.asked
		h.fence, h.granted, h.released = 0, nil, false
		h.inherit(now)
	}
	change := &nodepb.DutyChange{
		Duty: DutyName, Holder: h.name, Fence: h.asked, Targets: slices.Clone(h.claims), Former: slices.Clone(h.inherited),
	}
	return h.submit(now, change, outputs)
}

// inherit names what a former holder, or a former life of this one, may have ordered in this node's grant as well, while that counts:
// who comes after this node must know of it too.
func (h *holder) inherit(now core.Time) {
	h.inherited = nil
	if now >= h.waitUntil {
		return
	}
	h.inherited = slices.Sorted(maps.Keys(h.former))
	for _, id := range slices.Concat(h.inherited, h.earlier) {
		if !slices.Contains(h.claims, id) {
			h.claims = append(h.claims, id)
		}
	}
}

// releaseAt is the moment from which a grant that nothing is needed of may be given back: by then no other's order can
// follow the last of this node's, or of a holder before it, within the lease.
func (h *holder) releaseAt() core.Time {
	if h.fence == 0 {
		return core.Never
	}
	at := max(h.retryAt, h.waitUntil)
	if h.lastOrder != 0 {
		at = max(at, h.lastOrder+h.lease+takeoverMargin)
	}
	return at
}

func (h *holder) release(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if h.fence == 0 {
		return h.closeFormer(now, s, outputs)
	}
	if now < h.releaseAt() {
		return outputs
	}
	h.released = true
	h.claims = nil
	return h.submit(now, &nodepb.DutyChange{Duty: DutyName, Holder: h.name, Fence: h.fence, Released: true}, outputs)
}

// closeFormer ends a grant that a former holder left open, once its orders are old: else whoever becomes head later would leave its
// brokers alone for no reason.
func (h *holder) closeFormer(now core.Time, s *Situation, outputs []core.Output) []core.Output {
	if s.Grant == nil || s.Grant.Released || now < h.closeAt(s) || !h.leads(now, s) {
		return outputs
	}
	h.highest++
	fence := max(h.epoch<<fenceEpochShift, h.highest)
	h.highest = fence
	return h.submit(now, &nodepb.DutyChange{Duty: DutyName, Holder: h.name, Fence: fence, Released: true}, outputs)
}

// closeAt is when closeFormer has something to do; core.Never: nothing.
func (h *holder) closeAt(s *Situation) core.Time {
	if !h.decided || h.fence != 0 || s.Grant == nil || s.Grant.Released {
		return core.Never
	}
	return max(h.retryAt, h.waitUntil)
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
	id := duty.Duty + "/" + duty.Holder + "/" + strconv.FormatUint(duty.Fence, 10) + "/" + strconv.Itoa(len(duty.Targets))
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
	h.forgetGrant()
	h.highest += 1 << fenceEpochShift
	h.waitUntil = now + h.takeoverWait()
	h.formerAll = true
	h.retryAt = h.waitUntil
}
