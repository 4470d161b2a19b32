package distribution

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// pollRound is one poll of the upstream, with the polls of others that were sent because the first did not answer in time.
type pollRound struct {
	upstreams   []*upstream // whom to ask, in this order
	polledCount int
	answered    bool
	hedgeAt     core.Time // when to ask the next one
	pending     []pendingPoll
}

// pendingPoll is a poll without an answer.
type pendingPoll struct {
	nonce    uint64
	sentAt   core.Time
	upstream *upstream
}

// maxPendingPolls bounds the polls whose answers still count.
const maxPendingPolls = 16

// startPollRound polls the best upstream. The tail needs none, as long as it is one: it asks for confirmations.
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

// confirmedTail reports whether this node is the tail, and the chain has confirmed that lately. A node that was the
// tail may not know that others have agreed on a chain without it.
func (d *Distribution) confirmedTail(now core.Time) bool {
	return d.Tail() && d.confirmed && now-d.confirmedAt <= d.options.confirmationAge()+tailTolerance
}

// pollDelay is the time to the next poll, spread a little so that the nodes of a zone do not poll at the same moment. It is
// shorter while the best upstream is passed over, as trouble seldom comes alone.
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

// orderCandidates puts those that are passed over behind the others. Where all are, they take turns.
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

func demotedRank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// demoteUnresponsive passes over upstreams that owe an answer.
func (d *Distribution) demoteUnresponsive(now core.Time) {
	for _, candidate := range d.candidates {
		if candidate.unanswered && candidate.failures == 0 && now-candidate.unansweredSince >= hedgeDelay {
			candidate.demote(now)
		}
	}
}

func (u *upstream) demote(now core.Time) {
	u.failures++
	u.probeAt = now + min(minProbeBackoff<<min(u.failures-1, 8), maxProbeBackoff)
}

// probeDemoted asks the best of those that are passed over whether they answer again.
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

// pollNext polls the next candidate of the round.
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

// hedge asks another upstream as well where the last one has not answered.
func (d *Distribution) hedge(now core.Time) {
	if d.round.answered {
		d.round.hedgeAt = core.Never
		return
	}
	d.pollNext(now)
}

// pollIfNeverPolled polls at once where nobody could be asked so far.
func (d *Distribution) pollIfNeverPolled(now core.Time) {
	if d.pollRounds == 0 || len(d.round.upstreams) == 0 {
		d.nextPoll = min(d.nextPoll, now)
	}
}

func (d *Distribution) sendPoll(now core.Time, to *upstream, subscribe bool) {
	d.lastNonce++
	if !to.unanswered {
		to.unanswered = true
		to.unansweredSince = now
	}
	d.round.pending = append(d.round.pending, pendingPoll{nonce: d.lastNonce, sentAt: now, upstream: to})
	if len(d.round.pending) > maxPendingPolls {
		d.round.pending = slices.Delete(d.round.pending, 0, len(d.round.pending)-maxPendingPolls)
	}
	poll := &nodepb.StatePoll{Nonce: d.lastNonce, Index: d.state.Index(), ViewEpoch: d.view.GetEpoch(), Subscribe: subscribe}
	d.send(to.address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePoll{StatePoll: poll}})
}

// receiveReply takes what an upstream holds that this node does not, and how old its confirmation is.
func (d *Distribution) receiveReply(now core.Time, from core.Peer, reply *nodepb.StatePollReply) {
	poll, expected := d.takePending(reply.Nonce)
	d.adoptView(now, reply.View)
	d.catchUp(now, reply.Entries, reply.Snapshot)
	if !expected {
		return
	}
	poll.upstream.nodeID = from.NodeID
	poll.upstream.unanswered = false
	poll.upstream.failures = 0
	// Only a state that this node holds is confirmed by the answer.
	if reply.Confirmed && reply.Index <= d.state.Index() {
		d.confirm(poll.sentAt - time.Duration(reply.AgeMs)*time.Millisecond)
	}
	d.evaluateReply(now, poll.upstream, reply)
}

// evaluateReply ends the round, unless the upstream has lost touch with the core and there are others that may not have.
func (d *Distribution) evaluateReply(now core.Time, asked *upstream, reply *nodepb.StatePollReply) {
	if !reply.Confirmed || time.Duration(reply.AgeMs)*time.Millisecond > d.staleAge() {
		asked.staleUntil = now + staleBackoff
	} else {
		asked.staleUntil = 0
		d.attachedUntil = now + attachmentTimeout
	}
	if asked.staleUntil == 0 || d.allDemoted(now) {
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

func (d *Distribution) takePending(nonce uint64) (pendingPoll, bool) {
	at := slices.IndexFunc(d.round.pending, func(poll pendingPoll) bool { return poll.nonce == nonce })
	if at < 0 {
		return pendingPoll{}, false
	}
	poll := d.round.pending[at]
	d.round.pending = slices.Delete(d.round.pending, at, at+1)
	return poll, true
}

// receivePush takes changes as soon as an upstream has them. Where some are missing in between, it polls.
func (d *Distribution) receivePush(now core.Time, _ core.Peer, push *nodepb.StatePush) {
	d.adoptView(now, push.View)
	d.catchUp(now, push.Entries, push.Snapshot)
	if push.Index > d.state.Index() {
		d.nextPoll = now
	}
}
