// Package baseline has the textbook policies that the module is measured against, behind the same port and so with the
// same fronts, carriers and pools. They know who is listed and nothing of health: a part goes to a holder by chance or
// in turn, and after a failure, where that does no harm, to another one. For measurements alone.
package baseline

import (
	"math"
	"math/rand/v2"

	"kestrelspread/internal/aggregator/policy"
)

// Names are the policies that New knows.
var Names = []string{"random", "roundrobin", "failover"}

const margin = 25 // ms before the client timeout by which a search is ended

type search struct {
	id, kind int
	until    float64
	parts    []*part
	out      int
	over     bool
	forgot   bool
}

type part struct {
	id, shard int
	q         *search
	tries     []*try
	in, kept  bool
	fresh     bool // wants a sub-request
}

type try struct {
	server     int
	out, never bool
}

type server struct {
	cell, hall int
	ready      bool
	badUntil   float64 // failover: it did not answer
}

// downFor is how long failover leaves a server alone that has failed, and patience how long it waits for one.
const (
	downFor  = 2000
	patience = 400
)

// Port is a policy.
type Port struct {
	out          policy.Out
	rng          *rand.Rand
	inTurn       bool
	failover     bool // own hall first, then the next in order; in turn within a hall
	hall         int
	now          float64
	effects      []policy.Effect
	places, span int
	tries        int
	cancel       bool
	turn         int
	servers      []*server
	searches     map[int]*search
	parts        map[int]*part
	live         []*search
}

var _ policy.Port = (*Port)(nil)

// New makes the policy of a name; the seed draws its chance.
func New(name string, out policy.Out, seed uint64) *Port {
	return &Port{out: out, rng: rand.New(rand.NewPCG(seed, 1)), inTurn: name != "random", failover: name == "failover", searches: map[int]*search{},
		parts: map[int]*part{}, places: 1, span: 1, tries: 1}
}

// QueryType implements policy.Port; it keeps the effect of a second run.
func (b *Port) QueryType(_, _, _ float64, effect policy.Effect, _ float64) {
	b.effects = append(b.effects, effect)
}

// Shares implements policy.Port; the policies have no use for it.
func (b *Port) Shares(int, float64, float64, float64, int) {}

// Customer implements policy.Port; the policies have no use for it.
func (b *Port) Customer(float64, float64) {}

// Fleet implements policy.Port; it keeps how shards are placed.
func (b *Port) Fleet(places, span, _ int, _ float64, _ bool) { b.places, b.span = places, span }

// Limits implements policy.Port; it keeps how many sub-requests a part may have, and whether the rest are
// called off.
func (b *Port) Limits(tries, _ int, cancel, _ bool) { b.tries, b.cancel = tries, cancel }

// MaxRetryAfter implements policy.Port; the policies have no use for it.
func (b *Port) MaxRetryAfter(float64) {}

// WarmUp implements policy.Port; the policies have no use for it.
func (b *Port) WarmUp(float64, float64, float64, float64) {}

// Budget implements policy.Port; the policies have no use for it.
func (b *Port) Budget(float64, float64, float64) {}

// Reports implements policy.Port; the policies have no use for it.
func (b *Port) Reports(bool, []policy.Field) {}

// Probes implements policy.Port; the policies have no use for it.
func (b *Port) Probes() {}

// Discovery implements policy.Port; the policies have no use for it.
func (b *Port) Discovery(bool) {}

// Probed implements policy.Port; the policies have no use for it.
func (b *Port) Probed(int, bool, float64, []float64) {}

// Refusals implements policy.Port; the policies have no use for it.
func (b *Port) Refusals(int) []int { return nil }

// ZoneChanged implements policy.Port; the policies have no use for it.
func (b *Port) ZoneChanged(int, bool, float64) {}

// CapacityFloor implements policy.Port; the policies have no use for it.
func (b *Port) CapacityFloor(float64, float64) {}

// SearchValue implements policy.Port; the policies have no use for it.
func (b *Port) SearchValue(int) float64 { return 0 }

// Priority implements policy.Port; the policies have no use for it.
func (b *Port) Priority(int, float64) {}

// CustomerWeight implements policy.Port; the policies have no use for it.
func (b *Port) CustomerWeight(int, float64) {}

// RetryWeight implements policy.Port; the policies have no use for it.
func (b *Port) RetryWeight(float64) {}

// MarkRetry implements policy.Port; the policies have no use for it.
func (b *Port) MarkRetry(int) {}

// DiscoveryFailed implements policy.Port; the policies have no use for it.
func (b *Port) DiscoveryFailed() {}

// RetryAfter implements policy.Port; the policies have no use for it.
func (b *Port) RetryAfter(int) float64 { return 0 }

// Woken implements policy.Port; the policies have no use for it.
func (b *Port) Woken() {}

// ShortenDeadline implements policy.Port; it moves the end of a search forward.
func (b *Port) ShortenDeadline(id int, until float64) { b.hasten(id, until) }

// ClientSending implements policy.Port; the policies have no use for it.
func (b *Port) ClientSending(int, bool) {}

// Pushback implements policy.Port; the policies have no use for it.
func (b *Port) Pushback(int, float64) {}

// Begin implements policy.Port; it keeps the time of the round.
func (b *Port) Begin(now float64) { b.now = now }

// Search implements policy.Port; it takes a search, whose parts follow.
func (b *Port) Search(id, kind, _ int, until float64, _ int) {
	q := &search{id: id, kind: kind, until: until}
	b.searches[id] = q
	b.live = append(b.live, q)
}

