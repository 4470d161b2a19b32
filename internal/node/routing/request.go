package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
	"kestrelspread/internal/predict"
)

// request is one that this proxy holds.
type request struct {
	Request
	id         RequestID
	pool       *pool
	class      *class
	model      string  // the request's, where its service runs models
	wall       string  // tenant whose kept prompts are its own, else empty
	work       float64 // against the usual of its class
	idempotent bool
	oversized  bool // no broker's memory holds it
	fresh      bool // its client's first try
	copied     bool
	answering  bool // an answer has begun
	attempts   []*attempt

	turnedAway  int // attempts that brokers had no room for
	unreachable int // attempts without a connection
}

// attempt is one send to a broker.
type attempt struct {
	number        int
	salt          string
	fetchFrom     string // where parts are fetched from for it; empty: none are
	broker        *broker
	sentAt        core.Time
	load          float64 // there, when it was sent
	unread        int     // tokens of its prompt that the broker was to read
	late          bool    // its first event was late
	queueEnd      float64 // its place in the broker's backlog
	ahead         float64 // tokens to be read before its first one, its own included, when it was sent
	scale         float64 // expected latency against the usual of the pool
	features      predict.Vector
	predictedFast bool
	taught        bool
	started       bool
	latency       float64 // ms, scaled, once started
	learnt        bool
	ended         bool
	arrived       bool // false once it is known that no connection came up
	verdict       verdict.Verdict
}

// age is how long the attempt has been out, scaled to the usual work, ms.
func (a *attempt) age(now core.Time) float64 { return units.Milliseconds(now-a.sentAt) / a.scale }

func (q *request) attempt(number int) *attempt {
	if number < 0 || number >= len(q.attempts) {
		return nil
	}
	return q.attempts[number]
}

// tried reports whether the broker has had the request already.
func (q *request) tried(b *broker) bool {
	for _, a := range q.attempts {
		if a.broker == b {
			return true
		}
	}
	return false
}

// runs counts the attempts that ran, may have run or may yet run: what maxAttempts bounds.
func (q *request) runs() int {
	n := 0
	for _, a := range q.attempts {
		if !a.ended || a.verdict != verdict.NotRun {
			n++
		}
	}
	return n
}

// arrivals counts the attempts that reached a broker, or may have: those beyond the first draw on the retry budget.
func (q *request) arrivals() int {
	n := 0
	for _, a := range q.attempts {
		if a.arrived {
			n++
		}
	}
	return n
}

// outstanding reports whether an attempt is still out.
func (q *request) outstanding() bool {
	for _, a := range q.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}

// onlyWaiting is the one attempt that is out, if no answer has begun.
func (q *request) onlyWaiting() *attempt {
	var only *attempt
	for _, a := range q.attempts {
		switch {
		case a.ended:
		case a.started, only != nil:
			return nil
		default:
			only = a
		}
	}
	return only
}

// mayHaveRun reports whether some attempt ran, or may have: then no promise can be given that it did not.
func (q *request) mayHaveRun() bool { return q.runs() > 0 }
