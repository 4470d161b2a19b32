package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// tailConfirmation is what the tail knows of the age of the committed state: a barrier that the
// tail asked for at requestedAt proves, once it has passed every member, that no newer state had
// been acknowledged then.
type tailConfirmation struct {
	nonce         uint64 // of the barrier requested last
	requestedAt   core.Time
	outstanding   bool
	confirmedAt   core.Time // as of when the committed state was the newest
	everConfirmed bool
}

// RequestConfirmation requests a barrier at the tail, to confirm the age of its state, or at the
// head, for its lease, unless the last one is younger than ConfirmInterval or one is outstanding.
func (r *Replica) RequestConfirmation(now core.Time) []core.Output {
	r.advance(now)
	switch {
	case !r.canAnswer():
	case r.isTail():
		r.requestConfirmationAtTail()
	case r.isHead():
		r.requestLease()
	}
	return r.finish()
}

// requestConfirmationAtTail asks the head for a barrier; requestedAt is taken before anything is
// sent, so that a confirmation is never taken for younger than it is.
func (r *Replica) requestConfirmationAtTail() {
	if r.tail.everConfirmed && r.now-r.tail.confirmedAt < ConfirmInterval {
		return
	}
	if r.tail.outstanding && r.now-r.tail.requestedAt < confirmationTimeout {
		return
	}
	r.tail.nonce = r.random.Uint64() | 1
	r.tail.requestedAt = r.now
	r.tail.outstanding = true
	if r.isHead() {
		r.startBarrier(headBarrier{nonce: r.tail.nonce})
		return
	}
	r.sendToHead(&nodepb.Envelope{Body: &nodepb.Envelope_BarrierRequest{BarrierRequest: &nodepb.BarrierRequest{
		Epoch: r.view.GetEpoch(),
		Nonce: r.tail.nonce,
	}}})
}

// requestLease starts a barrier of the head for its lease.
func (r *Replica) requestLease() {
	if r.head.hasLease && r.now-r.head.leaseStart < ConfirmInterval || len(r.head.deferredBarriers) > 0 {
		return
	}
	outstanding := r.head.outstandingBarriers
	if len(outstanding) > 0 && r.now-outstanding[len(outstanding)-1].startedAt < confirmationTimeout {
		return
	}
	r.startBarrier(headBarrier{})
}

// receiveBarrierRequest starts, at the head, a barrier that the tail has asked for.
func (r *Replica) receiveBarrierRequest(from core.Peer, request *nodepb.BarrierRequest) {
	if !r.isCurrentEpoch(from, request.GetEpoch()) || !r.isHead() {
		return
	}
	r.startBarrier(headBarrier{origin: request.GetOrigin(), nonce: request.GetNonce(), wantsState: request.GetWantsState()})
}

// recordConfirmation records, at the tail, that the committed state was the newest as of a time.
func (r *Replica) recordConfirmation(asOf core.Time) {
	r.tail.confirmedAt = max(r.tail.confirmedAt, asOf)
	r.tail.everConfirmed = true
}
