package distribution

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// pollRound is one poll of the best upstream, with the hedges to others if it does not answer in time.
type pollRound struct {
	upstreams   []*upstream // to poll, in this order
	polledCount int         // of them, polled so far
	answered    bool
	hedgeAt     core.Time     // when to poll the next one; core.Never: not at all
	pending     []pendingPoll // without an answer, those of earlier rounds included; the oldest first
}

// pendingPoll is a poll without an answer.
type pendingPoll struct {
	nonce    uint64
	sentAt   core.Time
	upstream *upstream
}

// maxPendingPolls bounds the polls whose answers still count.
const maxPendingPolls = 16

// startPollRound polls the best upstream. A confirmed tail polls none: it requests confirmations
// through the chain.
func (d *Distribution) startPollRound(now core.Time) {
	d.nextPoll = now + d.pollDelay(now)
	d.round.hedgeAt = core.Never
	if d.Tail() {
		d.requestConfirmation(now)
	}
	if d.confirmedTail(now) {
		return
	}
	d.demoteUnresponsive(now)
	d.round.upstreams = d.orderCandidates(now)
	d.round.polledCount = 0
	d.round.answered = false
	d.pollRounds++
	d.probeDemoted(now)
	d.pollNext(now)
}

// confirmedTail reports whether this node is the tail and the chain has confirmed its state lately. A
// former tail may not know yet that the others have agreed on a chain without it.
func (d *Distribution) confirmedTail(now core.Time) bool {
	return d.Tail() && d.confirmed && now-d.confirmedAt <= d.options.confirmationAge()+tailTolerance
}

// pollDelay returns the time to the next poll, with jitter of ±10% so that the nodes of a zone do not
// poll at the same moment. It is halved while the best upstream is demoted, as faults tend to come
// together.
func (d *Distribution) pollDelay(now core.Time) time.Duration {
	interval := d.options.pollInterval()
	if len(d.candidates) > 0 && d.candidates[0].demoted(now) {
		interval /= 2
	}
	if !d.confirmed && d.pollRounds < maxInitialPolls {
		interval = min(interval, initialPollInterval)
	}
	return interval*9/10 + time.Duration(d.random.Int64N(int64(interval)/5))
}

// orderCandidates returns the candidates with the demoted ones behind the others. If all are demoted,
// each round starts with another one.
func (d *Distribution) orderCandidates(now core.Time) []*upstream {
	if !slices.ContainsFunc(d.candidates, func(candidate *upstream) bool { return candidate.demoted(now) }) {
		return d.candidates
	}
	order := slices.Clone(d.candidates)
	if d.allDemoted(now) {
		turn := d.pollRounds % len(order)
		return append(order[turn:], order[:turn]...)
	}
	slices.SortStableFunc(order, func(a, b *upstream) int {
		return cmp.Compare(demotedRank(a.demoted(now)), demotedRank(b.demoted(now)))
	})
	return order
}

// demotedRank orders demoted upstreams last.
func demotedRank(demoted bool) int {
	if demoted {
		return 1
	}
	return 0
}

// demoteUnresponsive demotes upstreams that have left a poll without an answer for hedgeDelay.
func (d *Distribution) demoteUnresponsive(now core.Time) {
	for _, candidate := range d.candidates {
		if candidate.unanswered && candidate.failures == 0 && now-candidate.unansweredSince >= hedgeDelay {
			candidate.demote(now)
		}
	}
}

// demote counts a failure and schedules the probe after it, with exponential backoff.
func (u *upstream) demote(now core.Time) {
	u.failures++
	u.probeAt = now + min(minProbeBackoff<<min(u.failures-1, 8), maxProbeBackoff)
}

// probeDemoted polls the best upstream that was demoted for a missing answer, if its probe is due. An
// answer to the probe promotes it again; without one it stays demoted with a longer backoff.
func (d *Distribution) probeDemoted(now core.Time) {
	for _, candidate := range d.candidates {
		if candidate.failures == 0 {
			return
		}
		if candidate.probeAt <= now && candidate != d.round.upstreams[0] {
			candidate.demote(now)
			d.sendPoll(now, candidate, false)
			return
		}
	}
}

// pollNext polls the next upstream of the round, and plans the hedge after it.
func (d *Distribution) pollNext(now core.Time) {
	d.round.hedgeAt = core.Never
	if d.round.polledCount >= len(d.round.upstreams) {
		return
	}
	candidate := d.round.upstreams[d.round.polledCount]
	d.round.polledCount++
	d.sendPoll(now, candidate, true)
	if d.round.polledCount < len(d.round.upstreams) {
		d.round.hedgeAt = now + hedgeDelay
	}
}

