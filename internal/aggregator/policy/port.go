package policy

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Answered      Outcome = iota
	Errored               // the server returned an error; it may have run
	Rejected              // by a full server, unseen: it never ran
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection: it never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // by this aggregator; it may have run
	NeverSent             // taken back before it went out
)

// NeverRan holds where the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NeverSent }

// Effect tells what a second run of an attempt would do.
type Effect uint8

// The effects of a second run: none, none where the token is the same, a second effect.
const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// State of a server, by the list.
type State uint8

// The states of a server in its list.
const (
	Ready State = iota
	Draining
	Gone
)

// Field names a value of a load report.
type Field uint8

// The fields of a load report; Other is ignored.
const (
	Other Field = iota
	Busy        // share of its cores in use
	InFlight
	Queue
)

// Out carries out the decisions. Attempts of a shard request are numbered from 0 in the order of
// their Send. Times are in milliseconds.
type Out interface {
	// Send makes the next attempt of a shard request. within is the attempt's own time limit; 0:
	// until the client gives up. One that has not begun after begin must not begin, and ends as
	// NeverSent; 0: no such limit. A connect or a full connection may delay it.
	Send(request, server int, within, begin float64)
	// Cancel takes an attempt back or calls it off; its Done still follows.
	Cancel(request, attempt int)
	// Answer answers a search from the shard requests that are answered, and says whether that is
	// complete.
	Answer(search int, complete bool)
	// Shed refuses a search, which had no effect, with advice when to ask again; 0: no advice.
	Shed(search int, retryAfter float64)
	// Fail ends a search in error: it may have had an effect.
	Fail(search int)
	// Probe asks for a health check of a server over a connection of its own; Probed follows.
	Probe(server int)
	// Close closes this aggregator's idle connections to a server: the next send opens one.
	Close(server int)
	// Subscribe asks for the list of servers.
	Subscribe()
	// Wake asks for a round after so long; Woken is called in it.
	Wake(in float64)
	// Log writes a line for operators.
	Log(text string)
	// Forget tells that nothing of a search is pending or in flight any more: its indices may be
	// used again.
	Forget(search int)
}

// Port is the module as its caller sees it: first the settings, then rounds of events between Begin
// and End. Searches and shard requests share one space of small indices; servers, query types,
// customers and zones have their own. Times are in milliseconds.
type Port interface {
	Settings
	Events
}

// Settings come before the first round. A call that is left out means that the setting is absent.
type Settings interface {
	// QueryType adds the next kind of search, from 0: what it is worth, in time and late, and what
	// a second run of its shard requests would do, with the window in which a token keeps it from
	// doing harm.
	QueryType(latencyTarget, value, lateValue float64, effect Effect, tokenWindow float64)
	// Shares states the shares of weight of a complete answer and of any, what a partial one is
	// worth, and how many shard requests its second phase has.
	Shares(kind int, need, floor, partialValue float64, followUp int)
	// Customer adds the next customer, and the weight with which its searches past the quota count.
	Customer(quotaPerSecond, overQuotaWeight float64)
	// Fleet states the ring of positions, on how many a shard lies, how many shard requests a batch
	// takes and what it costs.
	Fleet(positions, replicas, maxBatch int, batchWork float64, warmKeys bool)
	// Limits states how many attempts a shard request may have and how much may be pending, and
	// whether attempts may be cancelled or hedged.
	Limits(maxAttempts, maxPending int, mayCancel, mayHedge bool)
	// MaxRetryAfter states the longest advice to a client that was shed.
	MaxRetryAfter(longest float64)
	// WarmUp states a server's share of its capacity right after its start, how long it takes to
	// have all of it, and which multiple of it all aggregators together may send in a window.
	WarmUp(initialShare, duration, multiple, window float64)
	// Budget limits retries and hedges to allowance and ratio of the requests in a window.
	Budget(allowance, ratio, window float64)
	// Reports states whether load reports come with answers, and their fields.
	Reports(onAnswers bool, fields []Field)
	// Probes allows health checks.
	Probes()
	// Discovery states whether the list must be asked for.
	Discovery(ask bool)
	// Priority is what a search of a type counts with where not all can be admitted, in place of
	// its value.
	Priority(kind int, priority float64)
	// CustomerWeight is the share of that with which a customer's searches count.
	CustomerWeight(customer int, weight float64)
	// RetryWeight is the share with which a search counts whose client says that it retries.
	RetryWeight(weight float64)
}

// Events are told between Begin and End, the questions among them at any time.
type Events interface {
	// Begin begins a round.
	Begin(now float64)
	// Search is a new search; its shard requests follow in the same round.
	Search(id, kind, customer int, deadline float64, requests int)
	// ShardRequest is one of a search's, with its share of the search's weight and a hint of its
	// work; 0: no hint.
	ShardRequest(search, id, shard int, weight, work float64, key uint64)
	// MarkRetry tells that a search's client says that it retries; between Search and End.
	MarkRetry(search int)
	// Done ends an attempt.
	Done(request, attempt int, how Outcome, report []float64)
	// Committed tells that bytes of this attempt have reached the client (answering), or that what
	// it was sent can't be sent again: no other may take its place from here on. Its Done still
	// follows. False: another was first, and this one is to be cancelled.
	Committed(request, attempt int, answering bool) bool
	// ClientSending tells that the client is still sending what the shard request carries, so that
	// whoever lets wait may be the client; false: it has sent all.
	ClientSending(request int, sending bool)
	// Pushback is a server's wish that the shard request be sent again no sooner than in so long,
	// or, below 0, never.
	Pushback(request int, wait float64)
	// Probed is the result of a health check and how long it took.
	Probed(server int, ok bool, elapsed float64, report []float64)
	// ClientGone tells that nobody waits for a search any more.
	ClientGone(search int)
	// ShortenDeadline tells that a search's client can be answered no later than that, sooner than
	// was said.
	ShortenDeadline(search int, deadline float64)
	// Server is what the list says of a server.
	Server(id, zone, position int, state State, size, startedAt float64)
	// RemoveServer frees the index of one that is gone. False, and nothing done, while it still
	// matters.
	RemoveServer(id int) bool
	// ZoneChanged tells that all of a zone has failed together, or that some of it answers again.
	// Its servers are tried over spread from now on; spread below 0: it did not fail, and ejections
	// so long ago are undone. Said again of a zone that is lost, it only has them tried.
	ZoneChanged(zone int, lost bool, spread float64)
	// CapacityFloor tells that servers take no search of less than value, and of those of just that
	// value a share (excess) less; value 0: that is not known.
	CapacityFloor(value, excess float64)
	// DiscoveryFailed tells that asking for the list failed, or that the subscription broke.
	DiscoveryFailed()
	// Woken tells that the wake-up that was asked for has come.
	Woken()
	// End ends a round: here everything is decided.
	End()

	// SearchValue is what a search counts with where not all can be admitted, its client's retry
	// and its customer's quota in it.
	SearchValue(search int) float64
	// RetryAfter is advice for a search that the limit on pending work keeps from here; 0: none.
	RetryAfter(kind int) float64
	// Refusals counts, by RefusalReason, how many searches of the type were refused or given up
	// since the start; nil: not known.
	Refusals(kind int) []int
}
