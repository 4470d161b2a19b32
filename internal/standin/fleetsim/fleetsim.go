// Package crowd is a whole fleet in one process on a virtual clock: hundreds of brokers' decisions, stand-in servers that
// bear so much, clients that come again, and the loss of sites. It asks what three hundred copies of a rule do in the same
// second; sockets and processes it has none. The same seed gives the same run.
package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/standin/station"
)

// Plan is what a run is made of. Times are milliseconds.
type Plan struct {
	Seed             uint64
	Brokers, Servers int
	Sites            int // brokers and servers lie at them in turn
	Places, Copies   int
	Kind             station.Kind
	Rate             float64 // searches a second, of all brokers together
	Parts            int
	Target, Timeout  float64
	Delay            float64 // one way
	Connect          float64 // until a connect that is not answered fails
	Tries            int
	Retries          int // of clients
	Notice           float64
	Until            float64
	Lose             []Loss
	Bad              float64 // share of servers that answer nothing, each by itself
	Err              float64 // and that answer every sub-request with an error, at once
	Port             func(out policy.Out, seed uint64, site int) policy.Port
	Kinds            []Kind  // none: one, of Parts, Target and Timeout
	Sleep            []Sleep // brokers that stand still
	Shrug            float64 // share of shed clients that come again when they like, not when they are told
}

// Kind is a query type. Share: its part of the searches.
type Kind struct {
	Share           float64
	Parts           int
	Target, Timeout float64
	Customer        int
}

// Sleep has a share of the brokers stand still for a time: what comes to them waits.
type Sleep struct{ Share, From, To float64 }

// Loss is a site that says nothing for a time. It returns cold where Cold says so.
type Loss struct {
	Site     int
	From, To float64
	Cold     bool
	Cut      bool // its servers live: brokers there go on, cut off from the others
}

// Result is what came of a run.
type Result struct {
	Offered, InTime, Late, Shed, Failed, False int // false: sites held to be lost that were not
	Second                                     []Second
	Worst                                      float64 // a cold server's load against what it bears, once its restart had been told for as long as loads are counted
	Untold                                     float64 // the same before that: nobody could know
	WorstWarm                                  float64 // busiest second of a warm one: came against what it bears
	Detect                                     []float64
	Sent, Errors                               int
	ToLost                                     int // sent to a lost site's servers while it was lost
	Peak                                       int // most sub-requests to one server in any 100 ms after its site's return
	Logs                                       map[string]int
	Told                                       map[int]int // shed clients by the 100 ms in which they were told to come again
}

// Second is one second's searches.
type Second struct {
	Offered, InTime int
	Site            []int // in time, by the site of the broker that answered
	Kind            []KindSecond
}

// KindSecond is a query type's second.
type KindSecond struct{ Offered, InTime int }

type event struct {
	at  float64
	seq int
	do  func()
}

type queue []event

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type world struct {
	Plan
	now     float64
	seq     int
	events  queue
	rng     *rand.Rand
	brokers []*broker
	servers []*server
	res     *Result
	lostAt  []float64 // by site: lost since, or +Inf
	cut     []bool
}

type server struct {
	id, site, cell int
	started        float64
	told           float64 // when its restart was told, or +Inf
	bad, errs      bool
	busy           int
	waiting        []func()
	sent           []float64
	bins           map[int]int
}

type broker struct {
	w        *world
	id, site int
	port     policy.Port
	free     []int
	slots    []any
	wake     float64
	queued   []func(p policy.Port)
	turn     bool
	life     int
	opened   map[int]bool
	asleep   float64 // since when, or +Inf
}

type search struct {
	id, kind       int
	born, until    float64
	parts          []*part
	over           bool
	retries, first int
	begin          float64
	again          bool
}

type part struct {
	id    int
	shard int
	q     *search
	tries []*try
}

type try struct {
	p    *part
	no   int
	sv   *server
	over bool
	life int
}

func (w *world) after(in float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + in, w.seq, do})
}

