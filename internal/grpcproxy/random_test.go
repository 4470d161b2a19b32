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
	"kestrelspread/internal/standin/rules"
	"kestrelspread/internal/standin/virtual"
)

var seeds = flag.Int("seeds", 60, "how many random scripts to play")

const budgetFacts = `,"spare-attempts":12,"further-ratio":0.3,"counted-over-ms":4000`

// play is one random script: clients of all kinds, servers in all sorts of trouble, a list that changes.
type play struct {
	*scene
	rng   *rand.Rand
	book  *rules.Book
	subs  map[*p.Got]*rules.Sub
	asks  map[string]*p.Ask
	done  map[*p.Ask]bool
	next  int
	meter *meter
	onAsk func(id string, a *p.Ask) // may be nil
}

// meter adds up what it is told.
type meter struct{ searches, subs, left, in, out int64 }

func (m *meter) Record(u *engine.Usage) {
	m.searches++
	m.subs += int64(u.First + u.Retry + u.Hedge)
	m.in, m.out = m.in+u.BytesIn, m.out+u.BytesOut
	if u.ClientLeft {
		m.left++
	}
	if u.Front != 1 || u.Shards != 1 || u.First > 1 || u.Server < 0 {
		panic("a use that can't be")
	}
}

func (y *play) chance(x float64) bool { return y.rng.Float64() < x }

// script draws what a server does with a call.
func (y *play) script(k *p.Got) []p.Act {
	id, wait := k.Get("x-id"), func(most float64) float64 { return most * y.rng.Float64() }
	if y.chance(0.05) { // slow
		wait = func(most float64) float64 { return 20 * most * y.rng.Float64() }
	}
	var list []p.Act
	never := func(a p.Act) []p.Act {
		return append(list, p.Act{After: a.After, Do: func(s *p.Server, k *p.Got) { y.subs[k].NeverRan(y.w.Now); a.Do(s, k) }})
	}
	switch y.rng.IntN(24) {
	case 0:
		return nil // silence
	case 1:
		return never(p.Reset(wait(10), http2.ErrCodeRefusedStream))
	case 2:
		code := http2.ErrCode(y.rng.IntN(14))
		if code == http2.ErrCodeRefusedStream {
			code = http2.ErrCodeCancel
		}
		return append(list, p.Reset(wait(10), code))
	case 3:
		return append(list, p.Only(wait(10), []int{1, 2, 8, 13, 14, 15}[y.rng.IntN(6)]))
	case 4:
		return append(list, p.Only(wait(10), 14, "grpc-retry-pushback-ms", fmt.Sprint(y.rng.IntN(100)-20)))
	case 5:
		return append(list, p.Die(wait(20)))
	case 6:
		return append(list, p.OnlyFields(wait(10), ":status", "503"))
	case 7:
		return append(list, p.Only(wait(10), 5))
	}
	list = append(list, p.Head(wait(10)))
	var body []byte
	for n := y.rng.IntN(4); n >= 0; n-- {
		m := p.Message(fmt.Sprintf("%s by %s %s", id, k.S.Name, strings.Repeat("x", y.rng.IntN(1<<uint(y.rng.IntN(15))))))
		body = append(body, m...)
		if y.chance(0.2) { // in two pieces
			at := 1 + y.rng.IntN(len(m)-1)
			list = append(list, p.Raw(wait(10), m[:at]))
			m = m[at:]
		}
		list = append(list, p.Raw(wait(10), m))
		switch y.rng.IntN(30) {
		case 0:
			return append(list, p.Die(wait(10)))
		case 1:
			return append(list, p.End(wait(5), 14))
		case 2:
			return list // stalls
		case 3:
			return append(list, p.Reset(wait(5), http2.ErrCodeInternal))
		case 4:
			return append(list, p.EndBare(wait(5)))
		case 5:
			return append(list, p.Raw(0, []byte{9, 9, 9, 9, 9, 9}))
		case 6:
			list = append(list, p.Act{After: 0, Do: func(_ *p.Server, k *p.Got) {
				c := k.Conn()
				c.H.GoAway(http2.ErrCodeNo) // takes nothing new, goes on with what it has
				c.Flush()
			}})
		}
	}
	return append(list, p.Act{After: 0, Do: func(*p.Server, *p.Got) { y.book.Answered(id, body) }}, p.End(wait(5), 0))
}

