package policy

import "math"

// RefusalReason is why a search was refused or given up.
type RefusalReason uint8

// The reasons for a refusal, in the order in which they are checked.
const (
	NoReplica         RefusalReason = iota // too few of its shards have a ready server in the list
	TooLate                                // its deadline has passed or is too close, or the search is invalid
	NoCapacity                             // the servers of some shard are unavailable, or warming up and at their limit
	TargetExceeded                         // some shard is expected to take longer than the share of the latency target that its value allows
	SlowTail                               // the slowest of its shard requests would take too long, by recent latencies
	OverCapacity                           // its value is below what servers have capacity for
	PendingLimit                           // pending work is near its limit, where only the most valuable searches are admitted
	GivenUp                                // it was admitted, and could not reach the minimum share of its weight in time
	NumRefusalReasons                      // number of reasons
)

// refusalNames are the names of the reasons in counters and log lines.
var refusalNames = [NumRefusalReasons]string{
	"no_holder", "too_late", "out_of_room", "expected", "crowd", "borne", "hold_limit", "given_up",
}

// String returns the name of the reason in counters and log lines.
func (reason RefusalReason) String() string { return refusalNames[reason] }

// refusalReason returns which limit had the search refused on arrival.
func (p *Policy) refusalReason(search *searchState, enoughWeight, slowTail, overCapacity bool) RefusalReason {
	switch {
	case enoughWeight && overCapacity:
		return OverCapacity
	case enoughWeight && slowTail:
		return SlowTail
	case enoughWeight:
		return PendingLimit
	}
	for _, req := range search.requests {
		if math.IsInf(req.expectedLatency, 1) {
			return NoCapacity
		}
	}
	return TargetExceeded
}

// earlyRefusalReason returns why a search was refused before its latency was estimated.
func (p *Policy) earlyRefusalReason(search *searchState) RefusalReason {
	if search.queryType != nil && search.expectedRequests > 0 && p.now < search.deadline-answerMargin {
		return NoReplica
	}
	return TooLate
}

// countRefusal counts a refusal for the query type of the search, if that is known.
func (search *searchState) countRefusal(reason RefusalReason) {
	if search.queryType != nil {
		search.queryType.refusals[reason]++
	}
}

// Refusals returns the refusals of a query type by reason; nil for an unknown type.
func (p *Policy) Refusals(queryType int) []int {
	if qt := getAt(p.queryTypes, queryType); qt != nil {
		return qt.refusals[:]
	}
	return nil
}
