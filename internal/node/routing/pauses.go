package routing

import (
	"math"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// While a broker reads a long prompt, the streams that run there pause: a step that carries a piece of a prompt takes many times as
// long as one that doesn't, and an event holds several steps. How long they pause by the size of the prompt is learnt from all
// streams. Prompts that make streams late then go together where few streams run, and streams start elsewhere.
const (
	longLeast      = 2000 // tokens: shorter prompts are one class
	longFactor     = 1.35 // between the classes of longer ones
	longClasses    = 9
	pauseFade      = 0.98 // weight left of a stream in its class after the next one
	pauseTrusted   = 4.0  // weight of streams from which on a class counts
	riskFrom       = 0.85 // of the allowed pause: what usually pauses less than that makes no stream late
	riskTo         = 1.15 // of the allowed pause: what usually pauses longer makes all of them late
	longReadsKept  = 16
	harmShare      = 0.33                   // of the target latency that a stream counts which a prompt makes late
	longReadLead   = 500 * time.Millisecond // a prompt that was sent so long before a stream began may still be read in it
	riskMemory     = 5000.                  // ms over which what was sent to a broker counts for what it will be sent
	lastedWeight   = 0.05
	allowedKept    = 10 * time.Second
	streamStretch  = 1.5 // times what the steps of a stream take by themselves
	streamLeastRun = 100 // ms
)

// pauseModel is how long streams pause, at the usual pace, by the longest prompt that their broker was sent meanwhile.
type pauseModel struct {
	classes [longClasses]fadingMean
	lasted  float64 // ms that a stream usually takes
	// What the most exacting route with streams allows, ms; 0: there was none lately.
	allowed, target float64
	allowedAt       core.Time
}

// fadingMean is a mean in which older values fade.
type fadingMean struct{ weight, sum float64 }

func (m *fadingMean) add(value float64) {
	m.weight = pauseFade*m.weight + 1
	m.sum = pauseFade*m.sum + value
}

// longClass is the class of a prompt by the tokens that have to be read of it.
func longClass(unread int) int {
	if unread < longLeast {
		return 0
	}
	return min(1+int(math.Log(float64(unread)/longLeast)/math.Log(longFactor)), longClasses-1)
}

// usual is how long a stream usually pauses while a prompt is read, ms; 0: not known. Longer prompts count as much as shorter ones at
// least.
func (m *pauseModel) usual(unread int) float64 {
	longest := 0.0
	for class := range longClass(unread) + 1 {
		if mean := &m.classes[class]; mean.weight >= pauseTrusted {
			longest = max(longest, mean.sum/mean.weight)
		}
	}
	return longest
}

// came notes what a route allows.
func (m *pauseModel) came(now core.Time, route *config.Route) {
	allowed := route.GapAimMs
	if route.Kind != config.KindStreaming || allowed <= 0 {
		return
	}
	if m.allowed == 0 || allowed <= m.allowed || now > m.allowedAt+allowedKept {
		m.allowed, m.target, m.allowedAt = allowed, route.TargetLatencyMs, now
	}
}

// longReads are the latest long prompts that a broker was sent.
type longReads struct {
	reads [longReadsKept]longRead
	next  int
}

type longRead struct {
	at     core.Time
	unread int
}

func (l *longReads) note(now core.Time, unread int) {
	if unread < longLeast {
		return
	}
	l.reads[l.next] = longRead{now, unread}
	l.next = (l.next + 1) % longReadsKept
}

// largest is the size of the largest prompt that was sent within a time.
func (l *longReads) largest(from, to core.Time) int {
	largest := 0
	for i := range l.reads {
		if read := &l.reads[i]; read.at >= from && read.at <= to {
			largest = max(largest, read.unread)
		}
	}
	return largest
}

// fadedSum is a sum in which older terms fade.
type fadedSum struct {
	sum float64
	at  core.Time
}

func (s *fadedSum) add(now core.Time, value float64) {
	s.sum = s.value(now) + value
	s.at = now
}

func (s *fadedSum) value(now core.Time) float64 {
	return s.sum * math.Exp(-milliseconds(now-s.at)/riskMemory)
}

// learnStream takes a stream that has ended, and returns what the other proxies are to be told; nil: nothing. Which streams are told
// of is chance, so that what others hear isn't only what is unusual.
func (r *Router) learnStream(now core.Time, req *request, a *attempt, pauses Pauses) *StreamSeen {
	if req.model == "" || pauses.Count < pausesFew || pauses.Usual <= 0 || a.sentAt < r.awakeAt {
		return nil
	}
	seen := &StreamSeen{Instance: a.broker.instance.ID, Usual: pauses.Usual, Longest: pauses.Longest, Lasted: now - a.sentAt}
	req.pool.learnStream(now, a.broker, seen)
	if r.options.Random.Float64() >= streamsTold {
		return nil
	}
	return seen
}

// PeerStream tells of a stream of another proxy.
func (r *Router) PeerStream(now core.Time, seen StreamSeen) {
	if b := r.brokers[seen.Instance]; b != nil && seen.Usual > 0 {
		r.pool(b.instance.Service).learnStream(now, b, &seen)
	}
}

func (p *pool) learnStream(now core.Time, b *broker, seen *StreamSeen) {
	b.noteStep(milliseconds(seen.Usual))
	m := &p.pauses
	m.classes[longClass(b.longReads.largest(now-seen.Lasted-longReadLead, now))].add(milliseconds(seen.Longest) / p.slowness(b))
	if m.lasted == 0 {
		m.lasted = milliseconds(seen.Lasted)
	}
	m.lasted += lastedWeight * (milliseconds(seen.Lasted) - m.lasted)
}

// pauseRisk is how surely streams pause for longer than is allowed while a broker reads a prompt, from 0 to 1.
func (p *pool) pauseRisk(b *broker, unread int, allowed float64) float64 {
	if allowed <= 0 {
		return 0
	}
	ratio := p.pauses.usual(unread) * p.slowness(b) / allowed
	return min(max((ratio-riskFrom)/(riskTo-riskFrom), 0), 1)
}

// noteLongRead notes what a prompt that was sent to a broker means for the streams there.
func (p *pool) noteLongRead(now core.Time, b *broker, unread int) {
	b.longReads.note(now, unread)
	if risk := p.pauseRisk(b, unread, p.pauses.allowed); risk > 0 {
		b.risks.add(now, risk)
	}
}

// metShare is the chance that a stream of such a length meets a prompt that makes it late, by what the broker was sent lately.
func (b *broker) metShare(now core.Time, lasts float64) float64 {
	return 1 - math.Exp(-b.risks.value(now)*lasts/riskMemory)
}

// pauseCost is what counts against a broker for pauses that are too long, ms: those that its other prompts make in the request's own
// stream, and those that the request's prompt makes in the streams there which don't meet another such prompt anyway.
func (r *Router) pauseCost(now core.Time, req *request, c *candidate) float64 {
	if !r.uses(PauseRisk) {
		return 0
	}
	p, b := req.pool, c.broker
	cost := 0.0
	if allowed := req.Route.GapAimMs; allowed > 0 {
		cost += req.Route.TargetLatencyMs * b.metShare(now, r.streamTime(req, b))
	}
	if risk := p.pauseRisk(b, c.unread, p.pauses.allowed); risk > 0 {
		cost += harmShare * p.pauses.target * risk * c.load * (1 - b.metShare(now, p.pauses.lasted))
	}
	return cost
}

// streamTime is about how long the stream of a request lasts at a broker, ms.
func (r *Router) streamTime(req *request, b *broker) float64 {
	step := b.step
	if step == 0 {
		step = req.pool.step
	}
	events := float64(req.TokensOut) / float64(max(r.placing.engine.Stride, 1))
	return max(streamStretch*events*step, streamLeastRun)
}
