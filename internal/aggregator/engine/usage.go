package engine

import (
	"kestrelspread/internal/invariant"
)

// Usage is what one search used. It is recorded once nothing of the search is in flight any more.
type Usage struct {
	Kind, Customer    int
	Front             int // 0 for HTTP's, else the door
	Result            Result
	ClientLeft        bool // its client left before the answer: Result tells nothing
	AnsweredAt        float64
	Shards            int
	First             int     // attempts that were a shard request's first
	Retry             int     // that followed one that had ended
	Hedge             int     // that went beside one in flight
	Cancelled         int     // of all these
	Work              float64 // hinted, ms
	Server            float64 // ms from each attempt's send to its end
	BytesIn, BytesOut int64   // bytes of what the client sent and of its answer, without heads
}

// Meter records each search, once. It must not wait.
type Meter interface{ Record(usage *Usage) }

// SetMeter sets the meter, before the loop runs.
func (e *Engine) SetMeter(m Meter) { e.meter = m }

// usageRecord is kept with a search for its meter.
type usageRecord struct {
	kind, customer, front int
	answeredAt, work      float64
	result                Result
	clientLeft            bool
	bytesIn, bytesOut     int64
}

// attemptKind of an attempt among those of its shard request.
type attemptKind uint8

const (
	firstAttempt attemptKind = iota
	retryAttempt
	hedgeAttempt
)

// nextKind is what a further attempt would be.
func (req *shardRequest) nextKind() attemptKind {
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

// recordUsage tells the meter of a search that is over and of which nothing is out.
func (e *Engine) recordUsage(search *search) {
	if search.metered {
		invariant.Check(false, "a search is counted once")
		return
	}
	search.metered = true
	e.Count.Metered++
	if e.meter == nil {
		return
	}
	used := &search.usage
	if search.carrier != nil {
		used.bytesIn, used.bytesOut = search.carrier.Bytes()
	}
	usage := Usage{
		Kind:       used.kind,
		Customer:   used.customer,
		Front:      used.front,
		Result:     used.result,
		ClientLeft: used.clientLeft,
		AnsweredAt: used.answeredAt,
		Shards:     len(search.requests),
		Work:       used.work,
		BytesIn:    used.bytesIn,
		BytesOut:   used.bytesOut,
	}
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			switch attempt.kind {
			case firstAttempt:
				usage.First++
			case retryAttempt:
				usage.Retry++
			default:
				usage.Hedge++
			}
			if attempt.cancelled {
				usage.Cancelled++
			}
			usage.Server += attempt.endedAt - attempt.sentAt
		}
	}
	e.meter.Record(&usage)
}

// Kinds names the query types that Used numbers.
func (e *Engine) Kinds() []string { return e.config.kindNames }

// Customers names the customers that Used numbers. A customer that no setting names is the first.
func (e *Engine) Customers() []string { return e.config.customerNames }
