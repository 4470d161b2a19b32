package routing

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

// Windows of latencies: spans are told to a tenth, values to a seventh, which keeps a broker's memory small.
const (
	latencyBuckets = 10
	latencyLow     = 1.0 // ms
	latencyStep    = 1.15
	latencyBins    = 70 // up to 17 s
	lineKept       = 250 * time.Millisecond
	tookWeight     = 0.5     // of the newest answer in what a broker takes
	tookFade       = 10000.0 // ms after which what it took says nothing any more
)

func newLatencies() *window.Hist {
	return window.NewHist(latencyBuckets, predict.LineSpan/latencyBuckets, latencyLow, latencyStep, latencyBins)
}

// broker is what this proxy knows of one instance by its own sight.
type broker struct {
	instance  *registry.Instance
	hash      uint64     // of the instance's id, for the order of a prompt's parts
	out       int        // own attempts there
	waiting   []*attempt // those that no answer has begun for, the oldest first
	report    loadReport
	backlog   backlog
	step      float64 // ms between two events while it reads no other prompt
	steps     int     // streams that step was learnt from
	longReads longReads
	history   [predict.HistorySize]sample
	lately    *window.Hist // own latencies, scaled; nil before the first answer
	line      float64
	lineAt    core.Time
	took      float64 // ms, scaled: smoothed latency
	tookAt    core.Time
	health    health
	moves     moves
	// fullAt is when it last turned a request away for want of room, and fullUntil how long that is believed.
	fullAt    core.Time
	fullUntil core.Time
	refusals  int // for want of room, since it last took a request
	// orderedUntil: it turned a request away because new weights are being brought to it.
	orderedUntil core.Time
	// markedAt is when the mark that it loads new weights was first seen.
	markedAt core.Time
	// youngUntil: it has come lately, and another broker may still keep the parts of its prompts.
	youngUntil core.Time
}

// sample is a latency, when it ended, and when its request was sent, with the load then. Latencies are scaled to the usual
// work; 0 stands for none.
type sample struct {
	latency float64
	at      core.Time
	sentAt  core.Time
	load    float64
}

// loadReport is what a broker told last, with this proxy's own requests there at that time.
type loadReport struct {
	load  Load
	at    core.Time
	heard bool
	out   int
}

func newBroker(now core.Time, instance *registry.Instance) *broker {
	return &broker{instance: instance, hash: prompt.HashText(instance.ID), lineAt: -lineKept, markedAt: now}
}

// replaced takes a newer entry of the instance: other weights end the doubt that a 421 or a rejection left.
func (b *broker) replaced(now core.Time, instance *registry.Instance) {
	for model, version := range instance.Versions {
		if b.instance.Versions[model] != version {
			b.health.misdirectedUntil = 0
			b.orderedUntil = 0
		}
	}
	if instance.Loading && !b.instance.Loading {
		b.markedAt = now
	}
	b.instance = instance
}

// told takes a report in.
func (b *broker) told(now core.Time, load *Load) {
	if load == nil {
		return
	}
	b.report = loadReport{load: *load, at: now, heard: true, out: b.out}
}

// load is the last reported count with what this proxy changed since, and how far it can be trusted: 1 while it is fresh,
// fading to 0.
func (b *broker) load(now core.Time) (load, trust float64) {
	if !b.report.heard {
		return 0, 0
	}
	reported := float64(b.report.load.Running + b.report.load.Waiting + b.out - b.report.out)
	age := units.Milliseconds(now - b.report.at)
	trust = min(max(1-(age-predict.HistoryLife)/reportFade, 0), 1)
	return max(reported, 0), trust
}

// learnLatency keeps an answer's scaled latency.
func (b *broker) learnLatency(now core.Time, a *attempt) {
	copy(b.history[1:], b.history[:])
	b.history[0] = sample{latency: a.latency, at: now, sentAt: a.sentAt, load: a.load}
	if b.lately == nil {
		b.lately = newLatencies()
	}
	b.lately.Add(units.Milliseconds(now), a.latency)
	b.lineAt = -lineKept
	b.tookLatency(now, a.latency)
}

// unlearn takes back the latency of an attempt that turned out a failure: quick errors must not read as fast.
func (b *broker) unlearn(a *attempt) {
	if a.learnt && b.history[0].sentAt == a.sentAt {
		b.history[0].latency = 0
	}
}

// tookLatency smooths what the broker takes; of attempts that were called off too, as they would have taken longer still.
func (b *broker) tookLatency(now core.Time, latency float64) {
	if b.tookAt == 0 || units.Milliseconds(now-b.tookAt) > tookFade {
		b.took = latency
	}
	b.took += tookWeight * (latency - b.took)
	b.tookAt = now
}

// expected is what an answer of the usual work would take here, given what is usual in the pool: of a broker not heard of
// for long, that.
func (b *broker) expected(now core.Time, median float64) float64 {
	expected := median
	if b.tookAt != 0 {
		weight := max(1-units.Milliseconds(now-b.tookAt)/tookFade, 0)
		expected = weight*b.took + (1-weight)*median
	}
	if age, _ := b.oldest(now); age > expected {
		return age
	}
	return expected
}

// oldest is the scaled age of the attempt that has waited longest for its answer to begin, 0 where none waits.
func (b *broker) oldest(now core.Time) (age, load float64) {
	if len(b.waiting) == 0 {
		return 0, 0
	}
	first := b.waiting[0]
	return first.age(now), first.load
}

// oldestWaiting is the attempt that has waited longest for its answer to begin, nil where none waits.
func (b *broker) oldestWaiting() *attempt {
	if len(b.waiting) == 0 {
		return nil
	}
	return b.waiting[0]
}

func (b *broker) sent(a *attempt) {
	b.out++
	b.waiting = append(b.waiting, a)
}

// begun takes an attempt off those that wait, as its answer has begun or won't.
func (b *broker) begun(a *attempt) {
	if i := slices.Index(b.waiting, a); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

func (b *broker) ended(a *attempt) {
	b.begun(a)
	b.out--
}