// hedge polls another upstream as well if the round has no answer yet.
func (d *Distribution) hedge(now core.Time) {
	if d.round.answered {
		d.round.hedgeAt = core.Never
		return
	}
	d.pollNext(now)
}

// pollIfNeverPolled starts a round at once if there was no upstream to poll before.
func (d *Distribution) pollIfNeverPolled(now core.Time) {
	if d.pollRounds == 0 || len(d.round.upstreams) == 0 {
		d.nextPoll = min(d.nextPoll, now)
	}
}

// sendPoll polls an upstream. subscribe: it is to push later changes to this node.
func (d *Distribution) sendPoll(now core.Time, destination *upstream, subscribe bool) {
	d.lastNonce++
	if !destination.unanswered {
		destination.unanswered = true
		destination.unansweredSince = now
	}
	d.round.pending = append(d.round.pending, pendingPoll{nonce: d.lastNonce, sentAt: now, upstream: destination})
	if len(d.round.pending) > maxPendingPolls {
		d.round.pending = slices.Delete(d.round.pending, 0, len(d.round.pending)-maxPendingPolls)
	}
	poll := &nodepb.StatePoll{Nonce: d.lastNonce, Index: d.state.Index(), ViewEpoch: d.view.GetEpoch(), Subscribe: subscribe}
	d.outbox.Send(destination.address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePoll{StatePoll: poll}})
}

// receiveReply catches up with an upstream and adopts its confirmation. The state and the view count
// also in a late reply or a duplicate; the confirmation doesn't, as the time of its poll is unknown.
func (d *Distribution) receiveReply(now core.Time, from core.Peer, reply *nodepb.StatePollReply) {
	poll, expected := d.takePending(reply.Nonce)
	d.adoptView(now, reply.View)
	d.catchUp(now, reply.Entries, reply.Snapshot)
	if !expected {
		return
	}
	poll.upstream.nodeID = from.NodeID
	poll.upstream.replied = true
	poll.upstream.repliedAt = now
	poll.upstream.unanswered = false
	poll.upstream.failures = 0
	// The reply confirms its own index: a state that this node doesn't hold yet is not confirmed by it.
	// The age counts from when the poll was sent, the earliest moment at which the upstream may have
	// stated it.
	if reply.Confirmed && reply.Index <= d.state.Index() {
		d.confirm(poll.sentAt - time.Duration(reply.AgeMs)*time.Millisecond)
	}
	d.evaluateReply(now, poll.upstream, reply)
}

// evaluateReply ends the round if the upstream is attached to the core, or no candidate is left that
// may be. If it is detached, it is demoted for a while and the next one is polled.
func (d *Distribution) evaluateReply(now core.Time, polled *upstream, reply *nodepb.StatePollReply) {
	if !reply.Confirmed || time.Duration(reply.AgeMs)*time.Millisecond > d.staleAge() {
		polled.staleUntil = now + staleBackoff
	} else {
		polled.staleUntil = 0
		d.attachedUntil = now + attachmentTimeout
	}
	if polled.staleUntil == 0 || d.allDemoted(now) {
		d.round.answered = true
		d.round.hedgeAt = core.Never
		return
	}
	if !d.round.answered {
		d.pollNext(now)
	}
}

func (d *Distribution) allDemoted(now core.Time) bool {
	return !slices.ContainsFunc(d.candidates, func(candidate *upstream) bool { return !candidate.demoted(now) })
}

// takePending removes and returns the pending poll with the nonce; false if there is none.
func (d *Distribution) takePending(nonce uint64) (pendingPoll, bool) {
	index := slices.IndexFunc(d.round.pending, func(poll pendingPoll) bool { return poll.nonce == nonce })
	if index < 0 {
		return pendingPoll{}, false
	}
	poll := d.round.pending[index]
	d.round.pending = slices.Delete(d.round.pending, index, index+1)
	return poll, true
}

// receivePush catches up with an upstream's change. If entries before it are missing, it polls at once.
func (d *Distribution) receivePush(now core.Time, _ core.Peer, push *nodepb.StatePush) {
	d.adoptView(now, push.View)
	d.catchUp(now, push.Entries, push.Snapshot)
	if push.Index > d.state.Index() {
		d.nextPoll = now
	}
}
