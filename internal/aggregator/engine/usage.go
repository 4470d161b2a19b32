package engine

import (
	"kestrelspread/internal/invariant"
)

// Usage is the resource usage of one search. It is recorded once none of the search's attempts is
// in flight any more.
type Usage struct {
	QueryType, Customer int // numbers of the query type and of the customer; a customer below 0 is unknown
	Frontend            int // 0: HTTP, otherwise the number of the front end
	Result              Result
	ClientLeft          bool    // the client left before the answer, so Result has no meaning
	AnsweredAt          float64 // ms of the loop
	Shards              int     // number of shard requests
	FirstAttempts       int     // attempts that were the first of their shard request
	RetryAttempts       int     // attempts that followed after all earlier ones had ended
	HedgeAttempts       int     // attempts that were sent while another was in flight
	CancelledAttempts   int     // attempts of all these kinds that were cancelled
	HintedWorkMs        float64 // expected work as hinted by the client, in ms
	ServerTimeMs        float64 // ms from each attempt's send to its end, summed
	BytesIn, BytesOut   int64   // body bytes, without headers, of the client's request and of its answer
}

// Meter records the usage of each search once. Record must not block.
type Meter interface{ Record(usage *Usage) }

// SetMeter sets the meter. It must be called before the loop runs.
func (e *Engine) SetMeter(m Meter) { e.meter = m }

// usageRecord is the part of a search's usage that is collected while the search is open.
type usageRecord struct {
	queryType, customer, frontend int
	answeredAt, work              float64
	result                        Result
	clientLeft                    bool
	bytesIn, bytesOut             int64
}

// attemptKind distinguishes first attempts, retries and hedges of a shard request.
type attemptKind uint8

const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// nextAttemptKind returns the kind that the next attempt of the shard request would have.
func (req *shardRequest) nextAttemptKind() attemptKind {
	if len(req.attempts) == 0 {
		return firstAttempt
	}
	for _, attempt := range req.attempts {
		if attempt.state != stateEnded {
			return hedgeAttempt
		}
	}
	return retryAttempt
}

// recordUsage passes the usage of a search to the meter. The search is over and has no attempt in
// flight.
func (e *Engine) recordUsage(search *search) {
	if search.metered {
		invariant.Check(false, "a search is metered once")
		return
	}
	search.metered = true
	e.Counters.Metered++
	if e.meter == nil {
		return
	}
	used := &search.usage
	if search.handler != nil {
		used.bytesIn, used.bytesOut = search.handler.BodyBytes()
	}
	usage := Usage{
		QueryType:    used.queryType,
		Customer:     used.customer,
		Frontend:     used.frontend,
		Result:       used.result,
		ClientLeft:   used.clientLeft,
		AnsweredAt:   used.answeredAt,
		Shards:       len(search.requests),
		HintedWorkMs: used.work,
		BytesIn:      used.bytesIn,
		BytesOut:     used.bytesOut,
	}
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			switch attempt.kind {
			case firstAttempt:
				usage.FirstAttempts++
			case retryAttempt:
				usage.RetryAttempts++
			default:
				usage.HedgeAttempts++
			}
			if attempt.cancelled {
				usage.CancelledAttempts++
			}
			usage.ServerTimeMs += attempt.endedAt - attempt.sentAt
		}
	}
	e.meter.Record(&usage)
}

// QueryTypeNames returns the names of the query types, by the numbers that Usage has.
func (e *Engine) QueryTypeNames() []string { return e.config.queryTypeNames }

// CustomerNames returns the names of the customers, by the numbers that Usage has.
func (e *Engine) CustomerNames() []string { return e.config.customerNames }
