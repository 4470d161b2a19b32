package routing

// Counters counts the router's decisions since its start, for metrics.
type Counters struct {
	Requests     uint64
	ByAffinity   uint64 // sent to the broker that caches the prompt's parts, or should by the rendezvous order
	ByPrediction uint64 // sent to another broker than the first choice, which was predicted slow
	ByLoad       uint64 // sent to the broker with the fewest requests or the least work
	AllSlow      uint64 // sent to the first choice, as all brokers were predicted slow
	Fallback     uint64 // sent to an ejected broker, as no other was eligible
	Probes       uint64 // requests that probed ejected brokers
	Ejections    uint64 // ejections of brokers because of how their calls ended
	Hedges       uint64 // hedged attempts
	Retries      uint64 // attempts that followed a failed or refused one
	BudgetDenied uint64 // retries and hedged attempts that the retry budget didn't allow
	Fetches      uint64 // attempts with Kv-Fetch
	Saves        uint64 // attempts with Kv-Save
	Refusals     map[RefusalReason]uint64
	Prompts      PromptCounters
	Late         map[LateCause]uint64 // late answers of model brokers
}

// PromptCounters counts the shared tokens of the prompts that were sent to model brokers, by the source
// that was expected for them at the send.
type PromptCounters struct {
	Shared     uint64 // all of them
	Cached     uint64 // cached by the chosen broker
	InPrefill  uint64 // being prefilled there for an earlier request
	FromBroker uint64 // fetched from another broker
	FromStore  uint64 // fetched from a store
	FirstSeen  uint64 // to be prefilled, not sent to any broker recently
	Recomputed uint64 // to be prefilled, although they were sent to some broker recently
	// BlindFetches counts attempts with Kv-Fetch for which no source was known to cache the missing
	// tokens.
	BlindFetches uint64
}

// clone returns a copy of the counters with a map of refusals of its own.
func (c *Counters) clone() Counters {
	out := *c
	out.Refusals = make(map[RefusalReason]uint64, len(c.Refusals))
	for reason, n := range c.Refusals {
		out.Refusals[reason] = n
	}
	return out
}
