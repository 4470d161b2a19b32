package fleetsim

import (
	"math"

	"kestrelspread/internal/aggregator/policy"
)

// broker is a broker with its policy.
type broker struct {
	sim            *simulation
	id, site       int
	policy         policy.Decider
	freeHandles    []int
	handles        []any
	wakeAtMs       float64
	pendingInputs  []func(p policy.Decider)
	roundScheduled bool
	incarnation    int
	connected      map[int]bool
	suspendedAtMs  float64 // +Inf: it is not suspended
}

// start starts an incarnation of a broker, with a list that has no restarts.
func (b *broker) start() {
	sim := b.sim
	b.incarnation++
	b.freeHandles = nil
	b.handles = nil
	b.pendingInputs = nil
	b.roundScheduled = false
	b.wakeAtMs = math.Inf(1)
	b.connected = map[int]bool{}
	out := &incarnationPort{b, b.incarnation}
	b.policy = sim.NewPolicy(out, sim.Seed*1000+uint64(b.id)+uint64(b.incarnation)<<32, b.site)
	b.notify(func(port policy.Decider) {
		for _, s := range sim.servers {
			port.UpdateServer(s.id, s.site, s.cell, policy.Ready, 1, 0)
		}
	})
}

// incarnationPort is the output of one incarnation of a broker.
type incarnationPort struct {
	*broker
	incarnation int
}

// notify passes an input to the broker's policy, in a round at this moment, with all other inputs of the moment.
func (b *broker) notify(input func(p policy.Decider)) {
	b.pendingInputs = append(b.pendingInputs, input)
	if b.roundScheduled || b.sim.now >= b.suspendedAtMs {
		return
	}
	b.roundScheduled = true
	incarnation := b.incarnation
	b.sim.after(0, func() {
		if incarnation != b.incarnation {
			return
		}
		if b.roundScheduled = false; b.sim.now >= b.suspendedAtMs {
			return
		}
		inputs := b.pendingInputs
		b.pendingInputs = nil
		b.policy.BeginRound(b.sim.now)
		for _, input := range inputs {
			input(b.policy)
		}
		if b.sim.now >= b.wakeAtMs {
			b.wakeAtMs = math.Inf(1)
			b.policy.WakeUpDue()
		}
		b.policy.EndRound()
	})
}

// newHandle assigns a handle to a query or a shard request.
func (b *broker) newHandle(v any) int {
	if n := len(b.freeHandles); n > 0 {
		handle := b.freeHandles[n-1]
		b.freeHandles = b.freeHandles[:n-1]
		b.handles[handle] = v
		return handle
	}
	b.handles = append(b.handles, v)
	return len(b.handles) - 1
}

// endAttempt reports the outcome of an attempt to the policy, unless the broker has restarted.
func (b *broker) endAttempt(a *attempt, outcome policy.Outcome) {
	if a.finished || a.incarnation != b.incarnation {
		return
	}
	a.finished = true
	b.notify(func(p policy.Decider) { p.AttemptDone(a.request.id, a.number, outcome, nil) })
}

// Send implements policy.Executor: a shard request is sent to a server.
func (b *broker) Send(id, to int, _, _ float64) {
	sim := b.sim
	request, s := b.handles[id].(*shardRequest), sim.servers[to]
	a := &attempt{request: request, number: len(request.attempts), server: s, incarnation: b.incarnation}
	request.attempts = append(request.attempts, a)
	sim.result.SentAttempts++
	if !sim.isReachable(b, s) {
		sim.result.SentToLostSites++
		if !b.connected[to] {
			sim.after(sim.ConnectTimeoutMs, func() { b.endAttempt(a, policy.ConnectFailed) })
		}
		return
	}
	b.connected[to] = true
	sim.after(sim.DelayMs, func() { sim.deliver(b, s, a) })
}

// Cancel implements policy.Executor: an attempt is cancelled, at once. Servers drop it if it waits.
func (b *broker) Cancel(id, number int) {
	b.endAttempt(b.handles[id].(*shardRequest).attempts[number], policy.Cancelled)
}

