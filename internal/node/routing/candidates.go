package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	crowdSlow  = 2.0 // medians that a broker takes which is slow even where all are
	otherZone  = 0.6 // what another zone counts against a broker, in average loads
	tookTie    = 0.5 // what a broker's latency counts, in medians
	chanceTie  = 0.1
	coldFactor = 2.0 // what each request counts at a broker that is slow from its start

	newestFirstSpan  = 3 * time.Second // before older weights are over
	newestFirstShare = 2.0 / 3         // of the brokers
	startLeadShare   = 0.9             // quantile of latencies
	startLeadFactor  = 1.5
	startLeadLeast   = 800 * time.Millisecond
	startLeadMost    = 3 * time.Second
)

// candidate is a broker that a request may go to.
type candidate struct {
	broker   *broker
	version  uint64
	load     float64
	tie      float64 // between brokers with as many own requests
	features predict.Vector
	scored   bool
	slow     bool
	trial    bool
	kept     int     // tokens of the prompt that it has, by the index and what was sent lately
	coming   int     // tokens of the prompt that it has or is reading now
	stored   int     // tokens of the prompt that the store keeps, by the index
	unread   int     // tokens that it has to read for the request
	anew     int     // shared ones of them
	again    int     // of these, tokens that some broker was sent lately
	reading  float64 // ms to read and move the prompt
	cost     float64 // ms until the first token, as far as brokers differ in it
}

// field is what is found for one request: brokers that are sound, and those in doubt.
type field struct {
	sound    []candidate
	silent   []candidate // brokers that the registry misses heartbeats of: used where no sound one is left
	doubtful []candidate // set aside
	full     int         // turned requests away lately
	earliest core.Time   // when the first of the full may have room
	declined int         // other brokers of the service that take nothing now: loading, leaving, another version
	average  float64     // load
}

// gather finds the brokers that the request may go to. What it returns is valid until the next call.
func (r *Router) gather(now core.Time, req *request) *field {
	f := &r.field
	f.sound, f.silent, f.doubtful = f.sound[:0], f.silent[:0], f.doubtful[:0]
	f.full, f.declined, f.earliest = 0, 0, core.Never
	startsAt := r.startsAt(now, req)
	for _, b := range req.pool.brokers {
		c, ok := r.permitted(now, startsAt, req, b)
		if !ok {
			f.declined++
			continue
		}
		if req.tried(b) {
			continue
		}
		r.sort(now, req, f, c)
	}
	if len(f.sound) == 0 {
		f.sound, f.silent = f.silent, f.sound
	}
	f.sound = r.newestFirst(now, req, f.sound)
	r.weighLoads(now, f)
	return f
}

// permitted reports whether the rules let the request go to the broker at all.
func (r *Router) permitted(now, startsAt core.Time, req *request, b *broker) (candidate, bool) {
	c := candidate{broker: b}
	if !r.usable(now, req.pool, b) || now < b.health.misdirectedUntil {
		return c, false
	}
	if req.model != "" {
		c.version = r.versions.VersionOf(b.instance, req.model)
		return c, r.versions.MayStart(startsAt, req.model, c.version)
	}
	return c, true
}

// sort puts a broker among the sound, the doubtful or the full.
func (r *Router) sort(now core.Time, req *request, f *field, c candidate) {
	b := c.broker
	h := &b.health
	if r.switches.On(mechanism.OutlierEjection) && !h.aside() && r.hangs(now, req.pool, b) {
		r.setAside(now, b, hanging)
	}
	switch {
	case r.switches.On(mechanism.RefusalBackoff) && b.believedFull(now, req.Urgency):
		f.full++
		f.earliest = min(f.earliest, max(b.fullUntil, b.orderedUntil))
	case h.aside() && r.mayTry(now, req, b):
		c.trial = true
		f.sound = append(f.sound, c)
	case h.aside():
		f.doubtful = append(f.doubtful, c)
	case b.instance.Unresponsive && (h.answeredAt == 0 || now-h.answeredAt > answeredLately):
		f.silent = append(f.silent, c)
	default:
		f.sound = append(f.sound, c)
	}
}

// mayTry reports whether the request can be a trial of a broker that was set aside: a first send, of what may be repeated, or
// to a broker that takes no connection at all, as then it can't run unseen; any request after a longer wait, where no other
// came by. Whom the registry misses as well is not tried.
func (r *Router) mayTry(now core.Time, req *request, b *broker) bool {
	h := &b.health
	if !h.trialDue(now) || b.instance.Unresponsive || len(req.attempts) > 0 {
		return false
	}
	return req.idempotent || h.ailment == unreachable || now >= h.trialAt+h.backoff
}

// newestFirst leaves only brokers with the newest weights shortly before the time of older ones is over, if they are enough
// for all requests. Where they are few, the older ones are used to the last, as all would wait at the few.
func (r *Router) newestFirst(now core.Time, req *request, sound []candidate) []candidate {
	if req.model == "" || !r.switches.On(mechanism.NewestFirst) || !r.versions.AnyExpiresWithin(now, req.model, newestFirstSpan) {
		return sound
	}
	newest := r.versions.Newest(req.model)
	count := 0
	for i := range sound {
		if sound[i].version >= newest {
			count++
		}
	}
	if float64(count) < newestFirstShare*float64(len(sound)) {
		return sound
	}
	return slices.DeleteFunc(sound, func(c candidate) bool { return c.version < newest })
}

