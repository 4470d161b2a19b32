package registry

import (
	"math/rand/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Registry is the state machine of one node's registry. It is not safe for concurrent use.
type Registry struct {
	options Options
	random  *rand.Rand

	self   *peer
	peers  map[string]*peer // other nodes by node id
	others []*peer          // the same, in order of node id
	// voterAddresses are the internal addresses of the voters of the newest view known; none: no view is.
	voterAddresses []string

	records        map[string]*record // by instance id
	topics         map[topicKey]*topic
	digestSum      uint64 // over all topics
	liveCount      uint32 // records that are not tombstones
	tombstoneCount int

	table         *Table
	staleServices map[string]bool // services whose lists in the table are to be rebuilt
	tableChanged  bool            // core.TableChanged is still to be put out

	nonce         uint64 // of the newest broadcast or forwarded call
	broadcasts    []*broadcast
	forwards      []*forwardedCall
	batchIDs      []string  // brokers whose records are scheduled for the next broadcast
	batchDeadline core.Time // of that broadcast; core.Never: none is scheduled

	persistence  persistence
	leavingIDs   []string  // brokers whose leaving was restored or acknowledged here lately
	leavingUntil core.Time // until then they are sent to nodes that are learned of

	nextLivenessCheck core.Time
	nextExpiry        core.Time
	nextPoll          core.Time
	synced            bool  // the initial full sync is complete
	initialPolls      int   // rounds of polls before that
	pollCursor        int   // index in others of the last node polled before that; 0: none yet
	polledPeer        *peer // has not answered the last poll; nil: it has

	lastInputAt core.Time // time of the newest input
	outbox      core.Outbox
}

// New returns an empty registry that knows no other node. random is used for the choice of nodes to
// compare digests with.
func New(now core.Time, options Options, random *rand.Rand) *Registry {
	return &Registry{
		options: options,
		random:  random,
		self: &peer{
			id: options.SelfID, address: options.SelfAddress, controlAddress: options.ControlAddress,
			zone: options.Zone, self: true,
		},
		peers:             map[string]*peer{},
		records:           map[string]*record{},
		topics:            map[topicKey]*topic{},
		table:             &Table{ByService: map[string][]*Instance{}, ByID: map[string]*Instance{}},
		staleServices:     map[string]bool{},
		nonce:             random.Uint64(),
		batchDeadline:     core.Never,
		nextLivenessCheck: core.Never,
		nextExpiry:        core.Never,
		nextPoll:          now,
		persistence:       persistence{unsaved: map[string]bool{}},
	}
}

// Receive handles a message of another node. Messages of other kinds than the registry's are ignored.
func (r *Registry) Receive(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	r.lastInputAt = now
	r.recordContact(from)
	switch body := message.Body.(type) {
	case *nodepb.Envelope_HeartbeatForward:
		r.receiveForward(now, from, body.HeartbeatForward)
	case *nodepb.Envelope_HeartbeatForwardReply:
		r.receiveForwardReply(now, body.HeartbeatForwardReply)
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

// recordContact ends the backoff from a peer, as it evidently responds.
func (r *Registry) recordContact(from core.Peer) {
	if known := r.peers[from.NodeID]; known != nil {
		known.backoffUntil = 0
	}
}

// Tick does the work that is due at now. It is to be called at Deadline.
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
	next := min(r.batchDeadline, r.nextLivenessCheck, r.nextExpiry, r.saveDeadline())
	if len(r.others) > 0 {
		next = min(next, r.nextPoll)
	}
	for _, b := range r.broadcasts {
		next = min(next, b.deadline())
	}
	for _, call := range r.forwards {
		next = min(next, call.deadline())
	}
	return next
}

// Instances lists the brokers that are not gone, ordered by id, as sent to other nodes. The caller
// may change the messages.
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

// takeOutputs returns the outputs since the last call.
func (r *Registry) takeOutputs() []core.Output {
	r.startSave(r.lastInputAt)
	if r.tableChanged {
		r.tableChanged = false
		r.outbox.Add(core.TableChanged{})
	}
	return r.outbox.Take()
}

func (r *Registry) nextNonce() uint64 {
	r.nonce++
	return r.nonce
}
