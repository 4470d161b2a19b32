package grpcproxy

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/engine"
	p "kestrelspread/internal/standin/grpcpeer"
	"kestrelspread/internal/standin/invariants"
	"kestrelspread/internal/standin/simnet"
)

var seeds = flag.Int("seeds", 60, "how many random scripts to play")

const budgetFacts = `,"spare-attempts":12,"further-ratio":0.3,"counted-over-ms":4000`

// randomRun is one random script: clients of all kinds, servers with all kinds of faults, and a list
// of servers that changes.
type randomRun struct {
	*harness
	rng          *rand.Rand
	rules        *invariants.Checker
	attempts     map[*p.ServerCall]*invariants.Attempt
	pendingCalls map[string]*p.ClientCall
	reported     map[*p.ClientCall]bool
	callNumber   int
	usage        *usageMeter
	onCall       func(id string, a *p.ClientCall) // may be nil
}

// usageMeter adds up what the engine meters.
type usageMeter struct{ searches, attempts, left, in, out int64 }

func (m *usageMeter) Record(u *engine.Usage) {
	m.searches++
	m.attempts += int64(u.FirstAttempts + u.RetryAttempts + u.HedgeAttempts)
	m.in, m.out = m.in+u.BytesIn, m.out+u.BytesOut
	if u.ClientLeft {
		m.left++
	}
	if u.Frontend != 1 || u.Shards != 1 || u.FirstAttempts > 1 || u.ServerTimeMs < 0 {
		panic("impossible usage")
	}
}

func (y *randomRun) happens(x float64) bool { return y.rng.Float64() < x }

// serverScript draws what a server does with a call.
func (y *randomRun) serverScript(k *p.ServerCall) []p.Action {
	id := k.Header("x-id")
	wait := func(maxMillis float64) float64 { return maxMillis * y.rng.Float64() }
	if y.happens(0.05) { // slow
		wait = func(maxMillis float64) float64 { return 20 * maxMillis * y.rng.Float64() }
	}
	if list, drawn := y.actsWithoutMessages(wait); drawn {
		return list
	}
	list := []p.Action{p.SendHeaders(wait(10))}
	var body []byte
	for n := y.rng.IntN(4); n >= 0; n-- {
		m := p.EncodeMessage(fmt.Sprintf("%s by %s %s", id, k.Server.Name, strings.Repeat("x", y.rng.IntN(1<<uint(y.rng.IntN(15))))))
		body = append(body, m...)
		if y.happens(0.2) { // in two fragments
			at := 1 + y.rng.IntN(len(m)-1)
			list = append(list, p.SendBody(wait(10), m[:at]))
			m = m[at:]
		}
		list = append(list, p.SendBody(wait(10), m))
		more, last := y.actsAfterMessage(wait)
		list = append(list, more...)
		if last {
			return list
		}
	}
	return append(list, p.Action{AfterMs: 0, Run: func(*p.Server, *p.ServerCall) { y.rules.RecordServerAnswer(id, body) }}, p.SendTrailers(wait(5), 0))
}

// actsWithoutMessages draws what a server does that sends no message, if it is one.
func (y *randomRun) actsWithoutMessages(wait func(maxMillis float64) float64) (list []p.Action, drawn bool) {
	switch y.rng.IntN(24) {
	case 0:
		return nil, true // it never responds
	case 1:
		refuse := p.ResetStream(wait(10), http2.ErrCodeRefusedStream)
		return acts(p.Action{AfterMs: refuse.AfterMs, Run: func(s *p.Server, k *p.ServerCall) {
			y.attempts[k].RecordNotExecuted(y.world.NowMs)
			refuse.Run(s, k)
		}}), true
	case 2:
		code := http2.ErrCode(y.rng.IntN(14))
		if code == http2.ErrCodeRefusedStream {
			code = http2.ErrCodeCancel
		}
		return acts(p.ResetStream(wait(10), code)), true
	case 3:
		return acts(p.SendTrailersOnly(wait(10), []int{1, 2, 8, 13, 14, 15}[y.rng.IntN(6)])), true
	case 4:
		return acts(p.SendTrailersOnly(wait(10), 14, "grpc-retry-pushback-ms", fmt.Sprint(y.rng.IntN(100)-20))), true
	case 5:
		return acts(p.Crash(wait(20))), true
	case 6:
		return acts(p.SendHeadersOnly(wait(10), ":status", "503")), true
	case 7:
		return acts(p.SendTrailersOnly(wait(10), 5)), true
	}
	return nil, false
}

