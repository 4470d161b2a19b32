package policy

import "testing"

// The tests in this file are about shard requests whose answer is passed on to the client before it is
// complete, and about those whose body the client is still sending.

// requestByID returns a shard request, nil if it is not known.
func (p *Policy) requestByID(id int) *shardRequest { return getAt(p.requests, id) }

func TestCommittedRequestHasNoOtherAttempt(t *testing.T) {
	p, out := newTestPolicy(4, nil)
	now := runAnsweredSearches(p, 1000, 30)
	runSearch(p, now, 1, 1)
	server := p.requestByID(2).attempts[0].server
	for p.BeginRound(now + 150); len(p.requestByID(2).attempts) < 2 && p.now < now+900; p.BeginRound(p.now + 10) {
		p.EndRound()
	}
	if len(p.requestByID(2).attempts) != 2 {
		t.Fatal("no hedge was sent")
	}
	out.cancelled = nil
	failIf(t, !p.CommitAttempt(2, 1, true), "the hedge could not be committed")
	wantInts(t, "the other attempt is cancelled", out.cancelled, 2)
	failIf(t, p.CommitAttempt(2, 0, true), "two attempts of one shard request are committed")
	p.EndRound()
	// The committed attempt breaks: it is not retried, and the client is not told that a retry is harmless.
	p.BeginRound(p.now + 10)
	p.AttemptDone(2, 0, Cancelled, nil)
	p.AttemptDone(2, 1, ConnectionReset, nil)
	p.EndRound()
	wantInts(t, "failed searches", out.failed, 1)
	failIf(t, len(out.shed) > 0 || server < 0, "shed %v, though the attempt may have run", out.shed)
}

func TestLongStreamIsNoTimeout(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 30)
	runSearch(p, now, 1, 1)
	s := p.servers[p.requestByID(2).attempts[0].server]
	p.BeginRound(now + 50)
	p.CommitAttempt(2, 0, true)
	p.EndRound()
	for ; p.now < now+2900; p.BeginRound(p.now + 20) {
		p.EndRound()
	}
	failIf(t, s.ejected || p.expectedLatency(s) > 200,
		"ejected %v, expected latency %.0f ms, want at most 200", s.ejected, p.expectedLatency(s))
	failIf(t, s.batches != 1 || s.clientBoundBatches != 1,
		"%d batches in flight, %d client-bound, want 1 and 1", s.batches, s.clientBoundBatches)
	p.BeginRound(now + 2910)
	p.AttemptDone(2, 0, Answered, nil)
	p.EndRound()
	wantInts(t, "answered", out.answered[len(out.answered)-1:], 1)
	failIf(t, s.batches != 0 || s.clientBoundBatches != 0 || p.expectedLatency(s) > 200,
		"%d batches in flight, %d client-bound, want none; expected latency %.0f ms, want at most 200",
		s.batches, s.clientBoundBatches, p.expectedLatency(s))
}

func TestServerThatWaitsForItsClientIsNotSlow(t *testing.T) {
	p, out := newTestPolicy(2, nil)
	now := runAnsweredSearches(p, 1000, 30)
	for i := range 40 { // a flood of request bodies that arrive byte by byte
		p.BeginRound(now)
		p.AddSearch(10+2*i, 0, 0, now+1000, 1)
		p.AddShardRequest(10+2*i, 11+2*i, 0, 1, 100, 0)
		p.SetClientSending(11+2*i, true)
		p.EndRound()
	}
	for ; p.now < now+990; p.BeginRound(p.now + 20) {
		p.EndRound()
	}
	for i := range 40 {
		failIf(t, len(p.requestByID(11+2*i).attempts) != 1, "sent %d times, want once", len(p.requestByID(11+2*i).attempts))
		p.AttemptDone(11+2*i, 0, Cancelled, nil)
	}
	p.EndRound()
	for i, s := range p.servers {
		failIf(t, s.ejected || p.expectedLatency(s) > 200 || s.batches != 0 || s.clientBoundBatches != 0,
			"server %d: ejected %v, expected latency %.0f ms, %d batches in flight, %d client-bound",
			i, s.ejected, p.expectedLatency(s), s.batches, s.clientBoundBatches)
	}
	shed := len(out.shed)
	runSearch(p, now+1000, 1, 1)
	failIf(t, len(out.shed) != shed, "another search is shed because of those that wait for their clients")
	// Once the body is complete, the time counts.
	p.BeginRound(now + 1100)
	p.AddSearch(3, 0, 0, now+4000, 1)
	p.AddShardRequest(3, 4, 0, 1, 100, 0)
	p.SetClientSending(4, true)
	p.EndRound()
	p.BeginRound(now + 1600)
	p.SetClientSending(4, false)
	p.EndRound()
	s := p.servers[p.requestByID(4).attempts[0].server]
	failIf(t, s.clientBoundBatches != 0 || len(s.waiting) == 0, "the server is not expected to answer though the body is complete")
	attempt := p.requestByID(4).attempts[0]
	failIf(t, attempt.startedAt != now+1600 || attempt.sentAt != now+1100,
		"started at %.0f, sent at %.0f, want %.0f and %.0f", attempt.startedAt, attempt.sentAt, now+1600, now+1100)
}

func TestPushbackIsObeyed(t *testing.T) {
	for delay, retried := range map[float64]bool{100: true, -1: false, 5000: false} {
		p, out := newTestPolicy(2, nil)
		now := runAnsweredSearches(p, 1000, 30)
		runSearch(p, now, 1, 1)
		p.BeginRound(now + 10)
		p.RetryPushback(2, delay)
		p.AttemptDone(2, 0, Errored, nil)
		p.EndRound()
		sent := len(out.sent)
		if retried {
			p.BeginRound(now + 100)
			p.EndRound()
			failIf(t, len(out.sent) != sent, "retried before the pushback delay had passed")
			p.BeginRound(now + 115)
			p.EndRound()
			failIf(t, len(out.sent) != sent+1, "not retried after the pushback delay")
			continue
		}
		failIf(t, p.requestByID(2) != nil || len(out.sent) != sent, "pushback of %.0f ms: the search is not given up at once", delay)
	}
}

func TestRequestBeginsWithinItsTokenWindow(t *testing.T) {
	p, out := newTestPolicy(2, func(p *Policy) { p.AddQueryType(1000, 1, 0.3, TokenDeduplicated, 400) })
	now := runAnsweredSearches(p, 1000, 30)
	p.BeginRound(now)
	p.AddSearch(1, 1, 0, now+3000, 1)
	p.AddShardRequest(1, 2, 0, 1, 100, 0)
	p.EndRound()
	failIf(t, out.beginWithin != 400-answerMargin, "the first attempt must begin within %.0f ms, want 375", out.beginWithin)
	p.BeginRound(now + 100)
	p.AttemptDone(2, 0, ConnectionReset, nil)
	p.EndRound()
	failIf(t, out.beginWithin != 300-answerMargin, "the second attempt must begin within %.0f ms, want 275", out.beginWithin)
	runSearch(p, now+200, 5, 1)
	failIf(t, out.beginWithin != 0, "an idempotent shard request must begin within %.0f ms, want no limit", out.beginWithin)
}