func newPlay(t testing.TB, seed uint64) *play {
	y := &play{rng: rand.New(rand.NewPCG(seed, 3)), book: rules.New(), subs: map[*p.Got]*rules.Sub{},
		asks: map[string]*p.Ask{}, done: map[*p.Ask]bool{}}
	y.meter = &meter{}
	y.scene = newScene(t, seed, 2+y.rng.IntN(4), budgetFacts)
	y.w.R.SetMeter(y.meter)
	y.book.Spare, y.book.Ratio, y.book.Over, y.book.Window = 12, 0.3, 4000, 400
	y.book.Strict = true
	y.w.Pieces = y.chance(0.5)
	y.w.Delay = 0.1 + 2*y.rng.Float64()
	y.book.Slack = y.w.Delay + 1
	for _, v := range y.servers {
		v.Script = y.script
		v.Early = y.chance(0.3)
		v.Limits = h2Limits([]int{1, 2, 100}[y.rng.IntN(3)])
		v.Limits.InitialWindowSize = 1 << (8 + y.rng.IntN(9))
		v.OnCall = func(k *p.Got) { y.subs[k] = y.book.Sent(k.Get("x-id"), "", v.Name, y.w.Now) }
	}
	return y
}

// ask has a client make a call of some kind.
func (y *play) ask(c *p.Client) {
	kind := y.rng.IntN(3)
	y.next++
	id := fmt.Sprint("c", y.next)
	a := &p.Ask{Path: "/" + []string{"quick", "once", "keyed"}[kind] + "." + []string{"message", "headers", "end"}[y.rng.IntN(3)] + "/X",
		Timeout: float64(40 + y.rng.IntN(1200)), Fields: []string{"x-id", id}, Open: y.chance(0.2), Slow: y.chance(0.05),
		Body: [][]byte{p.Message(strings.Repeat("q", y.rng.IntN(1<<uint(y.rng.IntN(14)))))}}
	y.asks[id] = a
	y.book.Asked(id, []rules.Effect{rules.Idempotent, rules.NonIdempotent, rules.Tokened}[kind], y.w.Now, y.w.Now+a.Timeout)
	if y.onAsk != nil {
		y.onAsk(id, a)
	}
	c.Call(a)
	if a.Open {
		n := y.rng.IntN(3)
		for i := range n {
			y.w.After(float64(i*30), func() { a.Write(p.Message(strings.Repeat("w", y.rng.IntN(3000)))) })
		}
		y.w.After(float64(n*30)+100*y.rng.Float64(), a.End)
	}
	if y.chance(0.1) {
		y.w.After(300*y.rng.Float64(), func() {
			if !a.Done() {
				y.book.Left(id)
				a.Cancel()
			}
		})
	}
}

// heard notes what clients were told.
func (y *play) heard() {
	for id, a := range y.asks {
		if !a.Done() || y.done[a] {
			continue
		}
		y.done[a] = true
		delete(y.asks, id)
		if a.Left || a.Lost {
			y.book.Left(id)
			continue
		}
		back := a.Get("grpc-retry-pushback-ms")
		y.book.Final(id, a.DoneAt, a.Status == 0 && a.Finals == 1, a.Got, back != "" && back[0] != '-')
	}
}

// conserved: what the front counts is what there is.
func (y *play) conserved() {
	held, open, streams := 0, 0, 0
	seen := map[*call]bool{}
	for c := range y.f.clientConns {
		for _, s := range c.http2.Streams() {
			if k, ok := s.UserData.(*call); ok && !k.ended && !seen[k] {
				seen[k] = true
				open++
				held += k.request.size()
				hold := map[*attempt]bool{}
				for _, a := range append([]*attempt{k.committed, k.answered, k.lastFailed}, k.attempts...) {
					if a != nil && !hold[a] {
						hold[a] = true
						held += a.response.size()
					}
				}
			}
		}
	}
	for _, l := range y.f.serverConns {
		if l != nil {
			streams += len(l.attempts)
		}
	}
	if held != y.f.bufferedBytes || open != y.f.openCalls || streams != y.f.pool.Streams() {
		y.t.Fatalf("conservation: %d bytes held of %d, %d calls open of %d, %d streams of %d", held, y.f.bufferedBytes, open, y.f.openCalls,
			streams, y.f.pool.Streams())
	}
	sum := 0
	for _, q := range y.f.clientOrder {
		if q.closed {
			continue
		}
		sum += q.bufferedBytes
		if n := q.queuedBytes - q.sentBytes; n > maxUnsentBytes+100<<10 {
			y.t.Fatalf("%d bytes wait for a client", n)
		}
	}
	if sum != y.f.bufferedBytes {
		y.t.Fatalf("clients hold %d bytes, all together %d", sum, y.f.bufferedBytes)
	}
}

