package policy

import "math"

// RefusalReason tells why a search was refused or given up.
type RefusalReason uint8

// The reasons, in the order in which they apply.
const (
	NoReplica      RefusalReason = iota // too few of its shards have a listed server
	TooLate                             // its client's time is over, or it is no sound search
	NoCapacity                          // some shard's servers are out of reach, or warming up and full
	TargetExceeded                      // some shard is expected past what its value may take of the latency target
	SlowTail                            // the slowest of so many shards took too long recently
	OverCapacity                        // servers were seen to take no more
	PendingLimit                        // so much is pending that only the most valued are admitted
	GivenUp                             // it was admitted, and could not reach its least share in time
	NumRefusalReasons
)

// refusalNames are what counters and log lines call the reasons.
var refusalNames = [NumRefusalReasons]string{
	"no_holder", "too_late", "out_of_room", "expected", "crowd", "borne", "hold_limit", "given_up",
}

// String gives the reason as counters name it.
func (why RefusalReason) String() string { return refusalNames[why] }

// refusalReason tells which limit kept a search out on its arrival.
func (p *Policy) refusalReason(search *searchState, enough, slow, full bool) RefusalReason {
	switch {
	case enough && full:
		return OverCapacity
	case enough && slow:
		return SlowTail
	case enough:
		return PendingLimit
	}
	for _, req := range search.requests {
		if math.IsInf(req.expectedLatency, 1) {
			return NoCapacity
		}
	}
	return TargetExceeded
}

// earlyRefusalReason tells why a search was refused before its latency was estimated.
func (p *Policy) earlyRefusalReason(search *searchState) RefusalReason {
	if search.queryType != nil && search.expectedRequests > 0 && p.now < search.deadline-answerMargin {
		return NoReplica
	}
	return TooLate
}

func (search *searchState) countRefusal(why RefusalReason) {
	if search.queryType != nil {
		search.queryType.refusals[why]++
	}
}

// Refusals implements Port; nil for a type that is not known.
func (p *Policy) Refusals(kind int) []int {
	if qt := getAt(p.queryTypes, kind); qt != nil {
		return qt.refusals[:]
	}
	return nil
}
