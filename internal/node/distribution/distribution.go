package distribution

import (
	"math/rand/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Distribution is the state machine of one node. It is not safe for concurrent use.
type Distribution struct {
	options Options
	random  *rand.Rand
	state   State
	ring    ring
	view    *nodepb.View

	members     []*nodepb.Member
	candidates  []*upstream            // nodes to poll, best first
	upstreams   map[string]*upstream   // the candidates by address
	subscribers map[string]*subscriber // by node id

	confirmedAt   core.Time // valid if confirmed
	confirmed     bool      // the state has been confirmed at some time
	reach         coreReach
	attachedUntil core.Time // by the last answer of an upstream that was attached to the core

	round      pollRound // the current one
	nextPoll   core.Time // start of the next round
	pollRounds int       // rounds so far
	lastNonce  uint64    // of the newest poll

	confirmationRequestedAt core.Time // when core.RequestBarrier was last put out
	snapshot                snapshotCache

	outbox core.Outbox
}

// New returns a distribution of the state in the options. random spreads the times of polls.
func New(now core.Time, options Options, random *rand.Rand) *Distribution {
	d := &Distribution{
		options:                 options,
		random:                  random,
		state:                   options.State,
		upstreams:               map[string]*upstream{},
		subscribers:             map[string]*subscriber{},
		nextPoll:                now,
		lastNonce:               random.Uint64(),
		confirmationRequestedAt: -confirmationRetryInterval,
		round:                   pollRound{hedgeAt: core.Never},
	}
	d.rankUpstreams()
	return d
}

// Index returns the index of the control state held.
func (d *Distribution) Index() uint64 { return d.state.Index() }

// View returns the newest view known, nil without one. It must not be changed.
func (d *Distribution) View() *nodepb.View { return d.view }

// ConfirmedAt returns a moment on this node's monotonic clock at which no member of the chain held a
// newer committed state than this node does now; false if none is known.
func (d *Distribution) ConfirmedAt() (core.Time, bool) { return d.confirmedAt, d.confirmed }

// SetMembers sets the nodes that are alive or suspected. This node may be among them.
func (d *Distribution) SetMembers(now core.Time, members []*nodepb.Member) []core.Output {
	d.members = members
	d.rankUpstreams()
	d.pollIfNeverPolled(now)
	return d.outbox.Take()
}

// SetView hands in a view of this node's own store. One that is not newer than the known one is ignored.
func (d *Distribution) SetView(now core.Time, view *nodepb.View) []core.Output {
	d.adoptView(now, view)
	return d.outbox.Take()
}

// adoptView adopts a newer view and pushes it to the subscribers.
func (d *Distribution) adoptView(now core.Time, view *nodepb.View) {
	if view == nil || view.Epoch <= d.view.GetEpoch() {
		return
	}
	d.view = view
	d.rankUpstreams()
	d.pushView(now)
}

// Committed applies an entry that this node's own store committed.
func (d *Distribution) Committed(now core.Time, entry *nodepb.Entry) []core.Output {
	d.catchUp(now, []*nodepb.Entry{entry}, nil)
	return d.outbox.Take()
}

// Installed restores the state that this node's own store installed from a snapshot.
func (d *Distribution) Installed(now core.Time, snapshot *nodepb.StateSnapshot) []core.Output {
	d.catchUp(now, nil, snapshot)
	return d.outbox.Take()
}

// staleAge is the age of a confirmation beyond which its sender counts as detached from the core.
func (d *Distribution) staleAge() core.Time { return d.options.confirmationAge() + staleTolerance }

// LocalConfirmed reports that a barrier of this node's own store, as the tail, has confirmed its state
// by all members of the chain as of a moment on this node's monotonic clock.
func (d *Distribution) LocalConfirmed(_ core.Time, confirmedAt core.Time) { d.confirm(confirmedAt) }

// confirm records a confirmation of the state held. The newest one counts.
func (d *Distribution) confirm(confirmedAt core.Time) {
	if !d.confirmed || confirmedAt > d.confirmedAt {
		d.confirmedAt = confirmedAt
	}
	d.confirmed = true
}

// Receive handles a message of another node. Messages of other kinds than its own are ignored.
func (d *Distribution) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	switch body := message.Body.(type) {
	case *nodepb.Envelope_StatePoll:
		d.receivePoll(now, from, body.StatePoll)
	case *nodepb.Envelope_StatePollReply:
		d.receiveReply(now, from, body.StatePollReply)
	case *nodepb.Envelope_StatePush:
		d.receivePush(now, from, body.StatePush)
	}
	return d.outbox.Take()
}

// Tick does the work that is due at now. It is to be called at Deadline.
func (d *Distribution) Tick(now core.Time) []core.Output {
	d.updateCoreReach(now)
	d.expireSubscribers(now)
	d.snapshot.expire(now)
	if d.nextPoll <= now {
		d.startPollRound(now)
	}
	if d.round.hedgeAt <= now {
		d.hedge(now)
	}
	return d.outbox.Take()
}

// Deadline is when Tick is next due.
func (d *Distribution) Deadline() core.Time { return min(d.nextPoll, d.round.hedgeAt) }

// catchUp applies what another node or this node's own store committed, and pushes it to subscribers.
func (d *Distribution) catchUp(now core.Time, entries []*nodepb.Entry, snapshot *nodepb.StateSnapshot) {
	previousIndex := d.state.Index()
	d.restore(snapshot)
	for _, entry := range entries {
		d.apply(entry)
	}
	if d.state.Index() == previousIndex {
		return
	}
	d.outbox.Add(core.StateChanged{})
	d.pushChanges(now)
}

// restore replaces the state by a newer snapshot; an older one is ignored.
func (d *Distribution) restore(snapshot *nodepb.StateSnapshot) {
	if snapshot == nil || snapshot.Index <= d.state.Index() {
		return
	}
	if err := d.state.Restore(snapshot.State); err != nil {
		d.outbox.Add(core.Log{Message: "distribution: control state not readable", Fields: []any{"index", snapshot.Index, "error", err}})
		return
	}
	d.ring.clear()
}

// apply applies the entry that follows the state; others are ignored.
func (d *Distribution) apply(entry *nodepb.Entry) {
	if entry.Index != d.state.Index()+1 {
		return
	}
	d.state.Apply(entry)
	d.ring.add(entry)
}