// ShardRequest implements policy.Port; it takes a part, which wants its first sub-request.
func (b *Port) ShardRequest(id, p, shard int, _, _ float64, _ uint64) {
	q := b.searches[id]
	k := &part{id: p, shard: shard, q: q, fresh: true}
	b.parts[p] = k
	q.parts = append(q.parts, k)
}

func (b *Port) hasten(id int, until float64) {
	if q := b.searches[id]; q != nil {
		q.until = min(q.until, until)
	}
}

// Home tells a failover policy its own hall.
func (b *Port) Home(hall int) { b.hall = hall }

// Server implements policy.Port; it takes what the list says of a server.
func (b *Port) Server(id, hall, cell int, state policy.State, _, _ float64) {
	for id >= len(b.servers) {
		b.servers = append(b.servers, &server{})
	}
	s := b.servers[id]
	s.cell, s.hall, s.ready = cell, hall, state == policy.Ready
}

// RemoveServer implements policy.Port; nothing here still needs a server that is gone.
func (b *Port) RemoveServer(_ int) bool { return true }

// Committed implements policy.Port; the first sub-request of a part keeps it.
func (b *Port) Committed(id, _ int, _ bool) bool {
	p := b.parts[id]
	if p == nil || p.kept || p.in {
		return false
	}
	p.kept = true
	return true
}

// Done implements policy.Port; a part that failed harmlessly is sent again, as far as the limit allows.
func (b *Port) Done(id, no int, how policy.Outcome, _ []float64) {
	p := b.parts[id]
	if p == nil || no >= len(p.tries) || !p.tries[no].out {
		return
	}
	y := p.tries[no]
	y.out, y.never = false, how.NeverRan()
	p.q.out--
	switch how {
	case policy.ConnectFailed, policy.TimedOut, policy.Reset:
		b.servers[y.server].badUntil = b.now + downFor
	case policy.Answered:
		b.servers[y.server].badUntil = 0
	}
	if how == policy.Answered {
		p.in = true
	} else if !p.q.over && !p.kept && len(p.tries) < b.tries && (how.NeverRan() || b.effects[p.q.kind] == policy.Idempotent) {
		p.fresh = true
	}
	b.forget(p.q)
}

// ClientGone implements policy.Port; the search ends, as its time is over.
func (b *Port) ClientGone(id int) {
	if q := b.searches[id]; q != nil && !q.over {
		b.end(q)
	}
}

func (b *Port) end(q *search) {
	q.over = true
	for _, p := range q.parts {
		for no, y := range p.tries {
			if y.out && b.cancel {
				b.out.Cancel(p.id, no)
			}
		}
	}
	b.forget(q)
}

func (b *Port) forget(q *search) {
	if !q.over || q.out > 0 || q.forgot {
		return
	}
	q.forgot = true
	delete(b.searches, q.id)
	for _, p := range q.parts {
		delete(b.parts, p.id)
	}
	b.out.Forget(q.id)
}

// End implements policy.Port; it sends what is fresh, answers what is in and ends what has come to its time.
func (b *Port) End() {
	kept := b.live[:0]
	next := math.Inf(1)
	for _, q := range b.live {
		if q.over {
			continue
		}
		b.step(q)
		if !q.over {
			kept = append(kept, q)
			next = min(next, q.until-margin-b.now)
		}
	}
	clear(b.live[len(kept):])
	b.live = kept
	if !math.IsInf(next, 1) {
		b.out.Wake(max(next, 1))
	}
}

func (b *Port) step(q *search) {
	whole, dead := true, false
	for _, p := range q.parts {
		if p.fresh && !p.in && b.now < q.until-margin {
			p.fresh = false
			if to := b.pick(p); to >= 0 {
				p.tries = append(p.tries, &try{server: to, out: true})
				q.out++
				within := 0.0
				if b.failover {
					within = min(patience, q.until-margin-b.now)
				}
				b.out.Send(p.id, to, within, 0)
			}
		}
		out := false
		for _, y := range p.tries {
			out = out || y.out
		}
		whole = whole && p.in
		dead = dead || !p.in && !out
	}
	switch {
	case whole:
		b.out.Answer(q.id, true)
		b.end(q)
	case dead || b.now >= q.until-margin:
		harmless := true
		for _, p := range q.parts {
			for _, y := range p.tries {
				harmless = harmless && !p.kept && (y.never || b.effects[q.kind] == policy.Idempotent)
			}
		}
		if harmless {
			b.out.Shed(q.id, 0)
		} else {
			b.out.Fail(q.id)
		}
		b.end(q)
	}
}

// nearest leaves those of the first hall, in order from the own one, that has any which did not fail lately.
func (b *Port) nearest(list []int) []int {
	best, rank := list, math.MaxInt
	for _, i := range list {
		s := b.servers[i]
		at := s.hall - b.hall
		if at < 0 {
			at += 1 << 16
		}
		if b.now < s.badUntil {
			at += 1 << 20
		}
		switch {
		case at < rank:
			best, rank = []int{i}, at
		case at == rank:
			best = append(best, i)
		}
	}
	return best
}

func (b *Port) pick(p *part) int {
	var list, fresh []int
	for i, s := range b.servers {
		if !s.ready || ((s.cell-p.shard)%b.places+b.places)%b.places >= b.span {
			continue
		}
		tried := false
		for _, y := range p.tries {
			tried = tried || y.server == i
		}
		if list = append(list, i); !tried {
			fresh = append(fresh, i)
		}
	}
	if len(fresh) > 0 {
		list = fresh
	}
	if b.failover {
		list = b.nearest(list)
	}
	if len(list) == 0 {
		return -1
	}
	if b.turn++; b.inTurn {
		return list[b.turn%len(list)]
	}
	return list[b.rng.IntN(len(list))]
}
