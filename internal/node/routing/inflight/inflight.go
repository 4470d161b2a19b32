// Package inflight describes the requests that a proxy currently handles and the attempts made for
// each. Packages that take part in routing decisions read them; only the router changes them.
package inflight

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/routeclass"
	"kestrelspread/internal/node/verdict"
)

// ID numbers the requests that a proxy handles.
type ID uint64

// ClientRequest is what the router needs to know of a request from a client.
type ClientRequest struct {
	Route    *config.Route
	Service  string // chosen by the caller if the route splits its traffic
	Tenant   *config.Tenant
	Urgency  int // effective priority; 0 is the most urgent
	Received core.Time
	Deadline core.Time // the earlier of the client's and the route's
	// ClientWait is how long the client will wait, counted from the receipt, as it said; 0: not
	// known.
	ClientWait core.Time
	Model      string
	Parts      []prompt.Part
	TokensIn   int
	TokensOut  int // upper bound of the tokens to generate
	BodyBytes  int
	// ResumesStream is set if the client resumes an event stream with Last-Event-Id.
	ResumesStream bool
	// Unconfirmed is set if the configuration that named the tenant may have been replaced by one that
	// isolates it.
	Unconfirmed bool
}

// TimeLeft returns how long the client waits in total, counted from the receipt: as it said, or
// else until the deadline.
func (r *ClientRequest) TimeLeft() core.Time {
	if r.ClientWait != 0 {
		return r.ClientWait
	}
	return r.Deadline - r.Received
}

// Request is a request that this proxy handles.
type Request struct {
	ClientRequest
	ID    ID
	Pool  *brokerstate.Pool
	Class *routeclass.Class
	// ServedModel is the request's model if its service runs models, else "".
	ServedModel string
	// IsolatedTenant is the request's tenant if it shares cached prefixes with no other tenant,
	// else "".
	IsolatedTenant string
	RelativeWork   float64             // expected work relative to the average of the class
	Idempotent     bool                // may run more than once
	Oversized      bool                // doesn't fit into the memory of any broker
	FirstTry       bool                // the client's first try
	Hedged         bool                // a hedged request was sent
	AnswerStarted  bool                // an answer has begun
	Calls          []*brokerstate.Call // one for each attempt, in the order of their numbers

	Refused     int // calls that brokers refused for lack of capacity
	Unreachable int // calls for which no connection could be established
}

// Call returns the call of the attempt with the given number, or nil if there is none.
func (r *Request) Call(number int) *brokerstate.Call {
	if number < 0 || number >= len(r.Calls) {
		return nil
	}
	return r.Calls[number]
}

// Tried reports whether an attempt of the request was made at the broker.
func (r *Request) Tried(b *brokerstate.Broker) bool {
	for _, c := range r.Calls {
		if c.Broker == b {
			return true
		}
	}
	return false
}

// PossibleRuns returns the number of calls that ran, may have run or may still run. The setting
// maxAttempts limits it.
func (r *Request) PossibleRuns() int {
	n := 0
	for _, c := range r.Calls {
		if !c.Ended || c.Verdict != verdict.NotRun {
			n++
		}
	}
	return n
}

// PossibleArrivals returns the number of calls that reached a broker or may have. All but the first
// count against the retry budget.
func (r *Request) PossibleArrivals() int {
	n := 0
	for _, c := range r.Calls {
		if c.Arrived {
			n++
		}
	}
	return n
}

// HasOutstanding reports whether any call hasn't ended.
func (r *Request) HasOutstanding() bool {
	for _, c := range r.Calls {
		if !c.Ended {
			return true
		}
	}
	return false
}

// SoleUnanswered returns the call that hasn't ended, if there is exactly one and no answer has
// begun; otherwise nil.
func (r *Request) SoleUnanswered() *brokerstate.Call {
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

// MayHaveRun reports whether any call ran or may have run. In that case the client can't be
// promised that the request did not run.
func (r *Request) MayHaveRun() bool { return r.PossibleRuns() > 0 }
