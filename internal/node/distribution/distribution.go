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
	candidates  []*upstream            // whom to poll, best first
	upstreams   map[string]*upstream   // by address, also those that are no candidates just now
	subscribers map[string]*subscriber // by node id

	confirmedAt   core.Time
	confirmedOnce bool
	attachedUntil core.Time // by the last answer of an upstream that was in touch with the core

	round    round // the poll under way
	nextPoll core.Time
	polls    int
	nonce    uint64

	confirmationAsked core.Time // when ConfirmationWanted was last put out
	snapshot          snapshotCache

	outputs []core.Output
}

// New returns a distribution that holds what its state holds.
func New(now core.Time, options Options, random *rand.Rand) *Distribution {
	d := &Distribution{
		options:           options,
		random:            random,
		state:             options.State,
		upstreams:         map[string]*upstream{},
		subscribers:       map[string]*subscriber{},
		nextPoll:          now,
		nonce:             random.Uint64(),
		confirmationAsked: -confirmationRetry,
		round:             round{hedgeAt: core.Never},
	}
	d.rankUpstreams()
	return d
}

// Index is that of the control state held.
func (d *Distribution) Index() uint64 { return d.state.Index() }

// View is the newest view known, nil without one.
func (d *Distribution) View() *nodepb.View { return d.view }

// ConfirmedAt is a moment, on this node's steady clock, at which the whole chain held no newer state than this node's; false where
// none is known.
func (d *Distribution) ConfirmedAt() (core.Time, bool) { return d.confirmedAt, d.confirmedOnce }

// SetMembers tells the nodes that are alive or suspected. This node may be among them.
func (d *Distribution) SetMembers(now core.Time, members []*nodepb.Member) []core.Output {
	d.members = members
	d.rankUpstreams()
	d.pollIfUnasked(now)
	return d.takeOutputs()
}

// SetView tells a view from this node's own store. Older ones than the one known are ignored.
func (d *Distribution) SetView(now core.Time, view *nodepb.View) []core.Output {
	d.learnView(now, view)
	return d.takeOutputs()
}

func (d *Distribution) learnView(now core.Time, view *nodepb.View) {
	if view == nil || view.Epoch <= d.view.GetEpoch() {
		return
	}
	d.view = view
	d.rankUpstreams()
	d.pushView(now)
}

// Committed takes an entry that this node's own store committed.
func (d *Distribution) Committed(now core.Time, entry *nodepb.Entry) []core.Output {
	d.take(now, []*nodepb.Entry{entry}, nil)
	return d.takeOutputs()
}

// Installed takes a state that this node's own store was brought to.
func (d *Distribution) Installed(now core.Time, snapshot *nodepb.StateSnapshot) []core.Output {
	d.take(now, nil, snapshot)
	return d.takeOutputs()
}

func (d *Distribution) staleAge() core.Time { return d.options.confirmationAge() + staleSlack }

// LocalConfirmed tells that this node's own store, as the tail, knows its state to be confirmed by the whole chain as of a moment of
// this node's steady clock.
func (d *Distribution) LocalConfirmed(_ core.Time, at core.Time) { d.confirm(at) }

func (d *Distribution) confirm(at core.Time) {
	if !d.confirmedOnce || at > d.confirmedAt {
		d.confirmedAt = at
	}
	d.confirmedOnce = true
}

// Receive takes a message of another node.
func (d *Distribution) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	switch body := message.Body.(type) {
	case *nodepb.Envelope_StatePoll:
		d.receivePoll(now, from, body.StatePoll)
	case *nodepb.Envelope_StatePollReply:
		d.receiveReply(now, from, body.StatePollReply)
	case *nodepb.Envelope_StatePush:
		d.receivePush(now, from, body.StatePush)
	}
	return d.takeOutputs()
}

// Tick does what is due.
func (d *Distribution) Tick(now core.Time) []core.Output {
	d.dropSubscribers(now)
	d.snapshot.expire(now)
	if d.nextPoll <= now {
		d.startRound(now)
	}
	if d.round.hedgeAt <= now {
		d.hedge(now)
	}
	return d.takeOutputs()
}

// Deadline is when Tick is next due.
func (d *Distribution) Deadline() core.Time { return min(d.nextPoll, d.round.hedgeAt) }

// take brings the state up to what another node or the own store committed, and tells subscribers.
func (d *Distribution) take(now core.Time, entries []*nodepb.Entry, snapshot *nodepb.StateSnapshot) {
	before := d.state.Index()
	d.restore(snapshot)
	for _, entry := range entries {
		d.apply(entry)
	}
	if d.state.Index() == before {
		return
	}
	d.output(core.StateChanged{})
	d.pushChanges(now)
}

// restore replaces the state by a newer one. It never goes back.
func (d *Distribution) restore(snapshot *nodepb.StateSnapshot) {
	if snapshot == nil || snapshot.Index <= d.state.Index() {
		return
	}
	if err := d.state.Restore(snapshot.State); err != nil {
		d.output(core.Log{Message: "control state not readable", Fields: []any{"index", snapshot.Index, "error", err}})
		return
	}
	d.ring.clear()
}

// apply takes the entry that follows the state; others are ignored.
func (d *Distribution) apply(entry *nodepb.Entry) {
	if entry.Index != d.state.Index()+1 {
		return
	}
	d.state.Apply(entry)
	d.ring.add(entry)
}

func (d *Distribution) output(output core.Output) { d.outputs = append(d.outputs, output) }

func (d *Distribution) send(address string, message *nodepb.Envelope) {
	d.output(core.Send{Destination: address, Message: message})
}

func (d *Distribution) takeOutputs() []core.Output {
	taken := d.outputs
	d.outputs = nil
	return taken
}
