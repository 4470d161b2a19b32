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

	self         *peer
	peers        map[string]*peer // by node id, without this node
	others       []*peer          // the same, in order of node id
	othersSeenAt core.Time        // when another node was last known

	records        map[string]*record // by instance id
	topics         map[topicKey]*topic
	digestSum      uint64 // over all topics
	liveCount      uint32
	tombstoneCount int // records that have gone

	table         *Table
	staleServices map[string]bool // services whose lists in the table are to be made anew
	tableChanged  bool            // TableChanged is to be put out

	nonce         uint64
	broadcasts    []*broadcast
	forwards      []*forwardedCall
	batchIDs      []string  // changed brokers to tell the nodes of
	batchDeadline core.Time // when to; Never: no batch

	nextLivenessCheck core.Time
	nextExpiry        core.Time
	nextPoll          core.Time
	synced            bool // another node's entries have come, or none has any
	initialPolls      int  // polls before that
	pollCursor        int
	polledPeer        *peer // owes the answer to the last poll

	lastInputAt core.Time // of the newest input
	outputs     []core.Output
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
		peers:             map[string]*peer{},
		othersSeenAt:      distantPast,
		records:           map[string]*record{},
		topics:            map[topicKey]*topic{},
		table:             &Table{ByService: map[string][]*Instance{}, ByID: map[string]*Instance{}},
		staleServices:     map[string]bool{},
		nonce:             random.Uint64(),
		batchDeadline:     core.Never,
		nextLivenessCheck: core.Never,
		nextExpiry:        core.Never,
		nextPoll:          now,
	}
}

// Receive takes a message of another node.
func (r *Registry) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	r.lastInputAt = now
	r.recordContact(from)
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

// recordContact notes that a peer answers again.
func (r *Registry) recordContact(from core.Peer) {
	if known := r.peers[from.NodeID]; known != nil {
		known.backoffUntil = 0
	}
}

// Tick does what is due.
func (r *Registry) Tick(now core.Time) []core.Output {
	r.lastInputAt = now
	if late := now - r.Deadline(); late > stallLimit {
		r.resetLivenessAfterStall(now)
	}
	if r.batchDeadline <= now {
		r.flushBatch(now)
	}
	r.tickForwards(now)
	r.tickBroadcasts(now)
	if r.nextLivenessCheck <= now {
		r.checkLiveness(now)
	}
	if r.nextExpiry <= now {
		r.expire(now)
	}
	if r.nextPoll <= now {
		r.pollPeer(now)
	}
	return r.takeOutputs()
}

// Deadline is when Tick is next due.
func (r *Registry) Deadline() core.Time {
	next := min(r.batchDeadline, r.nextLivenessCheck, r.nextExpiry)
	if len(r.others) > 0 {
		next = min(next, r.nextPoll)
	}
	for _, pending := range r.broadcasts {
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
			list = append(list, deepCopy(rec.message(r.lastInputAt)))
		}
	}
	sortByID(list)
	return list
}

func (r *Registry) output(output core.Output) { r.outputs = append(r.outputs, output) }

func (r *Registry) send(address string, message *nodepb.Envelope) {
	r.output(core.Send{To: address, Message: message})
}

// takeOutputs hands over what has been gathered since the last call.
func (r *Registry) takeOutputs() []core.Output {
	if r.tableChanged {
		r.tableChanged = false
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
