package chain

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// dispatch hands a message to its receiver. Which epochs and senders it may come from, the receiver
// checks.
func (r *Replica) dispatch(from core.Peer, envelope *nodepb.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *nodepb.Envelope_VoterPing:
		r.receivePing(from, body.VoterPing)
	case *nodepb.Envelope_VoterPong:
		r.receivePong(from, body.VoterPong)
	case *nodepb.Envelope_Prepare:
		r.receivePrepare(from, body.Prepare)
	case *nodepb.Envelope_Promise:
		r.receivePromise(body.Promise)
	case *nodepb.Envelope_Accept:
		r.receiveAccept(from, body.Accept)
	case *nodepb.Envelope_Accepted:
		r.receiveAccepted(body.Accepted)
	case *nodepb.Envelope_ViewDecided:
		r.installView(body.ViewDecided.GetView())
	case *nodepb.Envelope_JoinRequest:
		r.receiveJoinRequest(from, body.JoinRequest)
	case *nodepb.Envelope_CatchUp:
		r.receiveCatchUp(from, body.CatchUp)
	case *nodepb.Envelope_CatchUpDone:
		r.receiveCatchUpDone(from, body.CatchUpDone)
	case *nodepb.Envelope_Append:
		r.receiveAppend(from, body.Append)
	case *nodepb.Envelope_CommitNotice:
		r.receiveCommitNotice(from, body.CommitNotice)
	case *nodepb.Envelope_Barrier:
		r.receiveBarrier(from, body.Barrier)
	case *nodepb.Envelope_BarrierRequest:
		r.receiveBarrierRequest(from, body.BarrierRequest)
	case *nodepb.Envelope_Submit:
		r.receiveSubmit(from, body.Submit)
	}
}

func (r *Replica) emit(output core.Output) { r.outputs = append(r.outputs, output) }

func (r *Replica) send(address string, envelope *nodepb.Envelope) {
	r.emit(core.Send{Destination: address, Message: envelope})
}

// persist queues a record for the journal; onDurable, which may be nil, runs once it is durable.
func (r *Replica) persist(kind uint8, message proto.Message, onDurable func()) {
	r.records.append(encode(kind, message), onDurable)
}

func (r *Replica) diskID() string { return r.options.Self.GetDiskId() }

func (r *Replica) address() string { return r.options.Self.GetAddress() }

// isActiveMember reports whether this node forwards the messages of the epoch: it is in the chain
// and not wedged.
func (r *Replica) isActiveMember() bool {
	return r.view != nil && !r.wedged && r.inChain()
}

func (r *Replica) inChain() bool { return view.ChainIndex(r.view, r.diskID()) >= 0 }

func (r *Replica) isHead() bool { return view.ChainIndex(r.view, r.diskID()) == 0 }

func (r *Replica) isTail() bool {
	return r.inChain() && view.Successor(r.view, r.diskID()) == nil
}

// isCurrentEpoch checks the epoch of a message: messages of other epochs are ignored. A sender with
// an older one is sent the view; one with a newer one is pinged, and its pong brings the view.
func (r *Replica) isCurrentEpoch(from core.Peer, epoch uint64) bool {
	currentEpoch := view.Epoch(r.view)
	if epoch < currentEpoch {
		r.sendView(from.Address)
	}
	if epoch > currentEpoch {
		r.sendPingNow(from.Address)
	}
	return epoch == currentEpoch && epoch > 0
}

// sendToHead sends a message to the head of the view in force, of which there must be one.
func (r *Replica) sendToHead(envelope *nodepb.Envelope) {
	r.send(view.Head(r.view).GetAddress(), envelope)
}

func (r *Replica) sendView(address string) {
	r.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_ViewDecided{ViewDecided: &nodepb.ViewDecided{View: r.view}}})
}
