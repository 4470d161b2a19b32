package policy

import (
	"math"
	"slices"
	"testing"

	"kestrelspread/internal/predict"
)

// FuzzRules plays random runs over random settings, failures and lists, and looks at the rules after every step.
func FuzzRules(f *testing.F) {
	for seed := int64(1); seed <= 150; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		w := newWorld(t, seed)
		for i := 0; i < 1500 && len(w.faults) == 0; i++ {
			w.step()
			if w.rnd.Intn(700) == 0 {
				w.start()
			}
		}
		if len(w.faults) > 0 {
			t.Fatal(w.faults[0])
		}
	})
}

// The checker must be able to fail: each of these breaks a decision on its way out.
func TestCheckerTrips(t *testing.T) {
	for _, tamper := range []string{"drained", "twice", "whole", "late"} {
		tripped := false
		for seed := int64(1); seed <= 40 && !tripped; seed++ {
			w := newWorld(t, seed)
			w.tamper = tamper
			for i := 0; i < 400 && !tripped; i++ {
				w.step()
				tripped = len(w.faults) > 0
			}
		}
		if !tripped {
			t.Errorf("nothing noticed that a decision was broken: %s", tamper)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		a, b := newWorld(t, seed), newWorld(t, seed)
		for i := 0; i < 500; i++ {
			a.step()
			b.step()
			if a.sends != b.sends || a.finals != b.finals || a.wake != b.wake {
				t.Fatalf("seed %d, round %d: two runs of the same events differ", seed, i)
			}
		}
	}
}

type note struct {
	sent, cancelled, answered, shed, failed, probed, forgot, closed []int
	to                                                              []int
	back                                                            float64
	whole                                                           bool
	begin                                                           float64
}

func (n *note) Send(part, server int, _, begin float64) {
	n.sent, n.to, n.begin = append(n.sent, part), append(n.to, server), begin
}
func (n *note) Cancel(part, _ int) { n.cancelled = append(n.cancelled, part) }
func (n *note) Answer(search int, whole bool) {
	n.answered, n.whole = append(n.answered, search), whole
}
func (n *note) Shed(search int, back float64) { n.shed, n.back = append(n.shed, search), back }
func (n *note) Fail(search int)               { n.failed = append(n.failed, search) }
func (n *note) Probe(server int)              { n.probed = append(n.probed, server) }
func (n *note) Close(server int)              { n.closed = append(n.closed, server) }
func (n *note) Subscribe()                    {}
func (n *note) Wake(_ float64)                {}
func (n *note) Log(_ string)                  {}
func (n *note) Forget(search int)             { n.forgot = append(n.forgot, search) }

func plain(servers int, set func(*Policy)) (*Policy, *note) {
	n := &note{}
	b := New(n, 1, 2, 0)
	b.QueryType(1000, 1, 0.3, Idempotent, 0)
	b.Fleet(1, 1, 4, 10, false)
	b.Limits(4, 0, true, true)
	if set != nil {
		set(b)
	}
	b.Begin(1000)
	for i := range servers {
		b.Server(i, 0, 0, Ready, 1, 0)
	}
	b.End()
	return b, n
}

func ask(b *Policy, now float64, id, parts int) {
	b.Begin(now)
	b.Search(id, 0, 0, now+3000, parts)
	for i := range parts {
		b.ShardRequest(id, id+1+i, 0, 1/float64(parts), 100, 0)
	}
	b.End()
}

func finish(b *Policy, now float64, how Outcome, parts ...int) {
	b.Begin(now)
	for _, id := range parts {
		if p := getAt(b.requests, id); p != nil {
			b.Done(id, len(p.attempts)-1, how, nil)
		}
	}
	b.End()
}

func warm(b *Policy, now float64, searches int) float64 {
	for range searches {
		ask(b, now, 500, 1)
		finish(b, now+100, Answered, 501)
		now += 110
	}
	return now
}

func same(t *testing.T, what string, got []int, want ...int) {
	t.Helper()
	failIf(t, len(got) != len(want), "%s: %v, want %v", what, got, want)
	for i := range got {
		failIf(t, got[i] != want[i], "%s: %v, want %v", what, got, want)
	}
}

func failIf(t *testing.T, wrong bool, form string, args ...any) {
	t.Helper()
	if wrong {
		t.Fatalf(form, args...)
	}
}

func TestRequestsOfOneRoundShareABatch(t *testing.T) {
	b, n := plain(2, nil)
	ask(b, 1000, 0, 4)
	for _, to := range n.to[1:] {
		failIf(t, to != n.to[0], "parts went to %v: joining an open call adds nothing outstanding", n.to)
	}
	if s := b.servers[n.to[0]]; s.batches != 1 {
		t.Fatalf("%d calls outstanding, want 1", s.batches)
	}
	ask(b, 1001, 10, 1)
	failIf(t, n.to[4] == n.to[0], "the next round went to the server with more calls outstanding")
}

func TestSlowReplicaIsSkippedUntilItsHistoryExpires(t *testing.T) {
	b, n := plain(2, nil)
	now := warm(b, 1000, 30)
	s := b.servers[0]
	for i := range s.history {
		s.history[i] = latencySample{900, now, 0}
	}
	b.servers[1].batches, b.batches = 5, 5
	n.to = nil
	ask(b, now+1, 0, 1)
	same(t, "sent past the slow replica to", n.to, 1)
	finish(b, now+2, Answered, 1)
	ask(b, now+historyLife+50, 10, 1)
	same(t, "sent after the expiry to", n.to, 1, 0)
	for _, o := range b.servers {
		for i := range o.history {
			o.history[i] = latencySample{900, now + historyLife + 100, 0}
		}
	}
	ask(b, now+historyLife+101, 20, 1)
	same(t, "sent when all look slow to", n.to, 1, 0, 0)
}

// A hang must not read as fast: nothing comes back from it, and nothing outstanding is the fewest.
func TestUnansweredAttemptReadsAsSlow(t *testing.T) {
	b, _ := plain(1, nil)
	now := warm(b, 1000, 30)
	ask(b, now, 0, 1)
	s, g := b.servers[0], &b.predictor
	if x := g.features(now+50, s, 0); g.score(x) > 0.5 {
		t.Fatal("a part just sent reads as slow")
	}
	if x := g.features(now+900, s, 0); x[2] != predict.FeatureCap || g.score(x) <= 0.5 {
		t.Fatalf("a part out for nine lines reads as fast: %v", x)
	}
}

func TestLineIsTheServersOwnUnderTheFleets(t *testing.T) {
	b, _ := plain(2, nil)
	for i := 1; i <= 100; i++ {
		b.predictor.latencies.Add(1000, float64(i))
		b.servers[0].latencies.Add(1000, 1000)
		b.servers[1].latencies.Add(1000, 50)
	}
	b.End()
	if got := b.predictor.line(1000, b.servers[0]); got < 130 || got > 140 {
		t.Fatalf("line of a server that is always slow: %.0f, want one and a half times the fleet's 90", got)
	}
	if got := b.predictor.line(1000, b.servers[1]); got > 55 {
		t.Fatalf("line of a fast server: %.0f, want its own", got)
	}
}

func TestHedgePastLatencyQuantileAndLoserCancelled(t *testing.T) {
	b, n := plain(3, nil)
	now := warm(b, 1000, 30)
	n.sent, n.to, n.cancelled = nil, nil, nil
	ask(b, now, 0, 4)
	finish(b, now+90, Answered)
	same(t, "before the share", n.sent, 1, 2, 3, 4)
	finish(b, now+160, Answered)
	failIf(t, len(n.sent) != 5 || n.to[4] == n.to[0], "sent %v to %v: want one copy for a tenth of four parts, rounded up, elsewhere", n.sent, n.to)
	finish(b, now+170, Answered, n.sent[4])
	same(t, "cancelled", n.cancelled, n.sent[4])
}

func TestFalseSubmitsLowerTheHedgeShare(t *testing.T) {
	b, _ := plain(1, nil)
	for i := range 100 {
		b.predictor.teach(1000, &attemptState{features: vector{1}, predictedFast: true}, i < 7)
	}
	if got := b.predictor.falseRate(1000); math.Abs(got-0.07) > 1e-9 {
		t.Fatalf("false-submit rate %.3f, want 0.07", got)
	}
}

// Refusals are quick, and free their place at once: without a rest everything goes to whoever refuses.
func TestServerThatRejectsIsLeftAlone(t *testing.T) {
	b, n := plain(2, nil)
	ask(b, 1000, 0, 1)
	finish(b, 1002, Rejected, 1)
	failIf(t, len(n.to) != 2 || n.to[1] == n.to[0], "sent to %v: want the other server after a refusal", n.to)
	ask(b, 1003, 10, 1)
	failIf(t, n.to[2] == n.to[0], "sent to a full server again at once")
}

func TestUnresponsiveServerIsEjectedAndItsRequestRetried(t *testing.T) {
	b, n := plain(2, nil)
	now := warm(b, 1000, 30)
	n.sent, n.to = nil, nil
	ask(b, now, 0, 1)
	for at := now + 10; at <= now+600; at += 10 {
		b.Begin(at)
		b.Woken()
		b.End()
	}
	if s := b.servers[n.to[0]]; !s.ejected || !s.unresponsive {
		t.Fatal("a server that answers nothing is not set aside")
	}
	failIf(t, len(n.to) != 2 || n.to[1] == n.to[0], "sent to %v: want the part taken off the silent server", n.to)
}

// A trial that this broker called off told nothing, yet kept a sound server aside for most of a day.
func TestCancelledTrialStaysDue(t *testing.T) {
	b, n := plain(1, nil)
	b.eject(0, true, "test")
	s := b.servers[0]
	s.trialAt = 2500
	ask(b, 2500, 0, 1)
	same(t, "trial", n.sent, 1)
	due := s.trialAt
	finish(b, 2600, Cancelled, 1)
	failIf(t, s.trialAt != due, "a trial called off counts as failed")
}

// A crowd read as silence came back throttled as cold for long; a broken connection may mean a restart.
func TestReturnWarmsUpOnlyWhereRestartIsLikely(t *testing.T) {
	for _, broke := range []bool{false, true} {
		b, n := plain(1, func(b *Policy) { b.WarmUp(0.2, 10000, 2, 2000) })
		b.eject(0, true, "test")
		b.servers[0].connectFailed, b.servers[0].trialAt = broke, 2500
		for i := 0; len(n.sent) == 0 && i < 100; i++ { // by chance, where a restart is likely
			ask(b, 2500, 10*i, 1)
		}
		finish(b, 2600, Answered, n.sent[0])
		s := b.servers[0]
		failIf(t, s.ejected || (s.warmUpUntil > 2600) != broke || s.warmUpUntil > 2600+restartReportDelay, "broken connection %v: aside %v, cold until %.0f", broke, s.ejected, s.warmUpUntil)
	}
}

// A hundred brokers with "at least one each" pushed every server over that came back. Here the four holders
// would get 25 parts each, all they can do; the cold one bears 2 times a fifth of that.
func TestWarmingServerTakesTheSumOverAllAggregators(t *testing.T) {
	for _, silent := range []bool{false, true} {
		got, warm := 0, 0
		for seed := range uint64(100) {
			b, n := plain(4, func(b *Policy) { b.random.seed = seed; b.aggregators = 100; b.WarmUp(0.2, 10000, 2, 2000) })
			b.Begin(9000)
			if silent { // nobody told of a restart
				b.servers[0].ejected, b.servers[0].unresponsive, b.servers[0].connectFailed = true, true, true
			} else {
				b.Server(0, 0, 0, Ready, 1, 8900)
			}
			b.End()
			ask(b, 9001, 0, 1)
			for _, to := range n.to {
				if to == 0 {
					got++
				} else {
					warm++
				}
			}
		}
		failIf(t, got > 10 || got == 0 || warm < 80, "%d parts to the cold server, %d to the warm ones", got, warm)
	}
}

// Searches have many parts and need them all: where each part drew its own lot, a broker with nothing but cold holders in
// reach shed every search, and with three hundred brokers a hall that had returned cold served nothing for ten seconds.
func TestWarmUpDrawIsTheSearchsAmongReachableHolders(t *testing.T) {
	taken, sent := 0, make([]int, 4)
	for seed := range uint64(200) {
		b, n := plain(4, func(b *Policy) {
			b.random.seed = seed
			b.aggregators = 100
			b.Fleet(8, 8, 4, 0, false)
			b.WarmUp(0.5, 10000, 2, 2000)
		})
		b.Begin(9000)
		for i := range 4 {
			if b.Server(i, 0, i, Ready, 1, 8900); i >= 2 {
				b.Server(i, 1, i, Ready, 1, 0)
				b.servers[i].ejected, b.servers[i].unresponsive, b.servers[i].connectFailed = true, true, true
				b.servers[i].trialAt = 20000
			}
		}
		b.End()
		ask(b, 9001, 0, 8)
		taken += 1 - len(n.shed)
		for _, to := range n.to {
			sent[to]++
		}
	}
	// Three quarters of 2 times half: three searches in four, their parts on both cold servers alike.
	failIf(t, taken < 130 || taken > 170, "%d of 200 searches of eight parts taken", taken)
	failIf(t, sent[2]+sent[3] > 0 || sent[0] < sent[1]/2 || sent[1] < sent[0]/2, "sent %v", sent)
}

// One of eight servers failed at once, and the parts of a search that had no other place just then spent all their tries
// on it within ten milliseconds: 95 of 100 parts were in when such a search was given up.
func TestAttemptsAreNotSpentAtOnceOnFailingServers(t *testing.T) {
	b, n := plain(2, func(b *Policy) { b.Limits(4, 100, true, true) })
	b.eject(0, false, "test")
	b.servers[1].rejectsUntil = 1300
	ask(b, 1000, 0, 1)
	same(t, "the first", n.to, 0)
	finish(b, 1005, Errored, 1)
	for at := 1010.; at < 1290; at += 10 {
		b.Begin(at)
		b.Woken()
		b.End()
	}
	same(t, "within the pause", n.to, 0)
	b.Begin(1310)
	b.Woken()
	b.End()
	same(t, "once the other has room", n.to, 0, 1)
}

// A search that could not come to its least share any more was held until its other parts were in.
func TestSearchThatCannotReachItsFloorIsGivenUpAtOnce(t *testing.T) {
	b, n := plain(4, func(b *Policy) { b.Limits(1, 100, true, false) })
	ask(b, 1000, 0, 4)
	finish(b, 1010, Errored, 2)
	failIf(t, len(n.shed)+len(n.failed) != 1, "shed %v, failed %v", n.shed, n.failed)
	// One whose floor can still be met goes on.
	b, n = plain(4, func(b *Policy) { b.Limits(1, 100, true, false); b.Shares(0, 1, 0.5, 0.8, 0) })
	ask(b, 1000, 0, 4)
	finish(b, 1010, Errored, 2)
	failIf(t, len(n.shed)+len(n.failed) != 0, "shed %v, failed %v", n.shed, n.failed)
}

// All who were shed in one moment were told the same time, and came back as one.
func TestRetryAfterIsSpread(t *testing.T) {
	b, _ := plain(2, func(b *Policy) { b.MaxRetryAfter(1e6) })
	aim, seen := b.queryTypes[0].latencyTarget, map[float64]bool{}
	for range 20 {
		back := b.RetryAfter(0)
		failIf(t, back < 0.5*retryAfterShare*aim || back > 1.5*retryAfterShare*aim, "back in %.0f", back)
		seen[math.Round(back)] = true
	}
	failIf(t, len(seen) < 10, "only %d different times", len(seen))
}

// A hall that went took searches with it server by server, and what was called off there read as a crowd.
func TestLostZoneIsEjectedAtOnceAndItsTrialsAreSpread(t *testing.T) {
	b, _ := plain(20, nil)
	b.Begin(5000)
	for i := range 20 {
		b.Server(i, i%2, i, Ready, 1, 0)
	}
	b.ZoneChanged(1, true, 5000)
	b.End()
	early := 0
	for i, s := range b.servers {
		failIf(t, s.ejected != (i%2 == 1), "server %d aside: %v", i, s.ejected)
		if s.ejected && s.trialAt < 7500 {
			early++
		}
	}
	failIf(t, early < 1 || early > 9, "%d of 10 trials in the first half", early)
	b.ZoneChanged(1, false, 200)
	for i, s := range b.servers {
		failIf(t, s.ejected && s.trialAt > 5200, "server %d is tried at %.0f", i, s.trialAt)
	}
}

// A slow hall that was held to be lost for a moment is as before at once: tried server by server it was out of use for seconds.
func TestFalseZoneLossIsUndone(t *testing.T) {
	b, _ := plain(20, nil)
	b.Begin(4000)
	for i := range 20 {
		b.Server(i, i%2, i, Ready, 1, 0)
	}
	b.eject(1, true, "silent")
	b.eject(3, false, "errors")
	b.End()
	b.Begin(5000)
	b.ZoneChanged(1, true, 5000)
	b.servers[5].connectFailed = true // a connect failed there since: that stays
	b.End()
	b.Begin(5080)
	b.ZoneChanged(1, false, -80)
	b.End()
	for i, s := range b.servers {
		failIf(t, s.ejected != (i == 1 || i == 5), "server %d aside: %v", i, s.ejected)
	}
	failIf(t, b.outageSince != 0, "an outage since %.0f", b.outageSince)
}

// In a crowd all are slow, and who looks fast is who was left alone: the fewest own calls decide there, and nowhere else.
func TestPredictionDoesNotChooseInOverload(t *testing.T) {
	b, _ := plain(2, nil)
	b.Begin(1000)
	slow, quick := b.servers[0], b.servers[1]
	b.predictor.samples, b.predictor.fleetLine, b.predictor.median, b.predictor.minMedian, b.predictor.avgLoad = 100, 50, 30, 30, 3
	for i := range slow.history {
		slow.history[i] = latencySample{400, 990, 1}
		quick.history[i] = latencySample{10, 990, 1}
	}
	quick.batches = 3
	choose := func() int {
		y := &placement{search: &searchState{kind: b.queryTypes[0]}, request: &shardRequest{}, candidates: []int{0, 1}}
		b.chooseServer(y)
		return y.server
	}
	failIf(t, !b.predictedSlow(b.predictor.features(1000, slow, 1)) || b.predictedSlow(b.predictor.features(1000, quick, 1)), "the two are not told apart")
	failIf(t, choose() != 1, "calm: a slow one was chosen")
	b.predictor.median = 60
	failIf(t, choose() != 0, "crowd: the one with more calls out was chosen")
}

// What servers do not bear is refused from the least valued up, a share of those at the line.
func TestSearchUnderTheCapacityFloorIsRefused(t *testing.T) {
	b, n := plain(2, nil)
	b.CapacityFloor(0.5, 0.9) // all count 1 here: above the line
	ask(b, 1000, 0, 1)
	failIf(t, len(n.shed) != 0 || len(b.requests[1].attempts) == 0, "above the line: %v shed", n.shed)
	finish(b, 1050, Answered, 1)
	b.CapacityFloor(1.5, 0)
	ask(b, 1100, 2, 1)
	failIf(t, len(n.shed) != 1 || b.Refusals(0)[OverCapacity] != 1, "under the line: %v shed, %v", n.shed, b.Refusals(0))
	b.CapacityFloor(1, 0.5)
	for i := range 200 {
		ask(b, 1200+float64(i), 4+2*i, 1)
		finish(b, 1200.5+float64(i), Answered, 5+2*i)
	}
	failIf(t, b.Refusals(0)[OverCapacity] < 70 || b.Refusals(0)[OverCapacity] > 140, "at the line, half of it: %d of 200 shed, %v", b.Refusals(0)[OverCapacity]-1, b.Refusals(0))
	was := b.Refusals(0)[OverCapacity]
	b.CapacityFloor(0, 0)
	ask(b, 1500, 1000, 1)
	failIf(t, len(n.shed) < 1 || b.Refusals(0)[OverCapacity] != was, "no line, and one is refused for it")
}

// The guard must not feed on its own effect: a fleet that is held back carries little.
func TestHighestRateIsRemembered(t *testing.T) {
	b, _ := plain(1, func(b *Policy) { b.WarmUp(0.2, 10000, 2, 2000) })
	g := &b.warmUp
	g.warmWork.Add(1000, 1250)
	g.measure(3000, 4, 4)
	best := g.maxRate
	g.measure(15000, 4, 4)
	failIf(t, best <= 0 || g.maxRate < best/2, "carry %.3f after 13 s, %.3f before", g.maxRate, best)
}

func TestPartialAnswerAtTheLatencyTarget(t *testing.T) {
	b, n := plain(2, func(b *Policy) { b.Shares(0, 1, 0.5, 0.8, 0) })
	ask(b, 1000, 0, 4)
	finish(b, 1100, Answered, 1, 2, 3)
	same(t, "before the target", n.answered)
	finish(b, 1000+1000-answerMargin, Answered)
	same(t, "at the target", n.answered, 0)
	failIf(t, n.whole, "three of four parts marked whole")
}

func TestExtremeSettingsAndArrivals(t *testing.T) {
	for _, c := range []struct {
		name                         string
		servers, kind, parts, places int
		tries, held, shard           int
		until                        float64
	}{
		{"no server", 0, 0, 2, 1, 4, 0, 0, 4000},
		{"no part", 1, 0, 0, 1, 4, 0, 0, 4000},
		{"no try allowed", 1, 0, 2, 1, 0, 0, 0, 4000},
		{"no holder", 1, 0, 1, 4, 4, 0, 2, 4000},
		{"past on arrival", 1, 0, 1, 1, 4, 0, 0, 900},
		{"unknown query type and customer", 1, 9, 1, 1, 4, 0, 0, 4000},
		{"negative numbers", 1, -1, -1, 1, -1, -1, -3, -1},
	} {
		b, n := plain(c.servers, func(b *Policy) {
			b.Fleet(c.places, 1, 1, 0, false)
			b.Limits(c.tries, c.held, true, true)
		})
		b.Begin(1000)
		b.Search(0, c.kind, c.kind, c.until, c.parts)
		for i := range c.parts {
			b.ShardRequest(0, 1+i, c.shard, 1/float64(c.parts), 100, 0)
		}
		b.End()
		if len(n.shed)+len(n.failed) != 1 || len(n.forgot) != 1 || len(n.sent) != 0 {
			t.Errorf("%s: shed %v, failed %v, sent %v: want one prompt final answer", c.name, n.shed, n.failed, n.sent)
		}
	}
}

// One search may be more than the hold limit; where nothing else is held it is served all the same.
func TestPendingLimitSmallerThanASearch(t *testing.T) {
	b, n := plain(2, func(b *Policy) { b.Limits(4, 2, true, true) })
	ask(b, 1000, 0, 4)
	failIf(t, len(n.sent) != 4, "sent %v, want all four parts of the most valued search", n.sent)
}

// A big part takes long without being slow, and must not teach that its server is.
func TestHintedWorkIsTakenOffLatencies(t *testing.T) {
	b, _ := plain(1, nil)
	now := warm(b, 1000, 30)
	b.Begin(now)
	b.Search(0, 0, 0, now+3000, 1)
	b.ShardRequest(0, 1, 0, 1, 180, 0)
	b.End()
	finish(b, now+180, Answered, 1)
	if got := b.servers[0].history[0].latency; got > 110 {
		t.Fatalf("a part of 180 ms work, answered in 180, counts as %.0f against the usual 100", got)
	}
}

func TestShedGivesRetryAfter(t *testing.T) {
	b, n := plain(1, func(b *Policy) { b.MaxRetryAfter(200) })
	now := warm(b, 1000, 30)
	b.servers[0].meanLatency = 5000
	ask(b, now, 0, 1)
	same(t, "shed", n.shed, 0)
	failIf(t, n.back > 200 || n.back < 0.5*retryAfterShare*b.queryTypes[0].latencyTarget, "come back in %.0f ms, the longest advice is 200", n.back)
}

// Clients that gave up early and asked again: the work was done for nobody.
func TestAdmissionGoesByTheClientsTime(t *testing.T) {
	b, n := plain(1, nil)
	now := warm(b, 1000, 30)
	b.Begin(now)
	b.Search(0, 0, 0, now+60, 1)
	b.ShardRequest(0, 1, 0, 1, 100, 0)
	b.End()
	same(t, "shed where 60 ms are left and answers take 100", n.shed, 0)
}

// A broker that stood still heard nothing meanwhile, and took all its servers for silent at once.
func TestOwnStallIsNoTimeoutOfServers(t *testing.T) {
	b, n := plain(2, nil)
	now := warm(b, 1000, 30)
	ask(b, now, 0, 1)
	finish(b, now+2000, Answered)
	if s := b.servers[n.to[len(n.to)-1]]; s.ejected {
		t.Fatal("a server is set aside for this broker's own stall")
	}
}

// Connections that broke here and there set sound servers aside as dead, and throttled them as restarted.
func TestBrokenConnectionIsOneErrorAndEjectsNobody(t *testing.T) {
	b, _ := plain(2, nil)
	now := warm(b, 1000, 30)
	ask(b, now, 0, 4)
	finish(b, now+10, Reset, 1, 2, 3, 4)
	for i, s := range b.servers {
		failIf(t, s.ejected, "server %d is set aside for one broken connection", i)
	}
}

// Clients that left early took all long ages with them: only quick parts were heard of, and a jam read as calm.
func TestCancelledAttemptsTeachTheirMinimumLatency(t *testing.T) {
	b, _ := plain(1, nil)
	now := warm(b, 1000, 30)
	for i := range 8 {
		ask(b, now, 20*i, 1)
		b.Woken()
		b.Begin(now + 450)
		b.ClientGone(20 * i)
		b.Done(20*i+1, 0, Cancelled, nil)
		b.End()
		now += 460
	}
	failIf(t, b.expectedLatency(b.servers[0]) < 350, "expected %.0f ms where nothing came in 450", b.expectedLatency(b.servers[0]))
}

// Parts that went round a full set kept all of its queues full.
func TestRequestRejectedTwiceIsGivenUp(t *testing.T) {
	b, n := plain(4, nil)
	ask(b, 1000, 0, 1)
	finish(b, 1002, Rejected, 1)
	finish(b, 1004, Rejected, 1)
	failIf(t, len(n.sent) != 2 || len(n.shed) != 1, "sent %v, shed %v: want two tries and a prompt final answer", n.sent, n.shed)
}

func TestRequestsExpectedPastTheLimitAreSkipped(t *testing.T) {
	for _, floor := range []float64{0.5, 1} {
		b, n := plain(4, func(b *Policy) { b.Fleet(4, 1, 1, 0, false); b.Shares(0, 1, floor, 0.8, 0) })
		b.Begin(1001)
		for i := range 4 {
			b.Server(i, 0, i, Ready, 1, 0)
		}
		b.End()
		b.servers[3].meanLatency, b.servers[3].latencyAt = 5000, 1002
		b.Begin(1002)
		b.Search(0, 0, 0, 4000, 4)
		for i := range 4 {
			b.ShardRequest(0, 1+i, i, 0.25, 100, 0)
		}
		b.End()
		failIf(t, len(n.sent) != map[float64]int{0.5: 3, 1: 0}[floor], "least share %.1f: sent %v", floor, n.sent)
	}
}

// Connections dropped unseen lost every part that came after a pause, its trials too.
func TestFaultyIdleConnectionsAreClosedBeforeSend(t *testing.T) {
	for _, idle := range []bool{true, false} { // lost on idle connections alone, or on all: then the server hangs
		b, n := plain(2, nil)
		now := warm(b, 1000, 30) + 1500
		b.servers[0].answeredAt, b.servers[1].answeredAt = now-1500, now-1500
		for range minIdleLost {
			b.connections.record(now, &attemptState{overIdle: idle}, true)
			b.connections.record(now, &attemptState{}, !idle)
		}
		ask(b, now, 0, 1)
		failIf(t, len(n.closed) > 0 != idle, "lost on idle connections %v: closed %v", idle, n.closed)
		b.connections.wasFaulty = false
		b.eject(0, true, "test")
		b.eject(1, true, "test")
		finish(b, now+100, Answered, 1)
		n.closed = nil
		s := b.servers[0]
		if !s.ejected {
			s = b.servers[1]
		}
		failIf(t, s.trialAt <= now+100 != idle, "lost on idle connections %v: tried in %.0f ms", idle, s.trialAt-now)
	}
}

// Trials each second were all that a broker sent to a server set aside, and as much as it sends to any.
func TestTrialsComeNoSoonerThanOrdinarySends(t *testing.T) {
	b, _ := plain(20, nil)
	now := warm(b, 1000, 90) // about one a server in two seconds
	b.eject(0, true, "test")
	first := b.servers[0].trialAt - now
	b.backOffTrial(b.servers[0])
	failIf(t, first < 1500 || first > 4000 || b.servers[0].trialBackoff < 1.5*first, "trials after %.0f and %.0f ms", first,
		b.servers[0].trialBackoff)
}

// Each part looked quick enough, and the search of fifty was late each time.
func TestAdmissionGoesByTheSlowestRequest(t *testing.T) {
	for _, parts := range []int{1, 50} {
		b, n := plain(4, nil)
		now := warm(b, 1000, 30)
		for i := range 100 {
			b.predictor.recentLatencies.Add(now, 100+float64(i/97)*4900)
		}
		taken := 0
		for i := range 20 {
			n.shed = nil
			ask(b, now, 100*i, parts)
			taken += 1 - len(n.shed)
		}
		failIf(t, parts == 1 && taken < 20 || parts > 1 && taken > 4, "%d of 20 searches of %d parts taken", taken, parts)
	}
}

// In bad times the bias alone made every server that nothing was heard of read as slow, and no part was sent again.
func TestEmptyHistoryIsPredictedFast(t *testing.T) {
	b, n := plain(20, nil) // the broker comes to a server once in two seconds
	now := warm(b, 1000, 90)
	b.predictor.weights[0] = 5
	n.to = nil
	ask(b, now+1500, 0, 1)
	for at := now + 1510; at <= now+3400; at += 10 {
		b.Begin(at)
		b.Woken()
		b.End()
	}
	failIf(t, len(n.to) != 2 || n.to[0] == n.to[1], "sent to %v: want the part taken off the silent server", n.to)
}

// Refusals are quick answers of a kind, and admission saw nothing of queues so long that no more fitted.
func TestRejectionCountsAsLateAnswerForAdmission(t *testing.T) {
	b, n := plain(4, nil)
	now := warm(b, 1000, 30)
	for i := range 10 {
		ask(b, now, 100*i, 2)
		finish(b, now+1, Rejected, 100*i+1, 100*i+2)
		finish(b, now+2, Rejected, 100*i+1, 100*i+2)
		now += 400
	}
	if v, _ := b.predictor.recentLatencies.Quantile(now, 0.9); v < 900 || len(n.shed) < 5 {
		t.Fatalf("the slowest tenth took %.0f ms after refusals, %d shed", v, len(n.shed))
	}
}

func TestRemovedServerLeavesNothingToItsIndex(t *testing.T) {
	b, n := plain(2, func(b *Policy) {
		b.Reports(true, []Field{InFlight})
		b.WarmUp(0.2, 5000, 2, 2000)
	})
	now := warm(b, 1000, 30)
	ask(b, now, 1, 1)
	at := n.to[len(n.to)-1]
	b.Begin(now + 10)
	b.Server(at, 0, 0, Gone, 0, 0)
	failIf(t, b.RemoveServer(at), "dropped with a part out")
	b.Done(2, 0, ConnectFailed, []float64{9}) // which sets it aside, and reports what counts no more
	b.End()
	b.Begin(now + 10)
	failIf(t, b.RemoveServer(at), "dropped while what it was sent counts")
	b.End()
	now += 5000
	b.Begin(now)
	failIf(t, !b.servers[at].ejected || !b.RemoveServer(at) || !b.RemoveServer(at), "not dropped with nothing out")
	failIf(t, b.predictor.reporting != 0 || b.predictor.reportedLoad != 0, "what it reported stays: %v", b.predictor.reportedLoad)
	b.End()
	b.Begin(now + 30)
	b.Server(at, 0, 0, Ready, 1, 0) // another, under the same index
	b.Server(1-at, 0, 0, Gone, 0, 0)
	b.End()
	s := b.servers[at]
	failIf(t, s.ejected || s.meanLatency != 0 || slices.Contains(b.watched, at), "the new one is taken for the old: %+v, %v", s, b.watched)
	sent := len(n.to)
	ask(b, now+40, 10, 1)
	same(t, "sent to the new one", n.to[sent:], at)
}

func TestHoldersThatFailSomeRequestsAreAskedBeforeShedding(t *testing.T) {
	b, n := plain(2, nil)
	now := warm(b, 1000, 40)
	b.Begin(now)
	b.eject(0, false, "errors")
	b.eject(1, false, "errors")
	b.End()
	sent := len(n.to)
	ask(b, now, 10, 1)
	failIf(t, len(n.shed) > 0 || len(n.to) != sent+1, "%d shed, %d sent", len(n.shed), len(n.to)-sent)
}

func TestPausedServerIsTriedSoonAndItsRequestsWait(t *testing.T) {
	b, n := plain(1, nil)
	now := 1000.0
	for range 60 {
		ask(b, now, 500, 1)
		finish(b, now+20, Answered, 501)
		now += 30
	}
	ask(b, now, 1, 1)
	for _, ms := range []float64{20, 40, 60} {
		finish(b, now+ms, Answered)
	}
	failIf(t, !b.servers[0].ejected || !b.servers[0].unresponsive, "not silent after three times what it takes")
	sent := len(n.to)
	ask(b, now+80, 10, 1)
	failIf(t, len(n.shed) > 0 || len(n.to) != sent, "a search that a trial may serve in time: %d shed, %d sent", len(n.shed),
		len(n.to)-sent)
	finish(b, now+300, Answered)
	failIf(t, len(n.to) != sent+1, "no trial 240 ms after it fell silent, where an answer takes 20")
}