// Answer implements policy.Executor: a query is answered.
func (b *broker) Answer(id int, _ bool) {
	q := b.handles[id].(*query)
	if q.finished = true; b.sim.now-q.startMs <= b.sim.QueryTypes[q.queryType].TargetMs {
		b.sim.result.InTime++
		s := b.sim.secondAt(q.startMs)
		s.InTime++
		s.ofType(q.queryType).InTime++
		for len(s.AnsweredBySite) <= b.site {
			s.AnsweredBySite = append(s.AnsweredBySite, 0)
		}
		s.AnsweredBySite[b.site]++
	} else {
		b.sim.result.Late++
	}
}

// Shed implements policy.Executor: a query is shed, and its client may retry after a backoff.
func (b *broker) Shed(id int, backoffMs float64) {
	q := b.handles[id].(*query)
	q.finished = true
	sim := b.sim
	sim.result.RetryTimes[int((sim.now+backoffMs)/100)]++
	waitMs := max(backoffMs, 50)
	if sim.EarlyRetryShare > 0 && sim.random.Float64() < sim.EarlyRetryShare {
		waitMs = 100 * (0.5 + sim.random.Float64())
	}
	if q.retries > 0 && sim.now+waitMs < q.deadlineMs-50 {
		sim.after(waitMs, func() {
			sim.sendQuery(&query{queryType: q.queryType, startMs: q.startMs, deadlineMs: q.deadlineMs, firstShard: q.firstShard, retries: q.retries - 1, isRetry: true})
		})
		return
	}
	sim.result.Shed++
}

// Fail implements policy.Executor: a query ends with an error.
func (b *broker) Fail(id int) {
	b.handles[id].(*query).finished = true
	b.sim.result.Failed++
}

// Probe implements policy.Executor: a server is probed.
func (b *broker) Probe(to int) {
	sim, s, at := b.sim, b.sim.servers[to], b.sim.now
	if !sim.isReachable(b, s) || s.unresponsive {
		sim.after(sim.ConnectTimeoutMs, func() { b.notify(func(p policy.Decider) { p.ProbeDone(to, false, sim.now-at, nil) }) })
		return
	}
	sim.after(2*sim.DelayMs, func() { b.notify(func(p policy.Decider) { p.ProbeDone(to, true, sim.now-at, nil) }) })
}

// CloseIdleConnections implements policy.Executor: idle connections to a server are closed.
func (b *broker) CloseIdleConnections(int) {}

// SubscribeToServers implements policy.Executor: the broker subscribes to the list.
func (b *broker) SubscribeToServers() {}

// ScheduleWakeUp implements policy.Executor: the policy asks for a round after a delay.
func (b *broker) ScheduleWakeUp(delayMs float64) {
	at := b.sim.now + delayMs
	if at >= b.wakeAtMs {
		return
	}
	b.wakeAtMs = at
	b.sim.after(delayMs, func() {
		if b.wakeAtMs == at {
			b.notify(func(policy.Decider) {})
		}
	})
}

// Log implements policy.Executor: it counts log lines by their first words, and reports of lost sites.
func (b *broker) Log(text string) {
	word := text
	if len(word) > 11 {
		word = word[:11]
	}
	b.sim.result.Logs[word]++
	if word == "site 1 lost" || word == "site 0 lost" || word == "site 2 lost" {
		if at := b.sim.siteLostAtMs[int(word[5]-'0')]; b.sim.now >= at {
			b.sim.result.DetectionMs = append(b.sim.result.DetectionMs, b.sim.now-at)
		} else {
			b.sim.result.FalseAlarms++
		}
	}
}

// ReleaseSearch implements policy.Executor: the handles of a query may be reused.
func (b *broker) ReleaseSearch(id int) {
	q := b.handles[id].(*query)
	for _, p := range q.shardRequests {
		b.handles[p.id] = nil
		b.freeHandles = append(b.freeHandles, p.id)
	}
	b.handles[id] = nil
	b.freeHandles = append(b.freeHandles, id)
}
