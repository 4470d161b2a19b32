package policy

import (
	"fmt"
	"math/rand"
	"testing"
)

// A world drives one broker with random but legal events and checks the rules after every call and round.

type tryOut struct {
	server    int
	at        float64
	out, dead bool // dead: it cannot have run
	how       Outcome
	called    bool
}

type partOut struct {
	search, shard, step int
	weight              float64
	tries               []tryOut
	in, over            bool
}

type searchOut struct {
	kind, want, step   int
	until              float64
	parts              []int
	finals             int
	firstWhole, client bool // client: it has left
}

type serverIn struct {
	cell    int
	state   State
	started float64
	mood    int // 0 sound, 1 silent, 2 errors, 3 full, 4 unreachable
	sent    []spent
}

type spent struct{ at, work float64 }

type world struct {
	t                                    testing.TB
	rnd                                  *rand.Rand
	b                                    *Policy
	now, wake, lasts, multiple, over     float64
	from, aim, timeout, tokenFor, spare  float64
	ratio, budgetOver, peak              float64
	need, floor                          []float64
	effects                              []Effect
	follow, places, span, most, tries    int
	brokers                              int
	cancel, copies, probes, ask, budgets bool
	servers                              []*serverIn
	searches                             map[int]*searchOut
	parts                                map[int]*partOut
	order                                []int // parts in the order they came, so that runs repeat
	next                                 int
	steps                                []int // searches whose second step comes next
	probing                              []int
	taken, further                       []float64
	faults                               []string
	tamper                               string
	finals, sends                        int
}

func newWorld(t testing.TB, seed int64) *world {
	r := rand.New(rand.NewSource(seed))
	pick := func(v ...float64) float64 { return v[r.Intn(len(v))] }
	w := &world{t: t, rnd: r, now: pick(0, 1e6), lasts: pick(0, 5000, 17000), multiple: pick(2, 3),
		over: pick(1500, 3000), from: pick(0.16, 0.5), aim: pick(0, 300, 1500), timeout: pick(400, 3000),
		tokenFor: pick(200, 5000), spare: pick(0, 3), ratio: pick(0, 0.1), budgetOver: pick(500, 5000),
		follow: r.Intn(3), places: 1 + r.Intn(6), span: 1 + r.Intn(4), most: int(pick(0, 5, 200)), tries: r.Intn(5),
		cancel: r.Intn(4) > 0, copies: r.Intn(3) > 0, probes: r.Intn(2) > 0, ask: r.Intn(4) == 0,
		budgets: r.Intn(3) == 0}
	for i := 0; i < 3; i++ {
		w.effects = append(w.effects, Effect(r.Intn(3)))
		w.need = append(w.need, pick(1, 1, 0.6))
		w.floor = append(w.floor, min(w.need[i], pick(1, 0.5, 0)))
	}
	for i := r.Intn(9); i >= 0; i-- {
		w.servers = append(w.servers, &serverIn{cell: r.Intn(w.places)})
	}
	w.start()
	return w
}

// start begins the broker anew, as after a kill: it holds nothing, and what was out is told to nobody.
func (w *world) start() {
	w.searches, w.parts, w.order, w.steps, w.probing = map[int]*searchOut{}, map[int]*partOut{}, nil, nil, nil
	w.taken, w.further, w.wake, w.peak = nil, nil, -1, 0
	seed := w.rnd.Uint64()
	w.brokers = []int{1, 3, 100, 1000}[w.rnd.Intn(4)]
	b := New(w, seed, w.brokers, 0)
	for i, e := range w.effects {
		b.QueryType(w.aim, float64(1+i), 0.3, e, w.tokenFor)
		b.Shares(i, w.need[i], w.floor[i], 0.8, w.follow*(i%2))
	}
	b.Customer(float64(w.rnd.Intn(3)), 0.1)
	b.Fleet(w.places, w.span, 1+w.rnd.Intn(4), 10, true)
	b.Limits(w.tries, w.most, w.cancel, w.copies)
	b.MaxRetryAfter(500)
	if w.lasts > 0 {
		b.WarmUp(w.from, w.lasts, w.multiple, w.over)
	}
	if w.budgets {
		b.Budget(w.spare, w.ratio, w.budgetOver)
	}
	b.Reports(w.rnd.Intn(2) == 0, []Field{Queue})
	if w.probes {
		b.Probes()
	}
	b.Discovery(w.ask)
	w.b = b
	b.Begin(w.now)
	for i, s := range w.servers {
		s.sent = nil
		b.Server(i, i%2, s.cell, s.state, 1, s.started)
	}
	b.End()
}

func (w *world) fault(form string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.0f: ", w.now)+fmt.Sprintf(form, args...))
}

