package decide

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

// What a broker remembers, and how settings and arrivals are put down. Nothing is decided here.

type verdict uint8

const (
	pass verdict = iota
	keep
	end
)

// Step tells why a search was refused or given up, in the order in which steps apply.
type Step uint8

// The steps, in the order in which they apply.
const (
	NoHolder  Step = iota // too few of its shards have a listed server
	TooLate               // its client's time is over, or it is no sound search
	OutOfRoom             // some shard's servers are out of reach, or cold with no room
	Expected              // some part is expected past what its value may take of the latency target
	Crowd                 // the slowest of so many parts took too long lately
	Borne                 // servers were seen to bear no more
	HoldLimit             // so much is held that only the most valued are taken
	GivenUp               // it was taken, and could not come to its least share in time
	Steps
)

var stepNames = [Steps]string{"no_holder", "too_late", "out_of_room", "expected", "crowd", "borne", "hold_limit", "given_up"}

// String gives the step's name, as counters have it.
func (s Step) String() string { return stepNames[s] }

// step tells which kept a search out on its arrival.
func (b *Broker) step(q *search, enough, slow, full bool) Step {
	if enough {
		if full {
			return Borne
		}
		if slow {
			return Crowd
		}
		return HoldLimit
	}
	for _, p := range q.parts {
		if math.IsInf(p.expect, 1) {
			return OutOfRoom
		}
	}
	return Expected
}

// unsound tells why a search is not even looked at.
func (b *Broker) unsound(q *search) Step {
	if q.k != nil && q.want > 0 && b.now < q.until-margin {
		return NoHolder
	}
	return TooLate
}

func (q *search) refused(why Step) {
	if q.k != nil {
		q.k.refused[why]++
	}
}

// Bears implements Port; it holds from the next search on.
func (b *Broker) Bears(worth, beyond float64) { b.borne.worth, b.borne.beyond = worth, beyond }

// Counts implements Port; 0 for a search that is not known.
func (b *Broker) Counts(id int) float64 {
	if q := at(b.searches, id); q != nil && q.k != nil {
		return b.value(q)
	}
	return 0
}

// Refused implements Port; nil for a type that is not known.
func (b *Broker) Refused(kind int) []int {
	if k := at(b.types, kind); k != nil {
		return k.refused[:]
	}
	return nil
}

// turn is what walks down the chain: a search, then each of its parts.
type turn struct {
	q     *search
	p     *part
	copy  bool
	spare bool // it has a sub-request out: another is worth it only at a server that looks fast
	cands []int
	to    int
}

type stage struct {
	down func(*turn) verdict
	up   func(*try, Outcome)
}

type queryType struct {
	aim, value, late, partial, tokenFor float64
	need, floor, work, hints, given     float64
	effect                              Effect
	followUp                            int
	lat                                 *window.Hist
	refused                             [Steps]int
}

type customer struct {
	quota, beyond float64
	share         float64 // of a type's worth, with which its searches count
	came          *window.Counts
}

type search struct {
	id, customer, want, step, copies, out int
	born, until, aim                      float64
	worth                                 float64 // share of its type's with which it counts
	lot                                   float64 // its chance at cold servers, drawn once: asking again must not help
	k                                     *queryType
	parts                                 []*part
	admitted, over, firstWhole            bool
}

type part struct {
	fulls            int
	id, shard, step  int
	weight, work     float64
	key              uint64
	q                *search
	tries            []*try
	expect           float64 // at admission
	kept             *try    // the one that is committed
	open             bool    // its client is still sending
	notBefore, ended float64 // a server's wish; when the latest of its sub-requests came back
	in, copied, skip bool
}

type vector = predict.Vector

type try struct {
	p                               *part
	no, server, calls               int
	at, load, extra                 float64
	sent                            float64 // at, or before it where the client was still sending then: effects count from here
	x                               vector
	fast, out, noted, called, never bool
	begun                           bool // committed, and learnt from as an answer
	quiet                           bool // its client is still sending: its age tells nothing
	idle, fresh                     bool // sent when nothing had been heard for long; over a new connection
	call                            *call
}

// call is what one round sends to one server: its parts count as one. parked are those of its parts that wait for their
// client, or answer already: they stand in nobody's way at the server.
type call struct{ size, left, parked int }

type sample struct{ lat, at, load float64 }

type server struct {
	listed, watched                   bool
	state                             State
	hall, cell                        int
	size, started                     float64
	calls, parked                     int // own calls out, and of them those with nothing but parked parts
	tries                             []*try
	open                              *call
	openRound                         int
	hist                              [histSize]sample
	line                              *window.Hist
	load, loadAt                      float64
	loadOwn                           int
	took, tookCalls                   float64
	errs, oks, sent                   *window.Counts
	answered, resetAt, tookAt, sureAt float64
	fullUntil                         float64
	aside, dead, broke, probing, sure bool
	since, trialAt, backoff           float64
	trial                             *try
	streak                            int
	coldFrom, coldTo                  float64
}

