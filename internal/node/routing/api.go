// Package routing decides how a proxy handles a request: which broker gets it, when a hedged request
// or a retry is sent, and when it is refused. It is a state machine without I/O; package forward
// carries out its decisions.
//
// Router holds the requests and the state of the brokers, and connects the packages below. Each of
// them imports only packages that stand above it in this list:
//
//	units, mechanism, cachesalt, modelversion, retrybudget, prompt   no dependencies within routing
//	brokerstate   the state of each broker: latencies, prefill backlog, health and ejection, prediction
//	routeclass    statistics of the requests of one route
//	inflight      the requests that the proxy holds, with their attempts
//	candidate     the brokers that a request may be sent to
//	prefixcache   where the parts of prompts are cached, fetched from and saved to
//	placement     the choice of a broker, by a sum of costs
//	admission     load shedding, postponing, deadlines that can't be met, Retry-After
//
// Retries, hedged requests, outcomes of attempts and statistics of late answers are files of this
// package.
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

// RequestID identifies a request that a proxy holds.
type RequestID = inflight.ID

// Request is what the router needs to know of a client's request.
type Request = inflight.ClientRequest

// Load is the load that a broker reports in the header X-Kestrelspread-Server-Load.
type Load = brokerstate.Load

// RefusalReason is why a request was refused, for logs and counters.
type RefusalReason = admission.Reason

// Attempt tells the caller to send a request to a broker.
type Attempt struct {
	Request       RequestID
	Number        int                // from 0, unique within the request
	Instance      *registry.Instance // the broker
	ExpectVersion uint64             // header Expect-Version; 0: not sent
	Salt          string             // header Cache-Salt; empty: not sent
	IsolatedSalt  string             // takes the place of Salt where the tenant must share nothing; the same where it shares nothing anyway
	FetchFrom     string             // header Kv-Fetch; empty: not sent
	SaveTo        string             // header Kv-Save; empty: not sent
	Priority      int                // header Priority, 0 to 9, 0 is the most urgent
	// SentPrompt is what the other proxies are to be notified of at once; nil: nothing.
	SentPrompt *SentPrompt
	// HedgeAt is when to call Hedge unless an answer has begun by then; core.Never: no hedged request.
	HedgeAt core.Time
	// ByPrediction reports whether the latency prediction decided between several candidates. It is
	// reported as a metric.
	ByPrediction bool
}

// Refusal is the final answer to a request that the router gave up and that has not run.
type Refusal struct {
	RetryAfter core.Time // header Retry-After, as the time from now
	Reason     RefusalReason
}

// Decision is an attempt to make, a refusal, or neither. With neither, nothing is left to do: the
// caller answers the client with what it has.
type Decision struct {
	Attempt *Attempt
	Refusal *Refusal
	// StepTimeReport is what the other proxies are to be notified of; nil: nothing.
	StepTimeReport *StepTimeReport
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Verdict tells whether the request may have run at the broker.
	Verdict verdict.Verdict
	// Answered reports whether a complete answer or stream from the broker, of whatever status, went
	// to the client.
	Answered bool
	Status   int // HTTP status of the answer; 0: none came
	// NotExecuted reports whether the request was refused with X-Kestrelspread-Not-Executed.
	NotExecuted bool
	// Misdirected reports whether the answer was 421: another broker has the address, or another
	// version of the weights is loaded.
	Misdirected bool
	// ConnectFailed reports whether no connection could be established.
	ConnectFailed bool
	// TimedOut reports whether no answer came within the time limit.
	TimedOut bool
	// Canceled reports whether this proxy or its client ended the attempt.
	Canceled bool
	// RetryAfter is the broker's Retry-After; 0: none.
	RetryAfter core.Time
	// Load is the broker's load report; nil: none came.
	Load *Load
	// Gaps describes the gaps between the events of a stream.
	Gaps EventGaps
}

// EventGaps describes the gaps between the events of a stream, as they arrived from its broker.
type EventGaps struct {
	Count   int
	Typical core.Time // a gap while the broker prefills no other prompt
	Max     core.Time
}

// RequestRouter is the interface of the router that package forward calls. Router implements it. The caller
// must serialize the calls; see LockedRouter.
type RequestRouter interface {
	// Begin adds a request and returns an attempt or a refusal for it. Requests aren't queued.
	Begin(now core.Time, request Request) (RequestID, Decision)
	// Hedge is called at Attempt.HedgeAt if no byte of an answer has come. It may return a hedged
	// attempt.
	Hedge(now core.Time, request RequestID) Decision
	// AnswerStarted reports that the head of an answer has come for an attempt; for streams, the first
	// event.
	AnswerStarted(now core.Time, request RequestID, attempt int, load *Load)
	// AttemptEnded reports the end of an attempt and may return another one. resumable: the stream has
	// begun and can be resumed at another broker with Last-Event-Id.
	AttemptEnded(now core.Time, request RequestID, attempt int, outcome Outcome, resumable bool) Decision
	// End removes a request, once its final answer is sent or its client has gone.
	End(now core.Time, request RequestID)

	// SetTable replaces the list of brokers.
	SetTable(now core.Time, table *registry.Table)
	// SetConfig replaces the configuration.
	SetConfig(now core.Time, compiled *config.Compiled)
	// SetProxyCount sets the number of proxies that share the retry budget, this one included.
	SetProxyCount(now core.Time, proxies int)
}
