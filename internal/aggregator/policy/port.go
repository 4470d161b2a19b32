package policy

// Outcome tells how a sub-request ended.
type Outcome uint8

// The outcomes of a sub-request.
const (
	Answered      Outcome = iota
	Errored               // the server returned an error; it may have run
	Rejected              // turned away unseen
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection: it never ran
	Reset                 // the connection broke; it may have run
	Cancelled             // called off by this broker; it may have run
	NeverSent             // never sent
)

// NeverRan holds where the outcome proves that the sub-request had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NeverSent }

// Effect tells what a second run of a sub-request would do.
type Effect uint8

// The effects of a second run: none, none where the token is the same, a second effect.
const (
	Idempotent Effect = iota
	Tokened
	NonIdempotent
)

// State of a server as its list tells it.
type State uint8

// The states of a server in its list.
const (
	Ready State = iota
	Draining
	Gone
)

// Field names a value of a load report.
type Field uint8

// The fields of a load report; Other is read over.
const (
	Other Field = iota
	Busy        // share of its cores in use
	InFlight
	Queue
)

// Out takes the decisions. Sub-requests of a part are numbered from 0 in the order of their Send.
type Out interface {
	// Send. within: this sub-request's own time limit; 0: until the client gives up. begin: where it has not begun in so
	// long it must not begin, and is moot; 0: no limit of its own. A connect or a full connection may hold it up.
	Send(part, server int, within, begin float64)
	Cancel(part, try int)
	Answer(search int, whole bool)
	Shed(search int, comeBack float64) // comeBack 0: no advice
	Fail(search int)
	Probe(server int)
	Close(server int) // this broker's idle connections to it: the next send opens one
	Subscribe()
	Wake(in float64)
	Log(text string)
	Forget(search int) // nothing of this search is held or out any more: its indices may be used again
}

// Port is the module as its caller sees it: first the settings, then rounds of events between Begin and End.
// Searches and parts share one space of small indices; servers, query types, customers and halls have their own.
type Port interface {
	// Settings, before the first round. A call that is left out means that the setting is absent.
	QueryType(aim, value, late float64, effect Effect, tokenFor float64) // the next kind, from 0
	Shares(kind int, need, floor, partial float64, followUp int)
	Customer(quotaPerSecond, beyond float64) // beyond: what a search past the quota is worth
	Fleet(places, span, batch int, callWork float64, warmKeys bool)
	Limits(tries, held int, cancel, copies bool)
	MaxRetryAfter(longest float64)
	WarmUp(from, lasts, multiple, over float64)
	Budget(spare, ratio, over float64)
	Reports(onAnswers bool, fields []Field)
	Probes()
	Discovery(ask bool)
	// Priority: what a search of a type counts with where not all can be taken, in place of its value. Weigh: the share of
	// that with which a customer's counts; Retries: with which one does whose client says that it asks again.
	Priority(kind int, worth float64)
	CustomerWeight(customer int, share float64)
	RetryWeight(share float64)

	Begin(now float64)
	Search(id, kind, customer int, until float64, parts int)
	ShardRequest(search, id, shard int, weight, work float64, key uint64)
	MarkRetry(search int) // its client says that it asks again; between Search and End
	Done(part, try int, how Outcome, report []float64)
	// Committed: bytes of this sub-request have reached the client (answering), or what it was sent can't be sent again:
	// no other may take its place from here on. Its Done still follows. False: another was first, this one is to be
	// called off.
	Committed(part, try int, answering bool) bool
	// ClientSending: the client is still sending what the part carries, so who lets wait may be the client. False: it has ended.
	ClientSending(part int, open bool)
	// Pushback: a server asks that the part be sent again no sooner than in so many milliseconds, or, below 0, never.
	Pushback(part int, wait float64)
	Probed(server int, ok bool, elapsed float64, report []float64)
	ClientGone(search int)
	ShortenDeadline(search int, until float64) // its client can be answered no later than that, sooner than was said
	Server(id, hall, cell int, state State, size, started float64)
	RemoveServer(id int) bool // one that is gone: its index may be used again. False, and nothing done, while it matters still
	// ZoneChanged: all that a hall holds has failed together, or some of it answers again. spread: its servers are tried over so
	// many milliseconds from now. Said again of a hall that is lost, it only has them tried.
	ZoneChanged(hall int, lost bool, spread float64)
	// SearchValue: what a search counts with where not all can be taken, its client's asking again and its customer's quota in it.
	SearchValue(search int) float64
	// CapacityFloor: servers bear no search that counts less than worth, and of those that count just that a share less. Worth 0:
	// that is not known.
	CapacityFloor(worth, beyond float64)
	DiscoveryFailed()            // asking for the list failed, or the subscription broke
	RetryAfter(kind int) float64 // advice for a search that the hold limit keeps from here; 0: none
	Refusals(kind int) []int     // by Step, how many searches of the type were refused or given up since the start; nil: not known
	Woken()
	End()
}
