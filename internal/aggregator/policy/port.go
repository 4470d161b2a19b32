package policy

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Answered        Outcome = iota
	Errored                 // the server returned an error; the attempt may have run
	Rejected                // refused unread by a server that was full; the attempt did not run
	TimedOut                // no answer in time; the attempt may have run
	ConnectFailed           // no connection could be opened; the attempt did not run
	ConnectionReset         // the connection broke; the attempt may have run
	Cancelled               // cancelled by this aggregator; the attempt may have run
	NeverSent               // withdrawn before it was sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NeverSent }

// RepeatEffect is what a second run of a shard request would do.
type RepeatEffect uint8

// The effects of a second run.
const (
	Idempotent        RepeatEffect = iota // none
	TokenDeduplicated                     // none while servers remember the idempotency token
	NonIdempotent                         // the effect happens twice
)

// ServerStatus is the state of a server in the server list.
type ServerStatus uint8

// The states of a server.
const (
	Ready ServerStatus = iota
	Draining
	Gone
)

// ReportField is a field of a load report.
type ReportField uint8

// The fields of a load report.
const (
	OtherField    ReportField = iota // ignored
	BusyField                        // share of the server's cores that is in use
	InFlightField                    // requests in progress at the server
	QueueField                       // requests waiting at the server
)

// Executor carries out the decisions of the policy. The attempts of a shard request are numbered from 0 in
// the order in which they were sent. Times are in milliseconds.
type Executor interface {
	// Send makes the next attempt of a shard request. The attempt times out after timeout; 0 means
	// that it may last until the client gives up. An attempt that has not begun after beginWithin,
	// because a connection is being opened or is full, must not begin and ends as NeverSent; 0 means no
	// such limit.
	Send(request, server int, timeout, beginWithin float64)
	// Cancel withdraws an attempt that is not sent yet, or cancels one that is. The end of the attempt
	// must still be reported to the policy.
	Cancel(request, attempt int)
	// Answer answers a search from those of its shard requests that have been answered. complete tells
	// the client whether that is a complete answer.
	Answer(search int, complete bool)
	// Shed refuses a search that has had no effect. retryAfter is when the client may retry; 0 means
	// that it is not told.
	Shed(search int, retryAfter float64)
	// Fail ends a search with an error; the search may have had an effect.
	Fail(search int)
	// Probe starts a health check of a server over a connection of its own. The result must be
	// reported to the policy.
	Probe(server int)
	// CloseIdleConnections closes this aggregator's idle connections to a server, so that the next send
	// opens a new one.
	CloseIdleConnections(server int)
	// SubscribeToServers asks for the server list.
	SubscribeToServers()
	// ScheduleWakeUp requests a round after the given delay. The caller reports in that round that the
	// wake-up has fired.
	ScheduleWakeUp(delay float64)
	// Log writes a line to the operators' log.
	Log(text string)
	// ReleaseSearch tells the caller that a search has ended and has no attempt in flight: the indices
	// of the search and its shard requests may be reused.
	ReleaseSearch(search int)
}

// Decider is the policy as its caller sees it. The caller first passes the settings and then reports
// events in rounds. Searches and shard requests share one space of small integer indices; servers,
// query types, customers and zones have one each. Times are in milliseconds.
type Decider interface {
	Settings
	Events
}

// Settings configures a policy before its first round. A setting whose method is not called counts as
// absent.
type Settings interface {
	// AddQueryType adds the next query type; indices start from 0. value and lateValue are what a search
	// is worth when answered within the latency target and after it. effect is what a second run of
	// its shard requests would do; tokenWindow is how long servers remember an idempotency token.
	AddQueryType(latencyTarget, value, lateValue float64, effect RepeatEffect, tokenWindow float64)
	// SetAnswerShares sets which share of a search's weight must be answered for a complete answer and
	// for any answer, what a partial answer is worth, and how many shard requests the follow-up phase
	// of a search has; 0 means that it has none.
	SetAnswerShares(queryType int, completeShare, minimumShare, partialValue float64, followUpRequests int)
	// AddCustomer adds the next customer, and the factor on the value of its searches beyond its quota.
	AddCustomer(quotaPerSecond, overQuotaWeight float64)
	// SetFleet sets the number of positions on the ring of shards, the replicas of each shard, how many
	// shard requests a batch takes, the work that each batch costs in addition, and whether servers
	// keep the data of recent keys warm.
	SetFleet(positions, replicas, maxBatch int, batchWork float64, warmKeys bool)
	// SetLimits sets the maximum number of attempts of a shard request, the maximum number of pending
	// searches and shard requests (0: no limit), and whether attempts may be cancelled and hedged.
	SetLimits(maxAttempts, maxPending int, mayCancel, mayHedge bool)
	// SetMaxRetryAfter sets the longest retry-after time that a client is given when its search is shed.
	SetMaxRetryAfter(longest float64)
	// SetWarmUp sets the share of its capacity that a server has right after its start, the time until it
	// has its full capacity, and which multiple of its present capacity all aggregators together may
	// send to it within a window.
	SetWarmUp(initialShare, duration, multiple, window float64)
	// SetRetryBudget limits the retries and hedges within a window to allowance plus ratio times the
	// searches and shard requests that arrived in it.
	SetRetryBudget(allowance, ratio, window float64)
	// SetLoadReports sets whether answers carry load reports, and the fields of a load report.
	SetLoadReports(onAnswers bool, fields []ReportField)
	// AllowProbes allows health checks.
	AllowProbes()
	// SetDiscovery sets whether the server list must be subscribed to.
	SetDiscovery(subscribe bool)
	// SetPriority sets what a search of the query type counts for, in place of its value, when not all
	// searches can be admitted.
	SetPriority(queryType int, priority float64)
	// SetCustomerWeight sets the factor on the value of a customer's searches.
	SetCustomerWeight(customer int, weight float64)
	// SetRetryWeight sets the factor on the value of a search that the client marked as a retry.
	SetRetryWeight(weight float64)
}

