package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	reportFade  = 3000.0          // ms over which an expired report fades to the average
	markTrusted = 5 * time.Second // longer than a broker usually takes to load
	scarceShare = 0.6             // of the brokers that don't leave
	refreshKept = 250 * time.Millisecond
)

// pool is one service's brokers and what is usual among them.
type pool struct {
	service  string
	brokers  []*broker // in the order of the registry's table
	budget   retrybudget.Budget
	overload overload

	pace      readingPace
	paced     bool    // brokers have a pace of their own
	step      float64 // ms between two events that a broker usually takes; 0: not known
	scratch   []float64
	weights   predict.Weights
	submits   predict.Submits
	latencies *window.Hist // all answers of the service, scaled to the usual work
	median    float64      // ms
	top       float64      // the fleet's line, ms
	seen      int
	calm      float64 // lowest median seen
	scarce    bool    // too few brokers bear no mark of loading
	updatedAt core.Time
	// answeredAt is when any broker last answered.
	answeredAt core.Time
}

func newPool(service string, budget retrybudget.Budget) *pool {
	return &pool{
		service:   service,
		budget:    budget,
		overload:  newOverload(),
		weights:   predict.Start,
		submits:   predict.NewSubmits(),
		latencies: newLatencies(),
		updatedAt: -refreshKept,
	}
}

// refresh brings the pool's usual figures up to date, at most some times a second.
func (p *pool) refresh(now core.Time) {
	if now < p.updatedAt+refreshKept {
		return
	}
	p.updatedAt = now
	at := units.Milliseconds(now)
	p.median, p.seen = p.latencies.Quantile(at, 0.5)
	p.scarce = p.marksAreMany()
	p.step = p.usualStep()
	p.top, _ = p.latencies.Quantile(at, predict.LineShare)
	if p.seen >= predict.Few && (p.calm == 0 || p.median < p.calm) {
		p.calm = p.median
	}
}

// marksAreMany reports whether fewer brokers than the rest can do without are free of the mark that they load new weights.
func (p *pool) marksAreMany() bool {
	ready, free := 0, 0
	for _, b := range p.brokers {
		if b.instance.State != registry.Ready {
			continue
		}
		ready++
		if !b.instance.Loading {
			free++
		}
	}
	return float64(free) < scarceShare*float64(ready)
}

// usable reports whether new requests may be sent to a broker. A mark that it loads new weights may be left of a holder of that
// duty that was lost: where brokers are scarce it is believed for a while only, as a broker that does load turns requests away
// by itself.
func (r *Router) usable(now core.Time, p *pool, b *broker) bool {
	if b.instance.State != registry.Ready {
		return false
	}
	return !r.switches.On(mechanism.LoadingMarks) || !b.instance.Loading || p.scarce && now >= b.markedAt+markTrusted
}

func (p *pool) crowded() bool { return predict.Crowded(p.median, p.calm) }

// lineOf is the latency from which an answer of the broker counts as slow, ms.
func (p *pool) lineOf(now core.Time, b *broker) float64 {
	if now < b.lineAt+lineKept {
		return b.line
	}
	own := b.lately
	if own == nil {
		own = noLatencies
	}
	b.line = predict.Line(units.Milliseconds(now), own, p.top, p.seen)
	b.lineAt = now
	return b.line
}

// noLatencies stands for a broker that has not answered yet.
var noLatencies = window.NewHist(1, 1, 1, 2, 1)

// features are what the score looks at for a request that would be sent to the broker now.
func (r *Router) features(now core.Time, p *pool, b *broker, load, average float64) predict.Vector {
	line := p.lineOf(now, b)
	features := predict.NewFeatures(line, average, load)
	// A hang must not read as fast: an attempt out for longer than the line stands for the latest latency.
	if age, loadThen := b.oldest(now); age > line {
		features.Add(age, loadThen)
	}
	for _, past := range b.history {
		if past.latency > 0 && (!r.switches.On(mechanism.HistoryExpiry) || units.Milliseconds(now-past.at) < predict.HistoryLife) {
			features.Add(past.latency, past.load)
		}
	}
	return features.X
}

// slow is the prediction. An empty history counts as fast.
func (p *pool) slow(x *predict.Vector) bool {
	return x[2] > 0 && p.weights.Score(x) > 0.5
}

// teach tells the predictor whether an attempt lay over the line, once.
func (p *pool) teach(now core.Time, a *attempt, slow bool) {
	if a.taught {
		return
	}
	a.taught = true
	p.weights.Teach(&a.features, slow, a.predictedFast)
	if a.predictedFast {
		p.submits.Note(units.Milliseconds(now), slow)
	}
}