// actsAfterMessage draws what happens after a message, and whether that is the last.
func (y *randomRun) actsAfterMessage(wait func(maxMillis float64) float64) (list []p.Action, last bool) {
	switch y.rng.IntN(30) {
	case 0:
		return acts(p.Crash(wait(10))), true
	case 1:
		return acts(p.SendTrailers(wait(5), 14)), true
	case 2:
		return nil, true // it stalls
	case 3:
		return acts(p.ResetStream(wait(5), http2.ErrCodeInternal)), true
	case 4:
		return acts(p.EndWithoutTrailers(wait(5))), true
	case 5:
		return acts(p.SendBody(0, []byte{9, 9, 9, 9, 9, 9})), true
	case 6:
		return acts(p.Action{AfterMs: 0, Run: func(_ *p.Server, k *p.ServerCall) {
			c := k.Conn()
			c.HTTP2.GoAway(http2.ErrCodeNo) // it accepts nothing new, and goes on with what it has
			c.Flush()
		}}), false
	}
	return nil, false
}

func newRandomRun(t testing.TB, seed uint64) *randomRun {
	y := &randomRun{rng: rand.New(rand.NewPCG(seed, 3)), rules: invariants.New(), attempts: map[*p.ServerCall]*invariants.Attempt{},
		pendingCalls: map[string]*p.ClientCall{}, reported: map[*p.ClientCall]bool{}}
	y.usage = &usageMeter{}
	y.harness = newHarness(t, seed, 2+y.rng.IntN(4), budgetFacts)
	y.world.Engine.SetMeter(y.usage)
	y.rules.RetryBudgetBase, y.rules.RetryBudgetRatio, y.rules.RetryBudgetWindowMs, y.rules.IdempotencyWindowMs = 12, 0.3, 4000, 400
	y.rules.Strict = true
	y.world.SplitsBytes = y.happens(0.5)
	y.world.DelayMs = 0.1 + 2*y.rng.Float64()
	y.rules.AnswerSlackMs = y.world.DelayMs + 1
	for _, v := range y.servers {
		v.Script = y.serverScript
		v.ActsOnHeaders = y.happens(0.3)
		v.Limits = h2Limits([]int{1, 2, 100}[y.rng.IntN(3)])
		v.Limits.InitialWindowSize = 1 << (8 + y.rng.IntN(9))
		v.OnCall = func(k *p.ServerCall) {
			y.attempts[k] = y.rules.RecordAttempt(k.Header("x-id"), "", v.Name, y.world.NowMs)
		}
	}
	return y
}

// startCall has a client make a call of some kind.
func (y *randomRun) startCall(c *p.Client) {
	kind := y.rng.IntN(3)
	y.callNumber++
	id := fmt.Sprint("c", y.callNumber)
	a := &p.ClientCall{Path: "/" + []string{"quick", "once", "keyed"}[kind] + "." + []string{"message", "headers", "end"}[y.rng.IntN(3)] + "/X",
		TimeoutMs: float64(40 + y.rng.IntN(1200)), Fields: []string{"x-id", id}, KeepsOpen: y.happens(0.2), NeverReads: y.happens(0.05),
		Body: [][]byte{p.EncodeMessage(strings.Repeat("q", y.rng.IntN(1<<uint(y.rng.IntN(14)))))}}
	y.pendingCalls[id] = a
	y.rules.RecordQuery(id, []invariants.Effect{invariants.Idempotent, invariants.NonIdempotent, invariants.IdempotentInWindow}[kind], y.world.NowMs, y.world.NowMs+a.TimeoutMs)
	if y.onCall != nil {
		y.onCall(id, a)
	}
	c.Call(a)
	if a.KeepsOpen {
		n := y.rng.IntN(3)
		for i := range n {
			y.world.After(float64(i*30), func() { a.Write(p.EncodeMessage(strings.Repeat("w", y.rng.IntN(3000)))) })
		}
		y.world.After(float64(n*30)+100*y.rng.Float64(), a.End)
	}
	if y.happens(0.1) {
		y.world.After(300*y.rng.Float64(), func() {
			if !a.Done() {
				y.rules.RecordAbandoned(id)
				a.Cancel()
			}
		})
	}
}