// Broker is one instance. Each of its parts holds its own settings.
type Broker struct {
	out                           Out
	now, lastWake, lastLog, awake float64
	brokers, hall, round          int
	dice                          dice
	fleet                         fleet
	limits                        limits
	longestAdvice                 float64
	cold                          coldGuard
	budget                        budget
	reports                       reports
	lister                        lister
	predict                       predictor
	links                         links
	sends                         *window.Counts
	types                         []*queryType
	customers                     []*customer
	searches                      []*search
	parts                         []*part
	live                          []*search
	servers                       []*server
	holders                       [][]int // by shard modulo places: who may be sent its parts; nil: to be found anew
	tending                       []int   // servers with something out or due
	ready, readyMost              int     // servers that the list has as ready, and had at most
	calls, parked                 int     // out at all servers
	stages                        []stage
	shortAim, topValue            float64
	retries                       float64                         // share of its worth with which a marked retry counts
	lost                          []bool                          // by hall
	outage                        float64                         // since when some hall has been lost; 0: none is
	borne                         struct{ worth, beyond float64 } // what servers do not bear: less than that, and a share of just that
	trialAfter                    float64                         // how long after it was set aside a server has its first trial
}

type coldGuard struct {
	share, lasts, multiple, over, carry, at, warm float64
	did                                           *window.Counts // work of warm servers, over their size
}

type budget struct {
	spare, ratio, over float64
	taken, further     *window.Counts
}

// predictor is the design's score, online: one set of weights for all servers.
type predictor struct {
	weights       predict.Weights
	submits       predict.Submits
	pool, late    *window.Hist // all servers' latencies, the second for a shorter time
	avgLoad, calm float64
	loads, heard  float64 // sum of the latest reports, and how many
	mid, top      float64 // median and line of the pool, as of this round's start
	seen          int
}

type links struct {
	lost, fine [2]*window.Counts // on connections in use, on idle ones
	was        bool              // found at fault when last looked at
}

func (g *predictor) score(x vector) float64 { return g.weights.Score(&x) }

func (g *predictor) falseRate(now float64) float64 { return g.submits.FalseRate(now) }

// reports tells where load reports come from.
type reports struct {
	onAnswers, mayProbe bool
	fields              []Field
}

type fleet struct {
	places, span, batch int
	callWork            float64
	warmKeys            bool
}

type limits struct {
	tries, most, held int
	cancel, copies    bool
}

type lister struct {
	ask, due bool
	at       float64
}

// QueryType implements Port; it adds the next type.
func (b *Broker) QueryType(aim, value, late float64, effect Effect, tokenFor float64) {
	b.types = append(b.types, &queryType{aim: aim, value: value, late: late, tokenFor: tokenFor, effect: windowed(effect, tokenFor),
		need: 1, floor: 1, lat: hist(lineSpan)})
	b.topValue = max(b.topValue, value)
	if aim > 0 {
		b.shortAim = min(b.shortAim, aim)
	}
}

// Shares implements Port; it sets which share of its parts a search of the type needs, and what less is worth.
func (b *Broker) Shares(kind int, need, floor, partial float64, followUp int) {
	k := b.types[kind]
	k.need, k.floor, k.partial, k.followUp = need, min(floor, need), partial, followUp
}

// Customer implements Port; it adds the next customer, by its quota a second.
func (b *Broker) Customer(quota, beyond float64) {
	b.customers = append(b.customers, &customer{quota, beyond, 1, counts(quotaSpan)})
}

// Fleet implements Port; it sets how shards are placed on servers and what a call costs.
func (b *Broker) Fleet(places, span, batch int, callWork float64, warmKeys bool) {
	b.fleet = fleet{max(places, 1), max(span, 1), max(batch, 1), callWork, warmKeys}
}

// Limits implements Port; it sets how many sub-requests a part may have and how much may be held.
func (b *Broker) Limits(tries, held int, cancel, copies bool) {
	b.limits = limits{tries: tries, most: held, cancel: cancel, copies: copies}
}

// Probes implements Port; servers may be probed from now on.
func (b *Broker) Probes() { b.reports.mayProbe = true }

// Advice implements Port; it sets the longest time, in ms, after which a client is asked to come back.
func (b *Broker) Advice(longest float64) { b.longestAdvice = longest }

// Cold implements Port; it sets what a server bears that has just started.
func (b *Broker) Cold(from, lasts, multiple, over float64) {
	b.cold = coldGuard{share: from, lasts: lasts, multiple: multiple, over: max(over, 1),
		did: counts(carrySpan)}
}