// Events reports events to the policy, each between the beginning and the end of a round, and answers
// queries, which may be made at any time.
type Events interface {
	// BeginRound begins a round.
	BeginRound(now float64)
	// AddSearch adds a search with the given number of shard requests, which must be added in the same
	// round.
	AddSearch(id, queryType, customer int, deadline float64, requests int)
	// AddShardRequest adds a shard request to a search: its share of the search's weight, and a hint of
	// the work that it takes; 0 means no hint.
	AddShardRequest(search, id, shard int, weight, hintedWork float64, key uint64)
	// MarkRetry marks a search as a retry by its client. It must come in the round in which the search
	// is added.
	MarkRetry(search int)
	// AttemptDone ends an attempt; report is the load report that came with the answer, if any.
	AttemptDone(request, attempt int, outcome Outcome, report []float64)
	// CommitAttempt commits a shard request to one attempt: bytes of it have reached the client
	// (answering), or what the server was sent can't be sent again. From then on no other attempt may
	// take its place; its end must still be reported. It returns false if the shard request is
	// committed or answered already, or if this attempt has ended or been cancelled: then the caller
	// must cancel this attempt.
	CommitAttempt(request, attempt int, answering bool) bool
	// SetClientSending sets whether the client is still sending the body of a shard request. While it is,
	// a missing answer may be the client's fault and not the server's.
	SetClientSending(request int, sending bool)
	// RetryPushback delays further attempts of a shard request as its server asked for (retry pushback); a
	// negative delay rules them out.
	RetryPushback(request int, delay float64)
	// ProbeDone reports the result of a health check and how long it took.
	ProbeDone(server int, ok bool, elapsed float64, report []float64)
	// ClientGone reports that a search's client no longer waits for an answer.
	ClientGone(search int)
	// ShortenDeadline reports that a search must be answered earlier than was announced.
	ShortenDeadline(search int, deadline float64)
	// UpdateServer updates a server with what the server list says of it.
	UpdateServer(id, zone, position int, state ServerStatus, size, startedAt float64)
	// RemoveServer frees the index of a server that is gone. It does nothing and returns false while
	// the policy still needs the server's state.
	RemoveServer(id int) bool
	// ZoneChanged reports that a zone has failed as a whole (lost), or that part of it answers again.
	// The trials of its servers are spread at random over the time spread from now on. A negative
	// spread means that the zone had not failed after all: the ejections that were made for it, -spread
	// ago, are undone. For a zone that is lost already, the call only reschedules the trials.
	ZoneChanged(zone int, lost bool, spread float64)
	// SetCapacityFloor sets the lowest value of a search that servers have capacity for. Searches of
	// exactly this value are refused with the probability excess. A value of 0 means that the floor is
	// not known.
	SetCapacityFloor(value, excess float64)
	// DiscoveryFailed reports that the subscription to the server list failed or broke.
	DiscoveryFailed()
	// WakeUpDue reports that the requested wake-up has fired.
	WakeUpDue()
	// EndRound ends the round; all decisions are made here.
	EndRound()

	// SearchValue returns what a search counts for when not all can be admitted, after the factors for
	// a retry and for its customer's quota.
	SearchValue(search int) float64
	// RetryAfter returns the retry-after time for a search that the caller itself refuses because of
	// the limit on pending work; 0 means none.
	RetryAfter(queryType int) float64
	// Refusals returns how many searches of a query type were refused or given up since the start,
	// indexed by RefusalReason. It returns nil for an unknown query type.
	Refusals(queryType int) []int
}
