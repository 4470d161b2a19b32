package routing

// Counters tell what was decided since the start, for metrics.
type Counters struct {
	Requests     uint64
	ByAffinity   uint64 // sent to the broker that caches the prompt's parts, or should
	ByPrediction uint64 // a broker was passed over because it was predicted slow
	ByLoad       uint64 // sent to the one with the fewest requests
	AllSlow      uint64 // all were predicted slow, and the first took it
	Fallback     uint64 // sent to an ejected broker, as nothing better was left
	Probes       uint64 // of ejected brokers
	Ejections    uint64 // of brokers, by how their calls ended
	Hedges       uint64
	Retries      uint64
	BudgetDenied uint64
	Fetches      uint64
	Saves        uint64
	Refusals     map[RefusalReason]uint64
	Prompts      PromptCounters
	Late         map[LateCause]uint64 // answers of model brokers
}

// PromptCounters count the shared tokens of prompts that were sent to model brokers, by where they
// were expected to come from.
type PromptCounters struct {
	Shared     uint64 // in all
	Cached     uint64 // by the chosen broker
	Arriving   uint64 // being read there for an earlier request
	FromBroker uint64 // fetched from another broker
	FromStore  uint64 // fetched from a store
	FirstSeen  uint64 // to be read, not sent to any broker recently
	Repeated   uint64 // to be read, though some broker was sent them recently
	// BlindFetches counts fetches that were named though nobody was known to cache what is missing.
	BlindFetches uint64
}

// clone copies the counters for a reader.
func (c *Counters) clone() Counters {
	out := *c
	out.Refusals = make(map[RefusalReason]uint64, len(c.Refusals))
	for reason, n := range c.Refusals {
		out.Refusals[reason] = n
	}
	return out
}