// Budget implements Port; it sets how many further sub-requests there may be for those asked for.
func (b *Broker) Budget(spare, ratio, over float64) {
	over = max(over, 1)
	b.budget = budget{spare, ratio, over, counts(over), counts(over)}
}

// Reports implements Port; it sets which load reports come, and their fields.
func (b *Broker) Reports(onAnswers bool, fields []Field) {
	b.reports.onAnswers, b.reports.fields = onAnswers, fields
}

// Order stands for the operator's own order of refusals: types count with places in it, not with their values.
func (b *Broker) Order(kind int, worth float64) {
	b.types[kind].value, b.topValue = worth, 0
	for _, k := range b.types {
		b.topValue = max(b.topValue, k.value)
	}
}

// Weigh implements Port; it sets a customer's share.
func (b *Broker) Weigh(customer int, share float64) { b.customers[customer].share = share }

// Retries implements Port; it sets the share with which a search counts whose client asks again.
func (b *Broker) Retries(share float64) { b.retries = share }

// Again implements Port; it has no effect on a search that was taken already.
func (b *Broker) Again(id int) {
	if q := at(b.searches, id); q != nil && !q.admitted {
		q.worth *= b.retries
	}
}

// noteHall keeps since when some hall has been lost.
func (b *Broker) noteHall(hall int, lost bool) {
	for len(b.lost) <= hall {
		b.lost = append(b.lost, false)
	}
	if b.lost[hall] = lost; !slices.Contains(b.lost, true) {
		b.outage = 0
	} else if b.outage == 0 {
		b.outage = b.now
	}
}

// Discovery implements Port; where ask is set, the list has to be subscribed to.
func (b *Broker) Discovery(ask bool) { b.lister = lister{ask: ask, due: ask} }

// Search implements Port; it takes a search, whose parts follow in the same round.
func (b *Broker) Search(id, kind, customer int, until float64, parts int) {
	q := &search{id: id, born: b.now, customer: customer, until: until, want: parts, k: at(b.types, kind), worth: 1, lot: b.dice.roll()}
	if q.k != nil {
		q.aim = b.now + q.k.aim
	}
	b.searches = put(b.searches, id, q)
	b.live = append(b.live, q)
	b.limits.held++
	b.budget.take(b.now)
	if c := at(b.customers, customer); c != nil {
		c.came.Add(b.now, 1)
		q.worth = c.share
	}
}

// Part implements Port; parts of a search that is over are passed over.
func (b *Broker) Part(search, id, shard int, weight, work float64, key uint64) {
	b.budget.take(b.now)
	q := at(b.searches, search)
	if q == nil || q.over {
		return
	}
	p := &part{id: id, shard: shard, step: q.step, weight: weight, work: work, key: key, q: q}
	b.parts = put(b.parts, id, p)
	q.parts = append(q.parts, p)
	b.limits.held++
	if q.k != nil && work > 0 {
		q.k.hints++
		q.k.work += (work - q.k.work) / q.k.hints
	}
}

// forget lets a search go once it is over and nothing of it is out.
func (b *Broker) forget(q *search) {
	if !q.over || q.out > 0 || b.searches[q.id] != q {
		return
	}
	b.searches[q.id] = nil
	for _, p := range q.parts {
		b.parts[p.id] = nil
	}
	b.out.Forget(q.id)
}

// holds lists who may be sent parts of a shard, found anew only after news of its cells.
func (b *Broker) holds(shard int) []int {
	f := &b.fleet
	at := (shard%f.places + f.places) % f.places
	if len(b.holders) != f.places {
		b.holders = make([][]int, f.places)
	}
	if b.holders[at] == nil {
		list := make([]int, 0, 4)
		for i, s := range b.servers {
			if s != nil && s.listed && s.state == Ready && ((s.cell-at)%f.places+f.places)%f.places < f.span {
				list = append(list, i)
			}
		}
		b.holders[at] = list
	}
	return b.holders[at]
}

// unindex drops the lists that a server of this cell stands in.
func (b *Broker) unindex(cell int) {
	f := &b.fleet
	for j := 0; j < min(f.span, f.places) && len(b.holders) == f.places; j++ {
		b.holders[((cell-j)%f.places+f.places)%f.places] = nil
	}
}

// Drop implements Port; false while a probe or call of the server is out, or what it was sent still counts.
func (b *Broker) Drop(id int) bool {
	s := at(b.servers, id)
	if s == nil {
		return true
	}
	if s.listed || s.probing || s.calls > 0 || s.sent.Sum(b.now, b.cold.over) > 0 {
		return false // what it was sent counts, should it come back cold
	}
	if !math.IsInf(s.loadAt, -1) { // a late answer may have told it
		b.predict.heard--
		b.predict.loads -= s.load
	}
	kept := b.tending[:0]
	for _, i := range b.tending {
		if i != id {
			kept = append(kept, i)
		}
	}
	b.tending, b.servers[id] = kept, nil
	b.unindex(s.cell)
	return true
}

