package distribution

import (
	"slices"
	"strings"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// subscriber is a node that polled this one lately, and is sent changes as they come.
type subscriber struct {
	address    string
	knownIndex uint64 // index of the state that it holds once it has what was sent to it
	knownEpoch uint64 // epoch of the view that it has then
	expiresAt  core.Time
}

// snapshotCache keeps an encoded state for a short time, as many nodes may need it at once.
type snapshotCache struct {
	message   *nodepb.StateSnapshot
	expiresAt core.Time
}

// expire drops the snapshot after its time.
func (c *snapshotCache) expire(now core.Time) {
	if c.message != nil && c.expiresAt <= now {
		c.message = nil
	}
}

// receivePoll answers with what the polling node lacks, and with the age of this node's confirmation
// if this node is attached to the core.
func (d *Distribution) receivePoll(now core.Time, from core.Peer, poll *nodepb.StatePoll) {
	reply := &nodepb.StatePollReply{Nonce: poll.Nonce, Index: d.state.Index()}
	if d.attached(now) {
		reply.Confirmed = true
		reply.AgeMs = core.Milliseconds(now - d.confirmedAt)
	}
	if d.view.GetEpoch() > poll.ViewEpoch {
		reply.View = d.view
	}
	reply.Entries, reply.Snapshot = d.missingAfter(now, poll.Index)
	d.outbox.Send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePollReply{StatePollReply: reply}})
	if poll.Subscribe {
		d.subscribe(now, from, poll)
	}
	if d.Tail() {
		d.requestConfirmation(now)
	}
}

// attached reports whether this node is in contact with the core, through its upstreams or as the
// tail. A detached node says so in its replies, so that its pollers turn to others before the age of
// its confirmation shows it.
func (d *Distribution) attached(now core.Time) bool {
	return d.confirmed && (d.confirmedTail(now) || now < d.attachedUntil)
}

// subscribe adds or renews the subscription of the node that polled. The reply to its poll brings it to
// this node's index and view.
func (d *Distribution) subscribe(now core.Time, from core.Peer, poll *nodepb.StatePoll) {
	d.subscribers[from.NodeID] = &subscriber{
		address:    from.Address,
		knownIndex: max(poll.Index, d.state.Index()),
		knownEpoch: max(poll.ViewEpoch, d.view.GetEpoch()),
		expiresAt:  now + subscriptionTimeout,
	}
}

// missingAfter returns what a node at an index lacks: the entries if they are few and in the ring, else
// a snapshot.
func (d *Distribution) missingAfter(now core.Time, index uint64) ([]*nodepb.Entry, *nodepb.StateSnapshot) {
	if index >= d.state.Index() {
		return nil, nil
	}
	entries, complete := d.ring.after(index)
	if complete && len(entries) <= maxEntriesInReply {
		return entries, nil
	}
	return nil, d.currentSnapshot(now)
}

// currentSnapshot returns the encoded state, from the cache if it is current.
func (d *Distribution) currentSnapshot(now core.Time) *nodepb.StateSnapshot {
	if d.snapshot.message.GetIndex() != d.state.Index() {
		d.snapshot.message = &nodepb.StateSnapshot{Index: d.state.Index(), State: d.state.Snapshot()}
	}
	d.snapshot.expiresAt = now + snapshotRetention
	return d.snapshot.message
}

// requestConfirmation has the store send a barrier through the chain if the tail's confirmation is
// older than ConfirmationAge.
func (d *Distribution) requestConfirmation(now core.Time) {
	fresh := d.confirmed && now-d.confirmedAt <= d.options.confirmationAge()
	if fresh || now-d.confirmationRequestedAt < confirmationRetryInterval {
		return
	}
	d.confirmationRequestedAt = now
	d.outbox.Add(core.RequestBarrier{})
}

// pushChanges sends subscribers what they lack. A lost push is made up by the subscriber's next poll.
func (d *Distribution) pushChanges(now core.Time) {
	for _, destination := range d.activeSubscribers(now) {
		if destination.knownIndex >= d.state.Index() {
			continue
		}
		push := &nodepb.StatePush{Index: d.state.Index()}
		push.Entries, push.Snapshot = d.missingAfter(now, destination.knownIndex)
		destination.knownIndex = d.state.Index()
		d.push(destination, push)
	}
}

// pushView sends subscribers a new view.
func (d *Distribution) pushView(now core.Time) {
	for _, destination := range d.activeSubscribers(now) {
		if destination.knownEpoch < d.view.Epoch {
			d.push(destination, &nodepb.StatePush{Index: destination.knownIndex})
		}
	}
}

// push sends a subscriber a push, with the view if it lacks that.
func (d *Distribution) push(destination *subscriber, push *nodepb.StatePush) {
	if destination.knownEpoch < d.view.GetEpoch() {
		destination.knownEpoch = d.view.Epoch
		push.View = d.view
	}
	d.outbox.Send(destination.address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePush{StatePush: push}})
}

// activeSubscribers lists the subscribers whose subscription has not expired, in order of address.
func (d *Distribution) activeSubscribers(now core.Time) []*subscriber {
	var active []*subscriber
	for _, known := range d.subscribers {
		if known.expiresAt > now {
			active = append(active, known)
		}
	}
	slices.SortFunc(active, func(a, b *subscriber) int { return strings.Compare(a.address, b.address) })
	return active
}

// expireSubscribers drops the subscribers that have not polled for subscriptionTimeout.
func (d *Distribution) expireSubscribers(now core.Time) {
	for id, known := range d.subscribers {
		if known.expiresAt <= now {
			delete(d.subscribers, id)
		}
	}
}