func (w *world) Send(id, server int, within, begin float64) {
	p := w.parts[id]
	if w.tamper == "drained" {
		w.servers[server].state = Draining
	}
	s := w.servers[server]
	q := w.searches[p.search]
	w.sends++
	if p.over || q.finals > 0 || p.in || q.client {
		w.fault("part %d sent though over", id)
	}
	if s.state != Ready {
		w.fault("part %d sent to server %d, drained or gone", id, server)
	}
	if ((s.cell-p.shard)%w.places+w.places)%w.places >= w.span {
		w.fault("part %d sent to server %d that does not hold it", id, server)
	}
	if len(p.tries) >= w.tries {
		w.fault("part %d has more sub-requests than allowed", id)
	}
	effect, first := w.effects[q.kind], -1.0
	for _, y := range p.tries {
		if y.out && !w.copies {
			w.fault("part %d has two sub-requests at once", id)
		}
		if !y.dead && first < 0 {
			first = y.at
		}
	}
	if first >= 0 && (effect == NonIdempotent || effect == Tokened && w.now > first+w.tokenFor) {
		w.fault("part %d of effect %d may run twice", id, effect)
	}
	if len(p.tries) > 0 {
		w.further = append(w.further, w.now)
		if n := w.within(w.further); w.budgets && float64(n) > w.spare+w.ratio*float64(w.within(w.taken)) {
			w.fault("further sub-request %d of the window is over budget", n)
		}
	}
	sum := 100.0 + 10
	for _, v := range s.sent {
		if v.at > w.now-w.over {
			sum += v.work
		}
	}
	s.sent = append(s.sent, spent{w.now, 100.0 + 10})
	if age := w.now - s.started; s.started > 0 && age < w.lasts {
		share := w.from + (1-w.from)*age/w.lasts
		few := min(max(float64(w.brokers)/50, 1), 4)                                       // by lot, which many even out
		if sum > few*(100.0+10) && sum > w.multiple*share*w.peak/assumedBusyShare*w.over { // what servers can do, if so busy
			w.fault("server %d sent %.0f of work while cold", server, sum)
		}
	}
	total := 0.0
	for _, v := range s.sent {
		if v.at > w.now-10000 {
			total += v.work
		}
	}
	w.peak = max(w.peak, total/10000)
	p.tries = append(p.tries, tryOut{server: server, at: w.now, out: true})
	if w.tamper == "twice" && len(p.tries) == 1 {
		w.Send(id, server, within, begin)
	}
}

// within counts what came in the budget's window, this moment included.
func (w *world) within(times []float64) (n int) {
	for _, at := range times {
		if at > w.now-w.budgetOver {
			n++
		}
	}
	return n
}

func (w *world) Cancel(id, try int) {
	p := w.parts[id]
	if !w.cancel || p == nil || try >= len(p.tries) {
		w.fault("cancel of sub-request %d of part %d", try, id)
		return
	}
	p.tries[try].called = true
}

func (w *world) final(id int) *searchOut {
	q := w.searches[id]
	w.finals++
	if q.finals++; q.finals > 1 && !q.client {
		w.fault("search %d has a second final answer", id)
	}
	if w.tamper == "late" {
		w.now += 1e6
	}
	if w.now > q.until+20 && !q.client {
		w.fault("search %d answered too late", id)
	}
	return q
}

func (w *world) Answer(id int, whole bool) {
	q := w.searches[id]
	if w.tamper == "whole" {
		whole = true
	}
	got, in := 0.0, 0
	for _, at := range q.parts {
		if p := w.parts[at]; p.in && p.step == q.step {
			got, in = got+p.weight, in+1
		}
	}
	need, floor := w.need[q.kind], w.floor[q.kind]
	if q.step > 0 {
		need = 1
		if w.floor[q.kind] >= w.need[q.kind] {
			floor = 1
		}
	}
	if got < floor-1e-4 || in == 0 {
		w.fault("search %d answered from %.2f, least %.2f", id, got, floor)
	}
	if whole && (got < need-1e-4 || q.step > 0 && !(q.firstWhole && in == q.want)) {
		w.fault("search %d marked whole with %.2f", id, got)
	}
	if n := w.follow * (q.kind % 2); q.step == 0 && n > 0 {
		q.step, q.want, q.firstWhole = 1, min(n, in), whole
		w.steps = append(w.steps, id)
		for _, at := range q.parts {
			w.parts[at].over = true
		}
		return
	}
	w.final(id)
}

func (w *world) Shed(id int, _ float64) {
	q := w.final(id)
	for _, at := range q.parts {
		for _, y := range w.parts[at].tries {
			if !y.dead && w.effects[q.kind] != Idempotent {
				w.fault("search %d shed though part %d may have run", id, at)
			}
		}
	}
}

func (w *world) Fail(id int) { w.final(id) }

func (w *world) Probe(server int) {
	if !w.probes {
		w.fault("a probe where none is allowed")
	}
	w.probing = append(w.probing, server)
}

func (w *world) Close(_ int)     {}
func (w *world) Subscribe()      {}
func (w *world) Log(_ string)    {}
func (w *world) Wake(in float64) { w.wake = w.now + in }

func (w *world) Forget(id int) {
	q := w.searches[id]
	if q.finals == 0 && !q.client {
		w.fault("search %d forgotten without an answer", id)
	}
	for _, at := range q.parts {
		for _, y := range w.parts[at].tries {
			if y.out {
				w.fault("part %d forgotten while out", at)
			}
		}
		delete(w.parts, at)
	}
	delete(w.searches, id)
}