// startsAt is when a request that is sent now has its first token, by what answers lately took: what goes to a broker with older
// weights must start before their time is over. It is estimated only where that matters.
func (r *Router) startsAt(now core.Time, req *request) core.Time {
	if req.model == "" || !r.versions.AnyExpiresWithin(now, req.model, startLeadMost) {
		return now
	}
	usual, n := req.class.latencies.Quantile(units.Milliseconds(now), startLeadShare)
	if n < predict.Few {
		usual = req.Route.TargetLatencyMs
	}
	lead := units.FromMilliseconds(startLeadFactor * usual * req.work)
	return now + min(max(lead, startLeadLeast), startLeadMost)
}

// weighLoads fills in the candidates' loads: the last report corrected by own sends, faded to the average as it ages; own
// requests where no broker reports.
func (r *Router) weighLoads(now core.Time, f *field) {
	sum, trusts, own := 0.0, 0.0, 0
	for i := range f.sound {
		b := f.sound[i].broker
		load, trust := b.load(now)
		sum += trust * load
		trusts += trust
		own += b.out
	}
	reported := trusts > 0
	if f.average = sum / trusts; !reported {
		f.average = float64(own) / float64(max(len(f.sound), 1))
	}
	for i := range f.sound {
		c := &f.sound[i]
		load, trust := c.broker.load(now)
		if c.load = trust*load + (1-trust)*f.average; !reported {
			c.load = float64(c.broker.out)
		}
		if now < c.broker.instance.WarmingUpUntil {
			c.load = coldFactor*c.load + 1
		}
	}
}

// score fills in the prediction for a candidate.
func (r *Router) score(now core.Time, req *request, f *field, c *candidate) {
	if c.scored {
		return
	}
	p := req.pool
	c.scored = true
	c.features = r.features(now, p, c.broker, c.load, f.average)
	c.slow = r.switches.On(mechanism.Prediction) && p.slow(&c.features)
	// In a crowd all are slow, and who looks fast is who was left alone: only who is far slower than the rest is passed over.
	if c.slow && p.crowded() && c.broker.expected(now, p.median) < crowdSlow*p.median {
		c.slow = false
	}
}

// pick chooses among the sound candidates. There is at least one.
func (r *Router) pick(now core.Time, req *request, f *field) (chosen *candidate, byPrediction bool) {
	if trial := r.dueTrial(f); trial != nil {
		r.score(now, req, f, trial)
		r.counters.Trials++
		return trial, false
	}
	if req.model != "" {
		return r.pickByWork(now, req, f)
	}
	return r.pickByLoad(now, req, f)
}

func (r *Router) dueTrial(f *field) *candidate {
	for i := range f.sound {
		if f.sound[i].trial {
			return &f.sound[i]
		}
	}
	return nil
}

// pickByLoad is the design's choice: predicted-slow brokers are skipped, and of the rest the one with the fewest own requests
// takes it; ties go by load, what answers took, the own zone and chance. If all look slow, the first still takes it.
func (r *Router) pickByLoad(now core.Time, req *request, f *field) (*candidate, bool) {
	for i := range f.sound {
		f.sound[i].tie = r.tie(now, req.pool, f, &f.sound[i])
	}
	for {
		best := leastLoaded(f.sound, false)
		if best == nil {
			r.counters.AllSlow++
			return leastLoaded(f.sound, true), false
		}
		if r.score(now, req, f, best); best.slow {
			continue
		}
		if anySlow(f.sound) {
			r.counters.ByPrediction++
		} else {
			r.counters.ByLoad++
		}
		return best, len(f.sound) > 1
	}
}

func anySlow(found []candidate) bool {
	return slices.ContainsFunc(found, func(c candidate) bool { return c.slow })
}

// leastLoaded is the candidate with the fewest own requests, of those not known to look slow or of all; nil where there is
// none.
func leastLoaded(found []candidate, slowToo bool) *candidate {
	var best *candidate
	for i := range found {
		c := &found[i]
		if c.slow && !slowToo {
			continue
		}
		if best == nil || c.broker.out < best.broker.out || c.broker.out == best.broker.out && c.tie < best.tie {
			best = c
		}
	}
	return best
}

func (r *Router) tie(now core.Time, p *pool, f *field, c *candidate) float64 {
	tie := c.load / (f.average + 1)
	if p.median > 0 {
		tie += tookTie * c.broker.expected(now, p.median) / p.median
	}
	if c.broker.instance.Zone != r.options.Zone {
		tie += otherZone
	}
	return tie + chanceTie*r.options.Random.Float64()
}

// pickDoubtful takes the broker in doubt whose trial is due first: better than no answer where the request may be repeated.
func (r *Router) pickDoubtful(f *field) *candidate {
	var best *candidate
	for i := range f.doubtful {
		c := &f.doubtful[i]
		if best == nil || c.broker.health.trialAt < best.broker.health.trialAt {
			best = c
		}
	}
	return best
}