// reportEnded reports to the rules what clients got.
func (y *randomRun) reportEnded() {
	for id, a := range y.pendingCalls {
		if !a.Done() || y.reported[a] {
			continue
		}
		y.reported[a] = true
		delete(y.pendingCalls, id)
		if a.Canceled || a.ConnLost {
			y.rules.RecordAbandoned(id)
			continue
		}
		pushback := a.Trailer("grpc-retry-pushback-ms")
		y.rules.RecordFinalAnswer(id, a.DoneAtMs, a.Status == 0 && a.FinalStatuses == 1, a.ReceivedBody, pushback != "" && pushback[0] != '-')
	}
}

// checkCounts compares what the proxy counts with what there is.
func (y *randomRun) checkCounts() {
	buffered, open, streams := 0, 0, 0
	for c := range y.proxy.clientConns {
		for _, s := range c.http2.Streams() {
			if k, ok := s.UserData.(*call); ok && !k.ended {
				open++
				buffered += bufferedBytesOf(k)
			}
		}
	}
	for _, conn := range y.proxy.serverConns {
		if conn != nil {
			streams += len(conn.attempts)
		}
	}
	if buffered != y.proxy.bufferedBytes || open != y.proxy.openCalls || streams != y.proxy.pool.Streams() {
		y.t.Fatalf("conservation: %d bytes buffered of %d, %d calls open of %d, %d streams of %d", buffered,
			y.proxy.bufferedBytes, open, y.proxy.openCalls, streams, y.proxy.pool.Streams())
	}
	y.checkClientConns()
}

// bufferedBytesOf counts the bytes that are buffered for a call.
func bufferedBytesOf(k *call) int {
	buffered := k.request.size()
	counted := map[*attempt]bool{}
	for _, a := range append([]*attempt{k.committed, k.answered, k.lastFailed}, k.attempts...) {
		if a != nil && !counted[a] {
			counted[a] = true
			buffered += a.response.size()
		}
	}
	return buffered
}

func (y *randomRun) checkClientConns() {
	sum := 0
	for _, c := range y.proxy.clientOrder {
		if c.closed {
			continue
		}
		sum += c.bufferedBytes
		if unsent := c.queuedBytes - c.sentBytes; unsent > maxUnsentBytes+100<<10 {
			y.t.Fatalf("%d bytes wait for a client", unsent)
		}
	}
	if sum != y.proxy.bufferedBytes {
		y.t.Fatalf("client connections have %d bytes buffered, the proxy %d", sum, y.proxy.bufferedBytes)
	}
}

// checkTurn checks the rules and the counts after a turn.
func (y *randomRun) checkTurn() {
	y.reportEnded()
	y.checkCounts()
	found := y.rules.Check(y.world.NowMs)
	if len(found) == 0 {
		return
	}
	for id, a := range y.pendingCalls {
		if strings.Contains(found[0], id+" ") {
			y.t.Logf("%+v", *a)
		}
	}
	y.t.Fatalf("at %.1f: %s", y.world.NowMs, strings.Join(found, "\n"))
}

