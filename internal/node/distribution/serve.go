package distribution

import (
	"slices"
	"strings"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// subscriber is a node that polled this one lately.
type subscriber struct {
	address string
	index   uint64 // what it holds, as far as known
	epoch   uint64 // of the view that it knows
	until   core.Time
}

// snapshotCache keeps an encoded state for a short time, as many nodes may ask for it at once.
type snapshotCache struct {
	message *nodepb.StateSnapshot
	until   core.Time
}

func (c *snapshotCache) expire(now core.Time) {
	if c.message != nil && c.until <= now {
		c.message = nil
	}
}

// receivePoll answers with what the asking node lacks, and with the age of this node's confirmation.
func (d *Distribution) receivePoll(now core.Time, from core.Peer, poll *nodepb.StatePoll) {
	reply := &nodepb.StatePollReply{Nonce: poll.Nonce, Index: d.state.Index()}
	if d.attached(now) {
		reply.Confirmed = true
		reply.AgeMs = milliseconds(now - d.confirmedAt)
	}
	if d.view.GetEpoch() > poll.ViewEpoch {
		reply.View = d.view
	}
	reply.Entries, reply.Snapshot = d.missing(now, poll.Index)
	d.send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePollReply{StatePollReply: reply}})
	if poll.Subscribe {
		d.subscribe(now, from, poll)
	}
	if d.Tail() {
		d.wantConfirmation(now)
	}
}

// attached reports whether this node is in touch with the core, through its upstreams or as the tail. One that is not says so,
// so that who polls it turns to others before ages tell.
func (d *Distribution) attached(now core.Time) bool {
	return d.confirmedOnce && (d.confirmedTail(now) || now < d.attachedUntil)
}

func (d *Distribution) subscribe(now core.Time, from core.Peer, poll *nodepb.StatePoll) {
	d.subscribers[from.NodeID] = &subscriber{
		address: from.Address,
		index:   max(poll.Index, d.state.Index()),
		epoch:   max(poll.ViewEpoch, d.view.GetEpoch()),
		until:   now + subscribedFor,
	}
}

// missing returns what follows an index: entries where they are few, else the whole state.
func (d *Distribution) missing(now core.Time, index uint64) ([]*nodepb.Entry, *nodepb.StateSnapshot) {
	if index >= d.state.Index() {
		return nil, nil
	}
	entries, complete := d.ring.after(index)
	if complete && len(entries) <= mostEntriesInReply {
		return entries, nil
	}
	return nil, d.currentSnapshot(now)
}

func (d *Distribution) currentSnapshot(now core.Time) *nodepb.StateSnapshot {
	if d.snapshot.message.GetIndex() != d.state.Index() {
		d.snapshot.message = &nodepb.StateSnapshot{Index: d.state.Index(), State: d.state.Snapshot()}
	}
	d.snapshot.until = now + snapshotKept
	return d.snapshot.message
}

// wantConfirmation asks for a barrier through the chain where the tail's own confirmation is getting old.
func (d *Distribution) wantConfirmation(now core.Time) {
	fresh := d.confirmedOnce && now-d.confirmedAt <= d.options.confirmationAge()
	if fresh || now-d.confirmationAsked < confirmationRetry {
		return
	}
	d.confirmationAsked = now
	d.output(core.RequestBarrier{})
}

// pushChanges sends subscribers what they lack.
func (d *Distribution) pushChanges(now core.Time) {
	for _, to := range d.activeSubscribers(now) {
		if to.index >= d.state.Index() {
			continue
		}
		push := &nodepb.StatePush{Index: d.state.Index()}
		push.Entries, push.Snapshot = d.missing(now, to.index)
		to.index = d.state.Index()
		d.push(to, push)
	}
}

// pushView tells subscribers of a new view.
func (d *Distribution) pushView(now core.Time) {
	for _, to := range d.activeSubscribers(now) {
		if to.epoch < d.view.Epoch {
			d.push(to, &nodepb.StatePush{Index: to.index})
		}
	}
}

func (d *Distribution) push(to *subscriber, push *nodepb.StatePush) {
	if to.epoch < d.view.GetEpoch() {
		to.epoch = d.view.Epoch
		push.View = d.view
	}
	d.send(to.address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePush{StatePush: push}})
}

// activeSubscribers lists who polled lately, in order of address.
func (d *Distribution) activeSubscribers(now core.Time) []*subscriber {
	var active []*subscriber
	for _, known := range d.subscribers {
		if known.until > now {
			active = append(active, known)
		}
	}
	slices.SortFunc(active, func(a, b *subscriber) int { return strings.Compare(a.address, b.address) })
	return active
}

func (d *Distribution) dropSubscribers(now core.Time) {
	for id, known := range d.subscribers {
		if known.until <= now {
			delete(d.subscribers, id)
		}
	}
}