func (w *world) step() {
	r := w.rnd
	w.now += float64(1 + r.Intn(12))
	stalled := r.Intn(400) == 0
	if stalled {
		w.now += float64(r.Intn(2500))
	}
	w.b.Begin(w.now)
	for id := 0; stalled && id <= w.next; id++ { // who waited too long has left
		if q := w.searches[id]; q != nil && q.finals == 0 && !q.client && w.now > q.until {
			q.client = true
			w.b.ClientGone(id)
		}
	}
	if w.wake >= 0 && w.now >= w.wake {
		w.wake = -1
		w.b.Woken()
	}
	hall, fleet := r.Intn(500), r.Intn(900) == 0 // a hall in one mood, the whole fleet restarted or drained
	for i, s := range w.servers {
		if r.Intn(300) == 0 || hall == i%2 {
			s.mood = r.Intn(5)
		}
		if fleet || r.Intn(600) == 0 {
			s.state = State(r.Intn(3))
			if s.state == Ready {
				s.started = w.now - float64(r.Intn(2000))
			}
			w.b.Server(i, i%2, s.cell, s.state, 1, s.started)
		}
	}
	for i, s := range w.servers { // its index may be used again: here, by the same one
		if s.state == Gone && r.Intn(40) == 0 && w.b.RemoveServer(i) && w.b.servers[i] != nil {
			w.fault("server %d is dropped and known", i)
		}
	}
	if r.Intn(200) == 0 {
		w.b.DiscoveryFailed()
	}
	if r.Intn(500) == 0 && len(w.servers) < 40 { // a wave: every other server goes and another takes its place
		for i, s := range w.servers[:len(w.servers):len(w.servers)] {
			if s.state = Gone; i%2 == 0 {
				w.servers = append(w.servers, &serverIn{cell: s.cell, started: w.now})
			}
			w.b.Server(i, i%2, s.cell, s.state, 1, s.started)
		}
		for i, s := range w.servers {
			if s.started == w.now {
				w.b.Server(i, i%2, s.cell, s.state, 1, s.started)
			}
		}
	}
	for _, i := range w.probing {
		w.b.Probed(i, w.servers[i].mood == 0, float64(r.Intn(250)), []float64{float64(r.Intn(9))})
	}
	w.probing = w.probing[:0]
	w.outcomes()
	for _, id := range w.steps {
		if q := w.searches[id]; q != nil && !q.client {
			w.addParts(id, q.want)
		}
	}
	w.steps = w.steps[:0]
	if r.Intn(6) == 0 {
		id := w.id()
		q := &searchOut{kind: r.Intn(3), want: r.Intn(8), until: w.now + float64(r.Intn(int(w.timeout)))}
		w.searches[id] = q
		w.b.Search(id, q.kind, r.Intn(2), q.until, q.want)
		w.taken = append(w.taken, w.now)
		w.addParts(id, q.want)
	}
	w.b.End()
	for id, q := range w.searches {
		if q.finals == 0 && !q.client && w.now > q.until+20 {
			w.fault("search %d has no final answer in time", id)
		}
	}
}

func (w *world) id() int { w.next++; return w.next }

func (w *world) addParts(search, n int) {
	q := w.searches[search]
	for i := 0; i < n; i++ {
		id := w.id()
		p := &partOut{search: search, shard: w.rnd.Intn(w.places), step: q.step, weight: 1 / float64(n)}
		w.parts[id] = p
		w.order = append(w.order, id)
		q.parts = append(q.parts, id)
		w.taken = append(w.taken, w.now)
		w.b.ShardRequest(search, id, p.shard, p.weight, 100.0, uint64(w.rnd.Intn(4)))
	}
}

// outcomes ends some of what is out, as the moods of the servers have it, and all of what is overdue.
func (w *world) outcomes() {
	kept := w.order[:0]
	for _, id := range w.order {
		p := w.parts[id]
		if p == nil {
			continue
		}
		kept = append(kept, id)
		q := w.searches[p.search]
		for no := range p.tries {
			y := &p.tries[no]
			mood := w.servers[y.server].mood
			if !y.out || !y.called && w.now < q.until && (mood == 1 || mood == 0 && w.rnd.Intn(12) > 0) {
				continue
			}
			y.how = [...]Outcome{Answered, TimedOut, Errored, Rejected, ConnectFailed}[mood]
			if y.called && w.rnd.Intn(8) > 0 {
				y.how = Cancelled
			} else if w.now >= q.until {
				y.how = TimedOut
			} else if w.rnd.Intn(60) == 0 {
				y.how = Reset
			}
			y.out, y.dead = false, y.how.NeverRan()
			if y.how == Answered && !p.over && q.finals == 0 {
				p.in = true
			}
			w.b.Done(id, no, y.how, []float64{float64(w.rnd.Intn(9))})
			if w.parts[id] == nil {
				break
			}
		}
	}
	w.order = kept
	for _, id := range w.order {
		if p := w.parts[id]; p != nil && w.rnd.Intn(3000) == 0 {
			if q := w.searches[p.search]; q.finals == 0 && !q.client {
				q.client = true
				w.b.ClientGone(p.search)
			}
		}
	}
}