// checkUsage compares what was metered with what the engine and the proxy count.
func (y *randomRun) checkUsage() {
	m, c := y.usage, &y.world.Engine.Counters
	if m.searches != c.Searches || m.attempts != c.AttemptsRequested || m.left != c.ClientsLeft || c.AttemptsRequested != y.proxy.Counters.Attempts {
		y.t.Errorf("metered %+v; %d searches, %d attempts asked, %d left; the proxy made %d", *m, c.Searches, c.AttemptsRequested,
			c.ClientsLeft, y.proxy.Counters.Attempts)
	}
}

func (y *randomRun) run(ms float64) {
	y.world.OnTurn = y.checkTurn
	var clients []*p.Client
	for range 1 + y.rng.IntN(3) {
		clients = append(clients, p.Dial(y.world, 1))
	}
	until := y.world.NowMs + ms
	for y.world.NowMs < until {
		y.world.Run(20 * y.rng.Float64())
		i := y.rng.IntN(len(clients))
		if clients[i].IsClosed || clients[i].Draining {
			clients[i] = p.Dial(y.world, 1)
		}
		for range y.rng.IntN(3) {
			y.startCall(clients[i])
		}
		switch y.rng.IntN(120) {
		case 0:
			clients[i].Close()
		case 1, 2:
			y.injectFault()
		}
	}
	y.world.Run(2500)
	for _, c := range clients {
		c.Close()
	}
	y.world.Run(5000) // connections reach their idle timeout
	y.checkReleased()
	y.checkUsage()
	if n := y.proxy.pool.Connections(); n != 0 {
		y.t.Errorf("%d connections at rest", n)
	}
}

// injectFault has a fault happen to a server or the list.
func (y *randomRun) injectFault() {
	i := y.rng.IntN(len(y.servers))
	v := y.servers[i]
	addr := y.proxy.servers[i].address
	switch y.rng.IntN(4) {
	case 0: // drained for a while
		y.world.UpdateInstances(func(list []simnet.Instance) []simnet.Instance { list[i].State = "draining"; return list })
		y.rules.RecordDrain(v.Name, true, y.world.NowMs+y.world.DelayMs)
		y.world.After(700+1500*y.rng.Float64(), func() {
			y.rules.RecordDrain(v.Name, false, y.world.NowMs)
			y.world.UpdateInstances(func(list []simnet.Instance) []simnet.Instance { list[i].State = "ready"; return list })
		})
	case 1: // restarts
		for _, c := range v.Conns {
			if !c.Dead {
				c.Kill()
			}
		}
		y.world.RefusedAddresses[addr] = true
		y.world.After(300*y.rng.Float64(), func() { delete(y.world.RefusedAddresses, addr) })
	case 2: // connects do not come up
		y.world.UnansweredAddresses[addr] = true
		y.world.After(500*y.rng.Float64(), func() { delete(y.world.UnansweredAddresses, addr) })
	case 3: // the network to it stands still
		y.rules.Strict = false
		for _, c := range v.Conns {
			if !c.Dead && !c.Endpoint.IsClosed() {
				c.Endpoint.WriteBlocked = true
				y.world.After(400*y.rng.Float64(), c.Endpoint.UnblockWrites)
			}
		}
	}
}

func TestRandomScripts(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newRandomRun(t, seed).run(4000) })
	}
}

func TestPlantedDefects(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the package thrice")
	}
	for tag, sign := range map[string]string{"mutant_repeat": "rule", "mutant_lost": "rule 1", "mutant_drain": "rule 3"} {
		out, err := exec.Command("go", "test", "-count=1", "-tags", tag, "-failfast", "-run", "TestRandomScripts", "-args", "-seeds", "1500").CombinedOutput()
		if err == nil || !strings.Contains(string(out), sign) {
			t.Errorf("%s was not found: %v\n%.2000s", tag, err, out)
		} else {
			at := strings.Index(string(out), "--- FAIL: TestRandomScripts/")
			t.Logf("%s found: %.60s", tag, out[at:])
		}
	}
}
