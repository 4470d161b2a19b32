package distribution

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// round is one poll of the upstream, with the polls of others that were sent because the first did not answer in time.
type round struct {
	order    []*upstream // whom to ask, in this order
	asked    int
	answered bool
	hedgeAt  core.Time // when to ask the next one
	sent     []sentPoll
}

// sentPoll is a poll without an answer.
type sentPoll struct {
	nonce  uint64
	sentAt core.Time
	to     *upstream
}

// sentPollsKept bounds the polls whose answers still count.
const sentPollsKept = 16

// startRound polls the best upstream. The tail needs none, as long as it is one: it asks for confirmations.
func (d *Distribution) startRound(now core.Time) {
	d.nextPoll = now + d.interval(now)
	d.round.hedgeAt = core.Never
	if d.Tail() {
		d.wantConfirmation(now)
	}
	if d.confirmedTail(now) {
		return
	}
	d.passOverSilent(now)
	d.round.order = d.orderCandidates(now)
	d.round.asked = 0
	d.round.answered = false
	d.polls++
	d.retest(now)
	d.askNext(now)
}

// confirmedTail reports whether this node is the tail, and the chain has confirmed that lately. A node that was the
// tail may not know that others have agreed on a chain without it.
func (d *Distribution) confirmedTail(now core.Time) bool {
	return d.Tail() && d.confirmedOnce && now-d.confirmedAt <= d.options.confirmationAge()+tailSlack
}

// interval is the time to the next poll, spread a little so that the nodes of a zone do not poll at the same moment. It is
// shorter while the best upstream is passed over, as trouble seldom comes alone.
func (d *Distribution) interval(now core.Time) time.Duration {
	interval := d.options.pollInterval()
	if len(d.candidates) > 0 && d.candidates[0].passedOver(now) {
		interval /= 2
	}
	if !d.confirmedOnce && d.polls < startPolls {
		interval = min(interval, startInterval)
	}
	return interval*9/10 + time.Duration(d.random.Int64N(int64(interval)/5))
}

// orderCandidates puts those that are passed over behind the others. Where all are, they take turns.
func (d *Distribution) orderCandidates(now core.Time) []*upstream {
	if !slices.ContainsFunc(d.candidates, func(candidate *upstream) bool { return candidate.passedOver(now) }) {
		return d.candidates
	}
	order := slices.Clone(d.candidates)
	if d.allPassedOver(now) {
		turn := d.polls % len(order)
		return append(order[turn:], order[:turn]...)
	}
	slices.SortStableFunc(order, func(a, b *upstream) int {
		return cmp.Compare(rankOf(a.passedOver(now)), rankOf(b.passedOver(now)))
	})
	return order
}

func rankOf(last bool) int {
	if last {
		return 1
	}
	return 0
}

// passOverSilent passes over upstreams that owe an answer.
func (d *Distribution) passOverSilent(now core.Time) {
	for _, candidate := range d.candidates {
		if candidate.unanswered && candidate.failures == 0 && now-candidate.askedAt >= hedgeAfter {
			candidate.passOver(now)
		}
	}
}

func (u *upstream) passOver(now core.Time) {
	u.failures++
	u.retestAt = now + min(firstRetest<<min(u.failures-1, 8), longestRetest)
}

// retest asks the best of those that are passed over whether they answer again.
func (d *Distribution) retest(now core.Time) {
	for _, candidate := range d.candidates {
		if candidate.failures == 0 {
			return
		}
		if candidate.retestAt <= now && candidate != d.round.order[0] {
			candidate.passOver(now)
			d.sendPoll(now, candidate, false)
			return
		}
	}
}

// askNext polls the next candidate of the round.
func (d *Distribution) askNext(now core.Time) {
	d.round.hedgeAt = core.Never
	if d.round.asked >= len(d.round.order) {
		return
	}
	candidate := d.round.order[d.round.asked]
	d.round.asked++
	d.sendPoll(now, candidate, true)
	if d.round.asked < len(d.round.order) {
		d.round.hedgeAt = now + hedgeAfter
	}
}

// hedge asks another upstream as well where the last one has not answered.
func (d *Distribution) hedge(now core.Time) {
	if d.round.answered {
		d.round.hedgeAt = core.Never
		return
	}
	d.askNext(now)
}

// pollIfUnasked polls at once where nobody could be asked so far.
func (d *Distribution) pollIfUnasked(now core.Time) {
	if d.polls == 0 || len(d.round.order) == 0 {
		d.nextPoll = min(d.nextPoll, now)
	}
}

func (d *Distribution) sendPoll(now core.Time, to *upstream, subscribe bool) {
	d.nonce++
	if !to.unanswered {
		to.unanswered = true
		to.askedAt = now
	}
	d.round.sent = append(d.round.sent, sentPoll{nonce: d.nonce, sentAt: now, to: to})
	if len(d.round.sent) > sentPollsKept {
		d.round.sent = slices.Delete(d.round.sent, 0, len(d.round.sent)-sentPollsKept)
	}
	poll := &nodepb.StatePoll{Nonce: d.nonce, Index: d.state.Index(), ViewEpoch: d.view.GetEpoch(), Subscribe: subscribe}
	d.send(to.address, &nodepb.Envelope{Body: &nodepb.Envelope_StatePoll{StatePoll: poll}})
}

// receiveReply takes what an upstream holds that this node does not, and how old its confirmation is.
func (d *Distribution) receiveReply(now core.Time, from core.Peer, reply *nodepb.StatePollReply) {
	poll, expected := d.answeredPoll(reply.Nonce)
	d.learnView(now, reply.View)
	d.take(now, reply.Entries, reply.Snapshot)
	if !expected {
		return
	}
	poll.to.nodeID = from.NodeID
	poll.to.unanswered = false
	poll.to.failures = 0
	// Only a state that this node holds is confirmed by the answer.
	if reply.Confirmed && reply.Index <= d.state.Index() {
		d.confirm(poll.sentAt - time.Duration(reply.AgeMs)*time.Millisecond)
	}
	d.judge(now, poll.to, reply)
}

// judge ends the round, unless the upstream has lost touch with the core and there are others that may not have.
func (d *Distribution) judge(now core.Time, asked *upstream, reply *nodepb.StatePollReply) {
	if !reply.Confirmed || time.Duration(reply.AgeMs)*time.Millisecond > d.staleAge() {
		asked.staleUntil = now + staleFor
	} else {
		asked.staleUntil = 0
		d.attachedUntil = now + attachedFor
	}
	if asked.staleUntil == 0 || d.allPassedOver(now) {
		d.round.answered = true
		d.round.hedgeAt = core.Never
		return
	}
	if !d.round.answered {
		d.askNext(now)
	}
}

func (d *Distribution) allPassedOver(now core.Time) bool {
	return !slices.ContainsFunc(d.candidates, func(candidate *upstream) bool { return !candidate.passedOver(now) })
}

func (d *Distribution) answeredPoll(nonce uint64) (sentPoll, bool) {
	at := slices.IndexFunc(d.round.sent, func(poll sentPoll) bool { return poll.nonce == nonce })
	if at < 0 {
		return sentPoll{}, false
	}
	poll := d.round.sent[at]
	d.round.sent = slices.Delete(d.round.sent, at, at+1)
	return poll, true
}

// receivePush takes changes as soon as an upstream has them. Where some are missing in between, it polls.
func (d *Distribution) receivePush(now core.Time, _ core.Peer, push *nodepb.StatePush) {
	d.learnView(now, push.View)
	d.take(now, push.Entries, push.Snapshot)
	if push.Index > d.state.Index() {
		d.nextPoll = now
	}
}