// Run plays a plan.
func Run(p Plan) *Result {
	w := &world{Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 9)), res: &Result{Logs: map[string]int{}, Told: map[int]int{}}, now: 1000}
	if len(w.Kinds) == 0 {
		w.Kinds = []Kind{{Share: 1, Parts: p.Parts, Target: p.Target, Timeout: p.Timeout}}
	}
	for range p.Sites {
		w.lostAt = append(w.lostAt, math.Inf(1))
		w.cut = append(w.cut, false)
	}
	for i := range p.Servers {
		w.servers = append(w.servers, &server{id: i, site: i % p.Sites, cell: i % p.Places, started: math.Inf(-1),
			bad: w.rng.Float64() < p.Bad, errs: w.rng.Float64() < p.Err, bins: map[int]int{}})
	}
	for i := range p.Brokers {
		b := &broker{w: w, id: i, site: i % p.Sites, asleep: math.Inf(1)}
		w.brokers = append(w.brokers, b)
		b.start()
	}
	for _, l := range p.Lose {
		w.after(l.From-w.now+1000, func() { w.lose(l) })
	}
	for _, l := range p.Sleep {
		for _, b := range w.brokers {
			if w.rng.Float64() < l.Share {
				w.after(l.From-w.now+1000, func() { b.asleep = w.now })
				w.after(l.To-w.now+1000, func() {
					b.asleep = math.Inf(1)
					b.say(func(policy.Port) {})
				})
			}
		}
	}
	w.arrive()
	end := 1000 + p.Until
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if w.now = e.at; w.now > end+p.Timeout+100 {
			break
		}
		e.do()
	}
	return w.res
}

// start begins a broker with a list that tells of no restarts.
func (b *broker) start() {
	w := b.w
	b.life++
	b.free, b.slots, b.queued, b.turn, b.wake, b.opened = nil, nil, nil, false, math.Inf(1), map[int]bool{}
	out := &life{b, b.life}
	b.port = w.Port(out, w.Seed*1000+uint64(b.id)+uint64(b.life)<<32, b.site)
	b.say(func(port policy.Port) {
		for _, s := range w.servers {
			port.Server(s.id, s.site, s.cell, policy.Ready, 1, 0)
		}
	})
}

// life is a broker from one start to its end: what an earlier one had out concerns nobody.
type life struct {
	*broker
	no int
}

func (w *world) second(at float64) *Second {
	i := max(int((at-1000)/1000), 0)
	for len(w.res.Second) <= i {
		w.res.Second = append(w.res.Second, Second{})
	}
	return &w.res.Second[i]
}

// arrive has the next search come to a broker that serves, by chance.
func (w *world) arrive() {
	w.after(w.rng.ExpFloat64()/w.Rate*1000, func() {
		if w.now > 1000+w.Until {
			return
		}
		w.res.Offered++
		w.second(w.now).Offered++
		kind := 0
		if len(w.Kinds) > 1 {
			draw := w.rng.Float64()
			for draw -= w.Kinds[0].Share; draw > 0 && kind+1 < len(w.Kinds); draw -= w.Kinds[kind].Share {
				kind++
			}
		}
		w.second(w.now).of(kind).Offered++
		w.ask(&search{kind: kind, begin: w.now, until: w.now + w.Kinds[kind].Timeout, first: w.rng.IntN(w.Places), retries: w.Retries})
		w.arrive()
	})
}

// of gives a query type's part of a second.
func (s *Second) of(kind int) *KindSecond {
	for len(s.Kind) <= kind {
		s.Kind = append(s.Kind, KindSecond{})
	}
	return &s.Kind[kind]
}

func (w *world) ask(q *search) {
	b := w.brokers[w.rng.IntN(len(w.brokers))]
	for n := 0; n < 1000 && w.gone(b); n++ {
		b = w.brokers[w.rng.IntN(len(w.brokers))]
	}
	q.born = w.now
	k := w.Kinds[q.kind]
	b.say(func(p policy.Port) {
		q.id = b.take(q)
		p.Search(q.id, q.kind, k.Customer, q.until, k.Parts)
		for n := range k.Parts {
			y := &part{q: q, shard: (q.first + n) % w.Places}
			y.id = b.take(y)
			q.parts = append(q.parts, y)
			p.ShardRequest(q.id, y.id, y.shard, 1/float64(k.Parts), 0, 0)
		}
		if q.again {
			p.MarkRetry(q.id)
		}
	})
}

// gone: the broker's machine is lost with its site, or has not answered for so long that fronts pass it over.
func (w *world) gone(b *broker) bool {
	return w.now >= w.lostAt[b.site] && !w.cut[b.site] || w.now > b.asleep+passedOver
}

const passedOver = 200 // ms