func (y *play) run(ms float64) {
	y.w.OnTurn = func() {
		y.heard()
		y.conserved()
		if found := y.book.Check(y.w.Now); len(found) > 0 {
			for id, a := range y.asks {
				if strings.Contains(found[0], id+" ") {
					y.t.Logf("%+v", *a)
				}
			}
			y.t.Fatalf("at %.1f: %s", y.w.Now, strings.Join(found, "\n"))
		}
	}
	var clients []*p.Client
	for range 1 + y.rng.IntN(3) {
		clients = append(clients, p.Dial(y.w, 1))
	}
	until := y.w.Now + ms
	for y.w.Now < until {
		y.w.Run(20 * y.rng.Float64())
		i := y.rng.IntN(len(clients))
		if clients[i].Shut || clients[i].Gone {
			clients[i] = p.Dial(y.w, 1)
		}
		for range y.rng.IntN(3) {
			y.ask(clients[i])
		}
		switch y.rng.IntN(120) {
		case 0:
			clients[i].Hang()
		case 1, 2:
			y.trouble()
		}
	}
	y.w.Run(2500)
	for _, c := range clients {
		c.Hang()
	}
	y.w.Run(5000) // channels end their idle time
	y.clean()
	// What the meter was told is what was counted, by the front's own book as well.
	c := &y.w.R.Count
	if m := y.meter; m.searches != c.Searches || m.subs != c.AttemptsAsked || m.left != c.ClientsLeft || c.AttemptsAsked != y.f.Counters.Attempts {
		y.t.Errorf("metered %+v; %d searches, %d sub-requests asked, %d left; the front sent %d", *m, c.Searches, c.AttemptsAsked, c.ClientsLeft, y.f.Counters.Attempts)
	}
	if n := y.f.pool.Connections(); n != 0 {
		y.t.Errorf("%d channels at rest", n)
	}
}

// trouble happens to a server or the list.
func (y *play) trouble() {
	i := y.rng.IntN(len(y.servers))
	v := y.servers[i]
	addr := y.f.servers[i].addr
	switch y.rng.IntN(4) {
	case 0: // drained for a while
		y.w.Tell(func(list []virtual.Listed) []virtual.Listed { list[i].State = "draining"; return list })
		y.book.Told(v.Name, true, y.w.Now+y.w.Delay)
		y.w.After(700+1500*y.rng.Float64(), func() {
			y.book.Told(v.Name, false, y.w.Now)
			y.w.Tell(func(list []virtual.Listed) []virtual.Listed { list[i].State = "ready"; return list })
		})
	case 1: // restarts
		for _, c := range v.Conns {
			if !c.Dead {
				c.Kill()
			}
		}
		y.w.Refuse[addr] = true
		y.w.After(300*y.rng.Float64(), func() { delete(y.w.Refuse, addr) })
	case 2: // connects do not come up
		y.w.Swallow[addr] = true
		y.w.After(500*y.rng.Float64(), func() { delete(y.w.Swallow, addr) })
	case 3: // the network to it stands still
		y.book.Strict = false
		for _, c := range v.Conns {
			if !c.Dead && !c.End.Gone() {
				c.End.Stuck = true
				y.w.After(400*y.rng.Float64(), c.End.Unstick)
			}
		}
	}
}

func TestRandomScripts(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newPlay(t, seed).run(4000) })
	}
}

func TestPlantedDefects(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the package thrice")
	}
	for tag, sign := range map[string]string{"plant_repeat": "rule", "plant_lost": "rule 1", "plant_drain": "rule 3"} {
		out, err := exec.Command("go", "test", "-count=1", "-tags", tag, "-failfast", "-run", "TestRandomScripts", "-args", "-seeds", "1500").CombinedOutput()
		if err == nil || !strings.Contains(string(out), sign) {
			t.Errorf("%s was not found: %v\n%.2000s", tag, err, out)
		} else {
			at := strings.Index(string(out), "--- FAIL: TestRandomScripts/")
			t.Logf("%s found: %.60s", tag, out[at:])
		}
	}
}
