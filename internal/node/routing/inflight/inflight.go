// Package inflight describes the requests that a proxy holds, with the attempts that were made for
// each. Packages that decide something of a request read it; only the router changes it.
package inflight

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/routeclass"
	"kestrelspread/internal/node/verdict"
)

// ID numbers the requests that a proxy holds.
type ID uint64

// ClientRequest is what the router needs to know of a client's request.
type ClientRequest struct {
	Route    *config.Route
	Service  string // chosen by the caller where the route splits its traffic
	Tenant   *config.Tenant
	Urgency  int // priority in force, 0 first
	Received core.Time
	Deadline core.Time // the earlier of the client's and the route's
	// ClientWait is how long the client said it will wait, counted from the receipt; 0: not known.
	ClientWait core.Time
	Model      string
	Parts      []prompt.Part
	TokensIn   int
	TokensOut  int // the most it may generate
	BodyBytes  int
	// Resumes: the client takes a stream up again with Last-Event-Id.
	Resumes bool
}

// TimeLeft is how long the client waits in all: as it said, or until the deadline.
func (r *ClientRequest) TimeLeft() core.Time {
	if r.ClientWait != 0 {
		return r.ClientWait
	}
	return r.Deadline - r.Received
}

// Request is a request that this proxy holds.
type Request struct {
	ClientRequest
	ID    ID
	Pool  *brokerstate.Pool
	Class *routeclass.Class
	// ServedModel is the request's model where its service runs models, else empty.
	ServedModel string
	// IsolatedTenant is the tenant whose cached prefixes are its own, else empty.
	IsolatedTenant string
	Work           float64 // against the usual of its class
	Idempotent     bool
	Oversized      bool // no broker's memory holds it
	FirstTry       bool // of its client
	Hedged         bool // a hedged request has gone out
	Answering      bool // an answer has begun
	Calls          []*brokerstate.Call

	Refused     int // calls that brokers had no capacity for
	Unreachable int // calls without a connection
}

// Call is the call of an attempt's number, nil where there is none.
func (r *Request) Call(number int) *brokerstate.Call {
	if number < 0 || number >= len(r.Calls) {
		return nil
	}
	return r.Calls[number]
}

// Tried reports whether the broker has had the request already.
func (r *Request) Tried(b *brokerstate.Broker) bool {
	for _, c := range r.Calls {
		if c.Broker == b {
			return true
		}
	}
	return false
}

// Runs counts the calls that ran, may have run or may yet run: what maxAttempts bounds.
func (r *Request) Runs() int {
	n := 0
	for _, c := range r.Calls {
		if !c.Ended || c.Verdict != verdict.NotRun {
			n++
		}
	}
	return n
}

// Arrivals counts the calls that reached a broker, or may have: those beyond the first draw on the
// retry budget.
func (r *Request) Arrivals() int {
	n := 0
	for _, c := range r.Calls {
		if c.Arrived {
			n++
		}
	}
	return n
}

// Outstanding reports whether a call is still out.
func (r *Request) Outstanding() bool {
	for _, c := range r.Calls {
		if !c.Ended {
			return true
		}
	}
	return false
}

// OnlyAwaiting is the one call that is out, if no answer has begun; nil otherwise.
func (r *Request) OnlyAwaiting() *brokerstate.Call {
	var only *brokerstate.Call
	for _, c := range r.Calls {
		switch {
		case c.Ended:
		case c.Started, only != nil:
			return nil
		default:
			only = c
		}
	}
	return only
}

// MayHaveRun reports whether some call ran, or may have: then no promise can be given that the
// request did not.
func (r *Request) MayHaveRun() bool { return r.Runs() > 0 }