// reaches: bytes pass between a broker and a server.
func (w *world) reaches(b *broker, s *server) bool {
	if b.site == s.site && w.cut[s.site] {
		return true
	}
	return w.now < w.lostAt[s.site] && (w.now < w.lostAt[b.site] || b.site == s.site)
}

func (w *world) lose(l Loss) {
	w.lostAt[l.Site], w.cut[l.Site] = w.now, l.Cut
	w.after(l.To-l.From, func() {
		w.lostAt[l.Site], w.cut[l.Site] = math.Inf(1), false
		for _, b := range w.brokers {
			if b.site == l.Site && !l.Cut {
				b.start() // as a process that begins anew: what it knew and held is gone
			}
		}
		for _, s := range w.servers {
			if s.site != l.Site || !l.Cold {
				continue
			}
			s.started, s.busy, s.waiting, s.told = w.now, 0, nil, math.Inf(1)
			started := w.now
			w.after(w.Notice*(0.5+w.rng.Float64()), func() {
				s.told = w.now
				for _, b := range w.brokers {
					b.say(func(p policy.Port) { p.Server(s.id, s.site, s.cell, policy.Ready, 1, started) })
				}
			})
		}
	})
}

// say has a broker's module told something, in a round of its own at this moment, with whatever else comes now.
func (b *broker) say(what func(p policy.Port)) {
	b.queued = append(b.queued, what)
	if b.turn || b.w.now >= b.asleep {
		return
	}
	b.turn = true
	life := b.life
	b.w.after(0, func() {
		if life != b.life {
			return
		}
		if b.turn = false; b.w.now >= b.asleep {
			return
		}
		list := b.queued
		b.queued = nil
		b.port.Begin(b.w.now)
		for _, f := range list {
			f(b.port)
		}
		if b.w.now >= b.wake {
			b.wake = math.Inf(1)
			b.port.Woken()
		}
		b.port.End()
	})
}

func (b *broker) take(v any) int {
	if n := len(b.free); n > 0 {
		at := b.free[n-1]
		b.free = b.free[:n-1]
		b.slots[at] = v
		return at
	}
	b.slots = append(b.slots, v)
	return len(b.slots) - 1
}

func (b *broker) done(t *try, how policy.Outcome) {
	if t.over || t.life != b.life {
		return
	}
	t.over = true
	b.say(func(p policy.Port) { p.Done(t.p.id, t.no, how, nil) })
}

// Send is the module's wish.
func (b *broker) Send(id, to int, _, _ float64) {
	w := b.w
	p, s := b.slots[id].(*part), w.servers[to]
	t := &try{p: p, no: len(p.tries), sv: s, life: b.life}
	p.tries = append(p.tries, t)
	w.res.Sent++
	if !w.reaches(b, s) {
		if w.res.ToLost++; !b.opened[to] {
			w.after(w.Connect, func() { b.done(t, policy.ConnectFailed) })
		}
		return
	}
	b.opened[to] = true
	w.after(w.Delay, func() {
		if !w.reaches(b, s) {
			return
		}
		s.came(w)
		if s.bad {
			return
		}
		if s.errs {
			w.res.Errors++
			w.after(w.Delay, func() { b.done(t, policy.Errored) })
			return
		}
		if len(s.waiting) >= w.Kind.Queue {
			w.after(w.Delay, func() { b.done(t, policy.Rejected) })
			return
		}
		s.run(w, t, func() {
			w.after(w.Delay, func() {
				if w.reaches(b, s) {
					b.done(t, policy.Answered)
				}
			})
		})
	})
}

// came keeps the book of what a server was sent.
func (s *server) came(w *world) {
	age := w.now - s.started
	if age < w.Kind.ColdFor {
		s.sent = append(s.sent, w.now)
		for len(s.sent) > 0 && s.sent[0] < w.now-w.Kind.Over {
			s.sent = s.sent[1:]
		}
		bears := w.Kind.Bears() / 1000 * w.Kind.Over * w.Kind.Share(age-w.Kind.Over/2)
		ratio := float64(len(s.sent)) / (w.Kind.Multiple * bears)
		if w.now > s.told+w.Kind.Over {
			w.res.Worst = max(w.res.Worst, ratio)
		} else {
			w.res.Untold = max(w.res.Untold, ratio)
		}
		bin := int(w.now / 100)
		s.bins[bin]++
		w.res.Peak = max(w.res.Peak, s.bins[bin])
	} else if bin := -int(w.now / 1000); true {
		s.bins[bin]++
		w.res.WorstWarm = max(w.res.WorstWarm, float64(s.bins[bin])/w.Kind.Bears())
	}
}

