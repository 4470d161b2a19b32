// Package routing decides what becomes of a request: which broker gets it, when a copy or a further attempt goes out,
// when it is refused. It is a state machine without I/O; package forward carries its decisions out.
package routing

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/admission"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/upstream"
	"kestrelspread/internal/node/verdict"
)

// RequestID numbers the requests that a proxy holds.
type RequestID = inflight.ID

// Request is what the router needs to know of a client's request.
type Request = inflight.ClientRequest

// Load is what a broker reports of itself in X-Kestrelspread-Server-Load.
type Load = upstream.Load

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
	// Sent is what the other proxies are to be told at once, by PeerSent; nil: nothing.
	Sent *Sent
	// CopyAt is when to call Copy if no answer has begun by then; core.Never: no copy.
	CopyAt core.Time
	// ByPrediction: the prediction chose among the candidates (reported as a metric).
	ByPrediction bool
}

// Refusal is the final answer to a request that was given up and has not run.
type Refusal struct {
	RetryAfter core.Time
	Reason     RefusalReason
}

// Decision is one of: an attempt to make, a refusal, or neither (nothing to do; the caller answers by what it has).
type Decision struct {
	Attempt *Attempt
	Refusal *Refusal
	// StepSeen is what the other proxies are to be told, by PeerStep; nil: nothing.
	StepSeen *StepSeen
}

// Outcome is how an attempt ended.
type Outcome struct {
	Verdict verdict.Verdict
	// Answered: a whole answer or stream of the broker's own came (of whatever status) and went to the client.
	Answered bool
	Status   int // 0: none came
	// NotExecuted: turned away with X-Kestrelspread-Not-Executed.
	NotExecuted bool
	// Misdirected: 421, another broker has the address or another version of the weights is loaded.
	Misdirected bool
	// ConnectFailed: no connection came up.
	ConnectFailed bool
	// TimedOut: nothing came in the time given.
	TimedOut bool
	// Canceled: called off by this proxy, or its client left.
	Canceled bool
	// RetryAfter as the broker named it, 0 if it did not.
	RetryAfter core.Time
	Load       *Load
	// Pauses are those between the events of a stream.
	Pauses Pauses
}

// Pauses are those between the events of a stream, as they came from its broker.
type Pauses struct {
	Count   int
	Usual   core.Time // while the broker reads no other prompt
	Longest core.Time
}

// Port is what package forward calls; Router implements it. Calls are serialised by the caller.
type Port interface {
	// Begin takes a request: an attempt or a refusal follows at once. Nothing is held back.
	Begin(now core.Time, request Request) (RequestID, Decision)
	// Copy is called at Attempt.CopyAt if no byte of an answer has come; it may decide on a copy.
	Copy(now core.Time, request RequestID) Decision
	// Started reports the head of an answer (for streams: the first event) of an attempt.
	Started(now core.Time, request RequestID, attempt int, load *Load)
	// Finished reports the end of an attempt and may decide on another. broken: the stream had begun and may be taken up
	// again elsewhere with Last-Event-Id.
	Finished(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision
	// End forgets a request, once its final answer is out or its client has gone.
	End(now core.Time, request RequestID)

	// SetTable, SetConfig, SetPeers and SetIndex tell what changed.
	SetTable(now core.Time, table *registry.Table)
	SetConfig(now core.Time, compiled *config.Compiled)
	// SetPeers: how many proxies share the retry budget, this one included.
	SetPeers(now core.Time, proxies int)
}
