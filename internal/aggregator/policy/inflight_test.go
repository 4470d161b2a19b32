package policy

import "testing"

// The tests here are of requests whose bytes reach the client before they are complete, and of those it
// is still sending.

func (p *Policy) requestByID(id int) *shardRequest { return getAt(p.requests, id) }

func TestCommittedRequestHasNoOtherAttempt(t *testing.T) {
	b, n := newTestPolicy(4, nil)
	now := runAnsweredSearches(b, 1000, 30)
	runSearch(b, now, 1, 1)
	to := b.requestByID(2).attempts[0].server
	for b.Begin(now + 150); len(b.requestByID(2).attempts) < 2 && b.now < now+900; b.Begin(b.now + 10) {
		b.End()
	}
	if len(b.requestByID(2).attempts) != 2 {
		t.Fatal("no copy")
	}
	n.cancelled = nil
	failIf(t, !b.Committed(2, 1, true), "the copy may not answer")
	wantInts(t, "the loser is called off", n.cancelled, 2)
	failIf(t, b.Committed(2, 0, true), "two attempts of one request reach the client")
	b.End()
	// It breaks in the middle: nothing goes again, and it can't be called harmless to ask again.
	b.Begin(b.now + 10)
	b.Done(2, 0, Cancelled, nil)
	b.Done(2, 1, Reset, nil)
	b.End()
	wantInts(t, "errored", n.failed, 1)
	failIf(t, len(n.shed) > 0 || to < 0, "shed")
}

func TestLongStreamIsNoTimeout(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 30)
	runSearch(b, now, 1, 1)
	s := b.servers[b.requestByID(2).attempts[0].server]
	b.Begin(now + 50)
	b.Committed(2, 0, true)
	b.End()
	for ; b.now < now+2900; b.Begin(b.now + 20) {
		b.End()
	}
	failIf(t, s.ejected || b.expectedLatency(s) > 200, "aside %v, expected %.0f ms", s.ejected, b.expectedLatency(s))
	failIf(t, s.batches != 1 || s.clientBoundBatches != 1, "%d calls, %d parked", s.batches, s.clientBoundBatches)
	b.Begin(now + 2910)
	b.Done(2, 0, Answered, nil)
	b.End()
	wantInts(t, "answered", n.answered[len(n.answered)-1:], 1)
	failIf(t, s.batches != 0 || s.clientBoundBatches != 0 || b.expectedLatency(s) > 200, "%d calls, %d parked, expected %.0f", s.batches, s.clientBoundBatches, b.expectedLatency(s))
}

func TestServerThatWaitsForItsClientIsNotSlow(t *testing.T) {
	b, n := newTestPolicy(2, nil)
	now := runAnsweredSearches(b, 1000, 30)
	for i := range 40 { // as many as a flood of bodies that come byte by byte
		b.Begin(now)
		b.Search(10+2*i, 0, 0, now+1000, 1)
		b.ShardRequest(10+2*i, 11+2*i, 0, 1, 100, 0)
		b.ClientSending(11+2*i, true)
		b.End()
	}
	for ; b.now < now+990; b.Begin(b.now + 20) {
		b.End()
	}
	for i := range 40 {
		failIf(t, len(b.requestByID(11+2*i).attempts) != 1, "sent %d times", len(b.requestByID(11+2*i).attempts))
		b.Done(11+2*i, 0, Cancelled, nil)
	}
	b.End()
	for i, s := range b.servers {
		failIf(t, s.ejected || b.expectedLatency(s) > 200 || s.batches != 0 || s.clientBoundBatches != 0, "server %d: aside %v, expected %.0f ms, %d calls, %d parked",
			i, s.ejected, b.expectedLatency(s), s.batches, s.clientBoundBatches)
	}
	shed := len(n.shed)
	runSearch(b, now+1000, 1, 1)
	failIf(t, len(n.shed) != shed, "others are shed for them")
	// From its end on the clock runs.
	b.Begin(now + 1100)
	b.Search(3, 0, 0, now+4000, 1)
	b.ShardRequest(3, 4, 0, 1, 100, 0)
	b.ClientSending(4, true)
	b.End()
	b.Begin(now + 1600)
	b.ClientSending(4, false)
	b.End()
	s := b.servers[b.requestByID(4).attempts[0].server]
	failIf(t, s.clientBoundBatches != 0 || len(s.waiting) == 0, "its server is not waited for")
	failIf(t, b.requestByID(4).attempts[0].startedAt != now+1600 || b.requestByID(4).attempts[0].sentAt != now+1100, "its times")
}

func TestPushbackIsObeyed(t *testing.T) {
	for wait, again := range map[float64]bool{100: true, -1: false, 5000: false} {
		b, n := newTestPolicy(2, nil)
		now := runAnsweredSearches(b, 1000, 30)
		runSearch(b, now, 1, 1)
		b.Begin(now + 10)
		b.Pushback(2, wait)
		b.Done(2, 0, Errored, nil)
		b.End()
		sent := len(n.sent)
		if again {
			b.Begin(now + 100)
			b.End()
			failIf(t, len(n.sent) != sent, "sent before its time")
			b.Begin(now + 115)
			b.End()
			failIf(t, len(n.sent) != sent+1, "not sent again")
			continue
		}
		failIf(t, b.requestByID(2) != nil || len(n.sent) != sent, "a wish of %.0f: not given up at once", wait)
	}
}

func TestTokenedRequestBeginsInItsWindow(t *testing.T) {
	b, n := newTestPolicy(2, func(b *Policy) { b.QueryType(1000, 1, 0.3, Tokened, 400) })
	now := runAnsweredSearches(b, 1000, 30)
	b.Begin(now)
	b.Search(1, 1, 0, now+3000, 1)
	b.ShardRequest(1, 2, 0, 1, 100, 0)
	b.End()
	failIf(t, n.begin != 400-answerMargin, "the first may begin for %.0f ms", n.begin)
	b.Begin(now + 100)
	b.Done(2, 0, Reset, nil)
	b.End()
	failIf(t, n.begin != 300-answerMargin, "the second may begin for %.0f ms", n.begin)
	runSearch(b, now+200, 5, 1)
	failIf(t, n.begin != 0, "an idempotent one has a limit")
}