func (s *server) run(w *world, t *try, end func()) {
	started := s.started
	start := func() {
		s.busy++
		sigma := math.Sqrt(math.Log(1 + w.Kind.CV*w.Kind.CV))
		ms := w.Kind.Work * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2) / w.Kind.Share(w.now-s.started)
		w.after(ms, func() {
			if s.started != started {
				return // it has started anew: what it held is gone
			}
			s.busy--
			end()
			for len(s.waiting) > 0 && s.busy < w.Kind.Slots {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	if s.busy < w.Kind.Slots {
		start()
		return
	}
	s.waiting = append(s.waiting, func() {
		if !t.over {
			start()
		}
	})
}

// Cancel ends a sub-request at once: servers drop what waits.
func (b *broker) Cancel(id, no int) { b.done(b.slots[id].(*part).tries[no], policy.Cancelled) }

// Answer implements policy.Out: a search is answered.
func (b *broker) Answer(id int, _ bool) {
	q := b.slots[id].(*search)
	if q.over = true; b.w.now-q.begin <= b.w.Kinds[q.kind].Target {
		b.w.res.InTime++
		s := b.w.second(q.begin)
		s.InTime++
		s.of(q.kind).InTime++
		for len(s.Site) <= b.site {
			s.Site = append(s.Site, 0)
		}
		s.Site[b.site]++
	} else {
		b.w.res.Late++
	}
}

// Shed implements policy.Out: a search is refused.
func (b *broker) Shed(id int, back float64) {
	q := b.slots[id].(*search)
	q.over = true
	w := b.w
	w.res.Told[int((w.now+back)/100)]++
	wait := max(back, 50)
	if w.Shrug > 0 && w.rng.Float64() < w.Shrug {
		wait = 100 * (0.5 + w.rng.Float64())
	}
	if q.retries > 0 && w.now+wait < q.until-50 {
		w.after(wait, func() {
			w.ask(&search{kind: q.kind, begin: q.begin, until: q.until, first: q.first, retries: q.retries - 1, again: true})
		})
		return
	}
	w.res.Shed++
}

// Fail implements policy.Out: a search ends in error.
func (b *broker) Fail(id int) {
	b.slots[id].(*search).over = true
	b.w.res.Failed++
}

// Probe implements policy.Out: a server is probed.
func (b *broker) Probe(to int) {
	w, s, at := b.w, b.w.servers[to], b.w.now
	if !w.reaches(b, s) || s.bad {
		w.after(w.Connect, func() { b.say(func(p policy.Port) { p.Probed(to, false, w.now-at, nil) }) })
		return
	}
	w.after(2*w.Delay, func() { b.say(func(p policy.Port) { p.Probed(to, true, w.now-at, nil) }) })
}

// Close implements policy.Out: idle connections to a server are closed.
func (b *broker) Close(int) {}

// Subscribe implements policy.Out: the list is subscribed to.
func (b *broker) Subscribe() {}

// Wake implements policy.Out: the module wants a round after so many milliseconds.
func (b *broker) Wake(in float64) {
	at := b.w.now + in
	if at >= b.wake {
		return
	}
	b.wake = at
	b.w.after(in, func() {
		if b.wake == at {
			b.say(func(policy.Port) {})
		}
	})
}

// Log implements policy.Out: the module has a line for the log.
func (b *broker) Log(text string) {
	word := text
	if len(word) > 11 {
		word = word[:11]
	}
	b.w.res.Logs[word]++
	if word == "site 1 lost" || word == "site 0 lost" || word == "site 2 lost" {
		if at := b.w.lostAt[int(word[5]-'0')]; b.w.now >= at {
			b.w.res.Detect = append(b.w.res.Detect, b.w.now-at)
		} else {
			b.w.res.False++
		}
	}
}

// Forget implements policy.Out: the indices of a search may be used again.
func (b *broker) Forget(id int) {
	q := b.slots[id].(*search)
	for _, p := range q.parts {
		b.slots[p.id] = nil
		b.free = append(b.free, p.id)
	}
	b.slots[id] = nil
	b.free = append(b.free, id)
}
