// Package routing decides what becomes of a request: which broker gets it, when a hedged request or
// a retry goes out, when it is refused. It is a state machine without I/O; package forward carries
// its decisions out.
//
// Router holds the requests and the brokers' state and wires the packages below, of which each
// imports only those above it in this list, so that none calls back up:
//
//	units, mechanism, cachesalt, modelversion, retrybudget, prompt   leaves
//	brokerstate   brokers as this proxy sees them: latencies, backlog, health and ejection, prediction
//	routeclass    what is usual of one route's requests
//	inflight      the requests that are held, with their calls
//	candidate     the brokers that a request may go to
//	prefixcache   where the parts of prompts are cached, and where they are fetched from and saved to
//	placement     the broker that gets a request, by a sum of costs
//	admission     load shedding, postponing, hopeless deadlines, advice to refused clients
//
// Retries, hedged requests, outcomes and late answers are files of this package.
package routing

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/verdict"
)

// RequestID numbers the requests that a proxy holds.
type RequestID = inflight.ID

// Request is what the router needs to know of a client's request.
type Request = inflight.ClientRequest

// Load is what a broker reports of itself in X-Kestrelspread-Server-Load.
type Load = brokerstate.Load

// RefusalReason says why a request was refused, for logs and counters.
type RefusalReason = admission.Reason

// Attempt asks for the request to be sent to a broker.
type Attempt struct {
	Request  RequestID
	Number   int // from 0, unique within the request
	Instance *registry.Instance
	// ExpectVersion is set in Expect-Version where not 0.
	ExpectVersion uint64
	Salt          string // Cache-Salt; empty: none
	FetchFrom     string // Kv-Fetch; empty: none
	SaveTo        string // Kv-Save; empty: none
	Priority      int    // the Priority header, 0 to 9
	// SentPrompt is what the other proxies are to be notified of at once, by PeerSentPrompt; nil:
	// nothing.
	SentPrompt *SentPrompt
	// HedgeAt is when to call Hedge if no answer has begun by then; core.Never: no hedged request.
	HedgeAt core.Time
	// ByPrediction: the prediction chose among the candidates (reported as a metric).
	ByPrediction bool
}

// Refusal is the final answer to a request that was abandoned and has not run.
type Refusal struct {
	RetryAfter core.Time
	Reason     RefusalReason
}

// Decision is one of: an attempt to make, a refusal, or neither (nothing to do; the caller answers
// by what it has).
type Decision struct {
	Attempt *Attempt
	Refusal *Refusal
	// StepReport is what the other proxies are to be notified of, by PeerStepReport; nil: nothing.
	StepReport *StepReport
}

// Outcome is how an attempt ended.
type Outcome struct {
	Verdict verdict.Verdict
	// Answered: a complete answer or stream of the broker's own came (of whatever status) and went
	// to the client.
	Answered bool
	Status   int // 0: none came
	// NotExecuted: refused with X-Kestrelspread-Not-Executed.
	NotExecuted bool
	// Misdirected: 421, another broker has the address or another version of the weights is loaded.
	Misdirected bool
	// ConnectFailed: no connection came up.
	ConnectFailed bool
	// TimedOut: nothing came in the time given.
	TimedOut bool
	// Canceled by this proxy, or its client left.
	Canceled bool
	// RetryAfter as the broker named it, 0 if it did not.
	RetryAfter core.Time
	Load       *Load
	// Gaps between the events of a stream.
	Gaps EventGaps
}

// EventGaps are the gaps between the events of a stream, as they came from its broker.
type EventGaps struct {
	Count int
	Usual core.Time // while the broker reads no other prompt
	Max   core.Time
}

// Port is what package forward calls; Router implements it. Calls are serialised by the caller.
type Port interface {
	// Begin takes a request: an attempt or a refusal follows at once. Nothing is queued.
	Begin(now core.Time, request Request) (RequestID, Decision)
	// Hedge is called at Attempt.HedgeAt if no byte of an answer has come; it may decide on a
	// hedged request.
	Hedge(now core.Time, request RequestID) Decision
	// Started reports the head of an answer (for streams: the first event) of an attempt.
	Started(now core.Time, request RequestID, attempt int, load *Load)
	// Finished reports the end of an attempt and may decide on another. resumable: the stream had
	// begun and may be taken up again elsewhere with Last-Event-Id.
	Finished(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision
	// End forgets a request, once its final answer is out or its client has gone.
	End(now core.Time, request RequestID)

	// SetTable takes a newer picture of the brokers.
	SetTable(now core.Time, table *registry.Table)
	// SetConfig takes a newer configuration.
	SetConfig(now core.Time, compiled *config.Compiled)
	// SetPeers takes in how many proxies share the retry budget, this one included.
	SetPeers(now core.Time, proxies int)
}