// watch puts a server on the list of those that have something out or due.
func (b *Broker) watch(id int) {
	if s := b.servers[id]; !s.watched {
		s.watched = true
		b.tending = append(b.tending, id)
	}
}

func (r *reports) any() bool { return len(r.fields) > 0 && r.onAnswers }

// mayRun is the first sub-request that is out or may have run.
func (p *part) mayRun() *try {
	for _, y := range p.tries {
		if !y.never {
			return y
		}
	}
	return nil
}

// dice draws from an instance's seed and a counter alone.
type dice struct{ seed, draws uint64 }

func (d *dice) roll() float64 {
	d.draws++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, d.seed), d.draws))
	return float64(h.Sum64()>>11) / (1 << 53)
}

func put[T any](list []*T, i int, v *T) []*T {
	for len(list) <= i {
		list = append(list, nil)
	}
	list[i] = v
	return list
}

func at[T any](list []*T, i int) *T {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return nil
}

// returned frees what a sub-request held.
func (b *Broker) returned(y *try, how Outcome) {
	s := b.servers[y.server]
	y.out, y.p.ended = false, b.now
	y.p.q.out--
	b.count(s, y.call, -1, -y.parked())
	if y.call.left == 0 {
		s.calls--
		b.calls--
	}
	s.lose(y)
	y.never = how.NeverRan() && !y.begun
}

// Open starts the clock of what is out once the client has sent all: a server that waits for its client is not slow.
func (b *Broker) Open(id int, open bool) {
	p := at(b.parts, id)
	if p == nil || p.open == open {
		return
	}
	p.open = open
	for _, y := range p.tries {
		if y.quiet && y.out && !y.begun && !open {
			b.count(b.servers[y.server], y.call, 0, -1)
			y.quiet, y.at = false, b.now
			b.servers[y.server].tries = append(b.servers[y.server].tries, y)
		}
	}
}

func (y *try) parked() int {
	if y.quiet || y.begun {
		return 1
	}
	return 0
}

// count keeps what is out at a server, in all and parked.
func (b *Broker) count(s *server, c *call, left, parked int) {
	if c.left > 0 && c.left == c.parked {
		s.parked--
		b.parked--
	}
	c.left, c.parked = c.left+left, c.parked+parked
	if c.left > 0 && c.left == c.parked {
		s.parked++
		b.parked++
	}
}

func (s *server) lose(y *try) {
	for i, o := range s.tries {
		if o == y {
			s.tries = append(s.tries[:i], s.tries[i+1:]...)
			break
		}
	}
}

// note counts what was lost and what was answered on old connections, apart for idle ones: servers that hang
// or refuse lose both alike.
func (g *links) note(now float64, y *try, lost bool) {
	i, c := 0, &g.fine
	if y.idle && !y.fresh {
		i = 1
	}
	if lost {
		c = &g.lost
	}
	c[i].Add(now, 1)
}

func (g *budget) take(now float64) {
	if g.over > 0 {
		g.taken.Add(now, 1)
	}
}

func (g *budget) spend(now float64) {
	if g.over > 0 {
		g.further.Add(now, 1)
	}
}

// reach is the weight of the parts that some listed server holds.
func (b *Broker) reach(q *search) float64 {
	sum := 0.0
	for _, p := range q.parts {
		if p.in || len(b.holds(p.shard)) > 0 {
			sum += p.weight
		}
	}
	return sum
}

// ComeBack implements Port; the same advice that a search gets which is shed here.
func (b *Broker) ComeBack(kind int) float64 { return b.back(at(b.types, kind)) }

// Bell implements Port; the wake-up that was asked for has come, so the next one is no late one.
func (b *Broker) Bell() { b.lastWake = math.Inf(-1) }

func (b *Broker) log(form string, args ...any) {
	if b.now-b.lastLog >= logEvery {
		b.lastLog = b.now
		b.out.Log(fmt.Sprintf(form, args...))
	}
}

// Lapsed implements Port; the search ends, its client's time being over.
func (b *Broker) Lapsed(id int) {
	if q := at(b.searches, id); q != nil && !q.over {
		b.finish(q)
		b.forget(q)
	}
}

// Until implements Port; it only ever moves the end forward.
func (b *Broker) Until(id int, until float64) {
	if q := at(b.searches, id); q != nil && !q.over {
		q.until = min(q.until, until)
	}
}

func (b *Broker) finish(q *search) {
	q.over = true
	b.limits.held--
	for _, p := range q.parts {
		if !p.in {
			b.limits.held--
		}
	}
	b.stop(q)
}
