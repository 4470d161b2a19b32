package registry

import (
	"math/rand/v2"
	"strings"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Registry is the state machine of one node's registry. It is not safe for concurrent use.
type Registry struct {
	options Options
	random  *rand.Rand

	self       *peer
	peers      map[string]*peer // by node id, without this node
	others     []*peer          // the same, in order of node id
	othersSeen core.Time        // when another node was last known

	records   map[string]*record // by instance id
	topics    map[topicKey]*topic
	sum       uint64 // over all topics
	liveCount uint32
	gone      int // records that have gone

	table    *Table
	repaint  map[string]bool // services whose lists in the table are to be made anew
	announce bool            // TableChanged is to be put out

	nonce    uint64
	spreads  []*spread
	forwards []*forwarded
	batch    []string  // changed brokers to tell the nodes of
	batchAt  core.Time // when to; Never: no batch

	nextSilenceCheck core.Time
	nextExpiry       core.Time
	nextPoll         core.Time
	synced           bool // another node's entries have come, or none has any
	firstPolls       int  // polls before that
	pollCursor       int
	polled           *peer // owes the answer to the last poll

	clock   core.Time // of the newest input
	outputs []core.Output
}

// New returns an empty registry.
func New(now core.Time, options Options, random *rand.Rand) *Registry {
	return &Registry{
		options: options,
		random:  random,
		self: &peer{
			id: options.SelfID, address: options.SelfAddress, controlAddress: options.ControlAddress,
			zone: options.Zone, self: true,
		},
		peers:            map[string]*peer{},
		othersSeen:       distantPast,
		records:          map[string]*record{},
		topics:           map[topicKey]*topic{},
		table:            &Table{ByService: map[string][]*Instance{}, ByID: map[string]*Instance{}},
		repaint:          map[string]bool{},
		nonce:            random.Uint64(),
		batchAt:          core.Never,
		nextSilenceCheck: core.Never,
		nextExpiry:       core.Never,
		nextPoll:         now,
	}
}

// Receive takes a message of another node.
func (r *Registry) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	r.clock = now
	r.heardOf(from)
	switch body := message.Body.(type) {
	case *nodepb.Envelope_HeartbeatForward:
		r.receiveForward(now, from, body.HeartbeatForward)
	case *nodepb.Envelope_HeartbeatForwardReply:
		r.receiveForwardReply(body.HeartbeatForwardReply)
	case *nodepb.Envelope_InstanceUpdate:
		r.receiveUpdate(now, from, body.InstanceUpdate)
	case *nodepb.Envelope_InstanceUpdateAck:
		r.receiveUpdateAck(now, from, body.InstanceUpdateAck)
	case *nodepb.Envelope_RegistryPoll:
		r.receivePoll(now, from, body.RegistryPoll)
	case *nodepb.Envelope_RegistrySnapshot:
		r.receiveSnapshot(now, from, body.RegistrySnapshot)
	}
	return r.takeOutputs()
}

// heardOf notes that a peer answers again.
func (r *Registry) heardOf(from core.Peer) {
	if known := r.peers[from.NodeID]; known != nil {
		known.unresponsiveUntil = 0
	}
}

// Tick does what is due.
func (r *Registry) Tick(now core.Time) []core.Output {
	r.clock = now
	if late := now - r.Deadline(); late > stallLimit {
		r.excuseSilence(now)
	}
	if r.batchAt <= now {
		r.flushBatch(now)
	}
	r.tickForwards(now)
	r.tickSpreads(now)
	if r.nextSilenceCheck <= now {
		r.checkSilence(now)
	}
	if r.nextExpiry <= now {
		r.expire(now)
	}
	if r.nextPoll <= now {
		r.poll(now)
	}
	return r.takeOutputs()
}

// Deadline is when Tick is next due.
func (r *Registry) Deadline() core.Time {
	next := min(r.batchAt, r.nextSilenceCheck, r.nextExpiry)
	if len(r.others) > 0 {
		next = min(next, r.nextPoll)
	}
	for _, pending := range r.spreads {
		next = min(next, pending.deadline())
	}
	for _, pending := range r.forwards {
		next = min(next, pending.deadline())
	}
	return next
}

// Instances lists the brokers that have not gone, as another node would be told of them. The messages belong to the
// caller.
func (r *Registry) Instances() []*nodepb.Instance {
	list := make([]*nodepb.Instance, 0, len(r.records))
	for _, rec := range r.records {
		if !rec.gone() {
			list = append(list, clone(rec.message(r.clock)))
		}
	}
	sortByID(list)
	return list
}

func (r *Registry) output(output core.Output) { r.outputs = append(r.outputs, output) }

func (r *Registry) send(address string, message *nodepb.Envelope) {
	r.output(core.Send{Destination: address, Message: message})
}

// takeOutputs hands over what has been gathered since the last call.
func (r *Registry) takeOutputs() []core.Output {
	if r.announce {
		r.announce = false
		r.output(core.TableChanged{})
	}
	taken := r.outputs
	r.outputs = nil
	return taken
}

func (r *Registry) nextNonce() uint64 {
	r.nonce++
	return r.nonce
}

func compareText(a, b string) int { return strings.Compare(a, b) }
