package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
	"kestrelspread/internal/predict"
)

// minLatency is the lower bound of measured latencies, in ms, because a latency of 0 means that
// there is none.
const minLatency = 0.1

// Call is one attempt of a request, as the state of its broker needs it, from the send to the end.
// The fields up to PredictedFast are set at the send and don't change.
type Call struct {
	Number int // of the attempt within its request, from 0
	Broker *Broker
	SentAt core.Time
	// Load is the broker's estimated number of requests at the send.
	Load float64
	// Salt is the value of the Cache-Salt header; empty: the service runs no models.
	Salt string
	// FetchFrom is the address that the broker fetches cached prompt parts from for this call;
	// empty: it fetches none.
	FetchFrom string
	// PrefillTokens is how many tokens of the prompt the broker has to read.
	PrefillTokens int
	// BacklogEnd is the offset of the end of the prompt in the broker's prefill backlog.
	BacklogEnd float64
	// BacklogAhead is how many tokens the broker has to read before the first token of the answer,
	// including those of the prompt.
	BacklogAhead float64
	// Scale is the expected latency relative to the usual one of the pool.
	Scale float64
	// Features is the input of the prediction.
	Features predict.Vector
	// PredictedFast reports that the answer was predicted to be fast.
	PredictedFast bool

	// Started is set once the answer has begun.
	Started bool
	// Latency is the time from the send to the first byte of the answer, in ms, divided by Scale; 0
	// before that byte.
	Latency float64
	// Late is set if the first event came after the route's target latency.
	Late bool
	// Ended is set once nothing more can come of the call. Verdict is set then.
	Ended bool
	// Arrived reports that the call may have reached the broker. It becomes false if no connection
	// could be established.
	Arrived bool
	// Verdict tells whether the request may have run at the broker.
	Verdict verdict.Verdict

	predictorTrained bool // the predictor was trained with this call
	latencyRecorded  bool // the latency was added to the statistics
}

// Age returns the time since the send, divided by Scale, in ms.
func (c *Call) Age(now core.Time) float64 { return units.Milliseconds(now-c.SentAt) / c.Scale }

// Start records that the answer has begun.
func (c *Call) Start(now core.Time) {
	c.Started = true
	c.Latency = max(c.Age(now), minLatency)
	c.Broker.removeAwaiting(c)
}

// LatencyRecorded reports whether the latency was added to the statistics.
func (c *Call) LatencyRecorded() bool { return c.latencyRecorded }
