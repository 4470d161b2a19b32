package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
	"kestrelspread/internal/predict"
)

// minLatency keeps measured latencies above 0, which stands for none; ms.
const minLatency = 0.1

// Call is one attempt of a request as its broker's state sees it, from the send to the end. The
// fields up to PredictedFast are set at the send and don't change.
type Call struct {
	Number int // of the attempt within its request, from 0
	Broker *Broker
	SentAt core.Time
	// Load is the broker's estimated load at the send.
	Load float64
	// Salt is the Cache-Salt; empty: the service runs no models.
	Salt string
	// FetchFrom is where cached parts are fetched from for it; empty: none are.
	FetchFrom string
	// PrefillTokens is how many tokens of its prompt the broker has to read.
	PrefillTokens int
	// BacklogEnd is where its prompt ends in the broker's prefill backlog.
	BacklogEnd float64
	// BacklogAhead is how many tokens the broker reads before the first token of the answer, those
	// of the prompt included.
	BacklogAhead float64
	// Scale is the expected latency against the usual one of the pool.
	Scale float64
	// Features are what the predictor looked at.
	Features predict.Vector
	// PredictedFast is the prediction.
	PredictedFast bool

	// Started: an answer has begun.
	Started bool
	// Latency from the send to the first byte of the answer, ms, divided by Scale; 0 before that.
	Latency float64
	// Late: the first event came after the route's target.
	Late bool
	// Ended: nothing more comes of it. Verdict is set then.
	Ended bool
	// Arrived: it may have reached the broker. It is false once no connection came up.
	Arrived bool
	// Verdict tells whether the request may have run there.
	Verdict verdict.Verdict

	predictorTrained bool // the predictor has learnt from it
	latencyRecorded  bool // the latency is in the measures
}

// Age is the time since the send, divided by Scale, ms.
func (c *Call) Age(now core.Time) float64 { return units.Milliseconds(now-c.SentAt) / c.Scale }

// Start takes in that the answer has begun.
func (c *Call) Start(now core.Time) {
	c.Started = true
	c.Latency = max(c.Age(now), minLatency)
	c.Broker.removeAwaiting(c)
}

// Learnt reports whether the latency was learnt from.
func (c *Call) Learnt() bool { return c.latencyRecorded }
