package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
)

// backlog estimates how many prompt tokens a model broker has still to read before a new request's turn. Brokers read prompts
// one after the other, so it is a queue: what was sent there adds to its end, and time takes from its front. Requests of this
// proxy that still wait for their first token hold the front back, and one that has its first token shows that all before it
// was read. Counts are of tokens since the broker is known.
type backlog struct {
	sent float64 // the end of the queue
	read float64 // its front at a time
	at   core.Time
}

// add puts a prompt at the end of the queue and returns where it ends there.
func (q *backlog) add(now core.Time, tokens, perMillisecond float64, oldest *attempt) (end float64) {
	q.advance(now, perMillisecond, oldest)
	q.sent += tokens
	return q.sent
}

// advance moves the front on by what can have been read since, but not past the oldest own request that waits.
func (q *backlog) advance(now core.Time, perMillisecond float64, oldest *attempt) {
	front := q.read + perMillisecond*units.Milliseconds(now-q.at)
	if oldest != nil {
		front = min(front, oldest.queueEnd-stillToRead)
	}
	q.read = min(max(front, q.read), q.sent)
	q.at = now
}

// passed notes that all up to a place in the queue has been read.
func (q *backlog) passed(end float64) { q.read = max(q.read, min(end, q.sent)) }

// tokens is how much is left.
func (q *backlog) tokens() float64 { return q.sent - q.read }

// stillToRead is what an own request that waits for its first token is taken to lack, however long ago it should have had it.
const stillToRead = 64

// readingPace learns how long brokers of a service take for each prompt token, from what lay before each first token. Older
// answers fade. An assumption stands for some answers, until there are more.
type readingPace struct {
	weight, tokens, latency, tokens2, both float64 // weighted sums
}

const (
	paceFade    = 0.995 // weight left of an answer after the next one
	paceFew     = 10.0  // answers of weight before the slope is believed
	paceAssumed = 0.025 // ms a token
	paceBelief  = 5.0   // answers that the assumption stands for
	paceRange   = 2000. // tokens by which they differ from their mean
	paceLeast   = 0.002
	paceMost    = 0.5
)

// learn takes an answer: the tokens that were before its first token at its send, its own included, and what it took, ms.
func (p *readingPace) learn(tokens, latency float64) {
	p.weight = paceFade*p.weight + 1
	p.tokens = paceFade*p.tokens + tokens
	p.latency = paceFade*p.latency + latency
	p.tokens2 = paceFade*p.tokens2 + tokens*tokens
	p.both = paceFade*p.both + tokens*latency
}

// known reports whether enough was learnt.
func (p *readingPace) known() bool { return p.weight >= paceFew }

// perToken is the slope of latency over tokens, ms.
func (p *readingPace) perToken() float64 {
	const belief = paceBelief * paceRange * paceRange
	spread, covariance := 0.0, 0.0
	if p.weight > 0 {
		spread = p.tokens2 - p.tokens*p.tokens/p.weight
		covariance = p.both - p.tokens*p.latency/p.weight
	}
	slope := (covariance + belief*paceAssumed) / (max(spread, 0) + belief)
	return min(max(slope, paceLeast), paceMost)
}
