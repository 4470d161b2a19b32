package engine

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"strconv"

	"kestrelspread/internal/invariant"
	"kestrelspread/internal/protocol"
)

const (
	searchOverdueAfter = 15 // ms past a search's deadline: the policy has given its answer long before
	maxIDBytes         = 128
	maxBudget          = 24 * 3600 * 1000 // ms
)

// search is what a client waits for, from its arrival until the policy forgets it.
type search struct {
	index     int
	id        string
	query     []byte
	token     []byte // the client's idempotency key
	deadline  float64
	client    *client // nil once it has its answer or has gone
	requests  []*shardRequest
	ended     bool
	forgotten bool
	timer     *timer
	carrier   Carrier // of a further front, with its own carrier
	usage     usageRecord
	metered   bool
	complete  bool
}

type shardRequest struct {
	index    int
	search   *search
	id       string
	shard    int
	attempts []*attempt
	value    []byte
	hasValue bool // its value is here
	reported bool // and the policy knows
}

// parsedRequest is a shard request of a body that may yet prove unsound.
type parsedRequest struct {
	shard       int
	share, work float64
	key         uint64
}

// searchHead is what a search's headers say. Its bytes are the request's, and hold until that is
// released.
type searchHead struct {
	id, token      []byte
	kind, customer int
	budget         float64 // ms that the client still has
}

// acceptSearch takes a search, once all of it has proved sound.
func (e *Engine) acceptSearch(client *client, came float64) error {
	head, err := e.readSearchHead(client)
	if err != nil {
		return err
	}
	text, sum, err := e.readSearchBody(client)
	if err != nil {
		return err
	}
	e.Count.Searches++
	search := &search{
		id:    string(head.id),
		query: append([]byte(nil), text...),
		token: append([]byte(nil), head.token...),
		// What an aggregator that is told to stop still takes, it has to end before it is killed.
		deadline: min(came+head.budget, e.killAt-answerBeforeKill),
		client:   client,
		usage:    usageRecord{kind: head.kind, customer: head.customer, bytesIn: int64(len(client.parser.Body()))},
	}
	client.search = search
	e.searchByID[search.id] = search
	if e.overPending() {
		e.Count.OverPending++
		e.releaseRequest(client)
		e.endSearch(search, 503, e.policy.RetryAfter(head.kind), nil)
		return nil
	}
	key := protocol.ParseKey(client.parser.Cookie("k"))
	mark, marks := client.parser.Header("x-again")
	isRetry := marks == 1 && string(mark) == "1"
	e.releaseRequest(client)
	e.submitSearch(search, head.kind, head.customer, sum, key)
	if isRetry {
		e.policy.MarkRetry(search.index)
	}
	return nil
}

// overPending: so much is pending that nothing more comes to the policy.
func (e *Engine) overPending() bool {
	return e.config.maxPending > 0 && e.pending >= e.config.maxPending
}

func (e *Engine) readSearchHead(client *client) (head searchHead, err error) {
	id, ids := client.parser.Header("x-call-id")
	class, classes := client.parser.Header("x-call-class")
	budgetText, budgets := client.parser.Header("x-budget-ms")
	budget, badBudget := strconv.ParseUint(string(budgetText), 10, 32)
	kind, known := e.config.kinds[string(class)]
	switch {
	case ids != 1 || len(id) == 0 || len(id) > maxIDBytes || !printable(id):
		return head, badRequest("no id")
	case classes != 1 || !known:
		return head, badRequest("no known query type")
	case e.config.twoPhase[kind]:
		// An answer from its first phase alone would be under its floor, or be marked complete
		// though it is not.
		return head, &protocol.RequestError{Status: 501, Reason: "a query type with a second step, which is not spoken here"}
	case e.searchByID[string(id)] != nil:
		return head, &protocol.RequestError{Status: 409, Reason: "a search with this id is open"}
	case budgets != 1 || badBudget != nil || budget == 0 || budget > maxBudget:
		return head, badRequest("no sound budget")
	}
	token, tokens := client.parser.Header("idempotency-key")
	if tokens > 1 || len(token) > maxIDBytes || !printable(token) || bytes.IndexByte(token, ',') >= 0 {
		return head, badRequest("no sound idempotency key")
	}
	customer := unknownCustomer
	if name, n := client.parser.Header("x-caller"); n > 0 {
		customer = e.Customer(string(name))
	}
	return searchHead{id: id, token: token, kind: kind, customer: customer, budget: float64(budget)}, nil
}

// readSearchBody reads the shard requests of a search into parsed. text is the query, sum that of
// their shares.
func (e *Engine) readSearchBody(client *client) (text []byte, sum float64, err error) {
	e.parsed = e.parsed[:0]
	text, sum, err = protocol.ReadSearch(client.parser.Body(), e.config.shards,
		func(shard int, share, work float64, key uint64) {
			e.parsed = append(e.parsed, parsedRequest{shard, share, work, key})
		})
	if err != nil {
		return nil, 0, err
	}
	e.shardMark++
	for _, parsed := range e.parsed {
		if missing := parsed.shard + 1 - len(e.shardMarks); missing > 0 {
			e.shardMarks = append(e.shardMarks, make([]int64, missing)...)
		}
		if e.shardMarks[parsed.shard] == e.shardMark {
			return nil, 0, badRequest("a segment stands there twice")
		}
		e.shardMarks[parsed.shard] = e.shardMark
	}
	return text, sum, nil
}

// printable: what goes into the line of a frame has no spaces and no controls.
func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return true
}

// submitSearch hands a sound search with its drafts to the policy.
func (e *Engine) submitSearch(search *search, kind, customer int, sum float64, key uint64) {
	e.openSearches++
	e.pending += 1 + len(e.parsed)
	search.index = e.newIndex(indexEntry{search: search})
	e.policy.Search(search.index, kind, customer, search.deadline, len(e.parsed))
	for _, parsed := range e.parsed {
		search.usage.work += parsed.work / 1000
		req := &shardRequest{search: search, shard: parsed.shard, id: search.id + "." + strconv.Itoa(parsed.shard)}
		req.index = e.newIndex(indexEntry{request: req})
		search.requests = append(search.requests, req)
		if parsed.key == 0 && key != 0 {
			parsed.key = mixKey(key, parsed.shard)
		}
		e.policy.ShardRequest(search.index, req.index, parsed.shard, parsed.share/sum, parsed.work, parsed.key)
	}
	e.armSearchTimer(search)
}

// mixKey stands for what a search is about and a shard: the same at every aggregator.
func mixKey(key uint64, shard int) uint64 {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), uint64(shard)))
	return h.Sum64()
}

// armSearchTimer has a search ended whatever the policy does.
func (e *Engine) armSearchTimer(search *search) {
	search.timer = e.timers.add(search.deadline+searchOverdueAfter, func(e *Engine) {
		search.timer = e.after(1, func(e *Engine) { // the policy comes first: this turn may be the first after a stall
			if invariant.Check(search.ended, "the module ends a search in its time"); !search.ended {
				e.endSearch(search, 500, 0, nil)
				e.endedSearches = append(e.endedSearches, search)
			}
		})
	})
}

// Answer implements policy.Out: a search is answered from the shard requests that are answered.
func (e *Engine) Answer(at int, allIn bool) {
	search := e.entries[at].search
	search.complete = allIn
	if search.carrier != nil {
		if allIn {
			e.Count.Complete++
		} else {
			e.Count.Partial++
		}
		e.endedSearches = append(e.endedSearches, search)
		e.endSearch(search, 200, 0, nil)
		return
	}
	e.body = protocol.AppendAnswer(e.body[:0], allIn)
	for _, req := range search.requests {
		if req.reported {
			e.body = protocol.AppendMatch(e.body, req.shard, req.value)
		}
	}
	e.body = protocol.EndAnswer(e.body)
	e.endedSearches = append(e.endedSearches, search)
	if len(e.body) > protocol.MaxBody { // no client has to take such a body
		e.Count.TooLong++
		e.log.warn("answer too long", "%d bytes of values", len(e.body))
		e.endSearch(search, 500, 0, nil)
		return
	}
	if allIn {
		e.Count.Complete++
	} else {
		e.Count.Partial++
	}
	e.endSearch(search, 200, 0, e.body)
}

// Shed implements policy.Out: a search is refused, with advice when to ask again (0: none).
func (e *Engine) Shed(at int, comeBack float64) {
	e.Count.Shed++
	e.endSearch(e.entries[at].search, 503, comeBack, nil)
}

// Fail implements policy.Out: a search ends in error.
func (e *Engine) Fail(at int) {
	e.Count.Errored++
	e.endSearch(e.entries[at].search, 500, 0, nil)
}

// endSearch gives a search its one final answer.
func (e *Engine) endSearch(search *search, status int, back float64, body []byte) {
	invariant.Check(!search.ended, "one final answer")
	if search.ended {
		return
	}
	switch {
	case status == 200 && search.complete:
		search.usage.result = Complete
	case status == 200:
		search.usage.result = Partial
	case status == 503:
		search.usage.result = Shed
	default:
		search.usage.result = Failed
	}
	search.usage.bytesOut = int64(len(body))
	e.releaseSearch(search)
	if search.carrier != nil {
		e.answerCarrier(search, status, back)
	} else if client := search.client; client != nil {
		search.client, client.search = nil, nil
		e.respond(client, status, back, body)
	}
}

func (e *Engine) releaseSearch(search *search) {
	search.ended = true
	e.timers.drop(search.timer)
	if search.id != "" {
		delete(e.searchByID, search.id)
	}
	search.usage.answeredAt = e.now
	if len(search.requests) == 0 {
		e.recordUsage(search) // it never came to the policy, which forgets the others
		return
	}
	e.openSearches--
	e.pending--
	for _, req := range search.requests {
		if !req.reported {
			e.pending--
		}
		for _, attempt := range req.attempts {
			// Nobody waits for it: a frame that the network has not begun to take is not to begin.
			if attempt.state == stateSent && attempt.batch != nil && attempt.batch == attempt.batch.conn.lastBatch && e.retractBatch(attempt.batch.conn) {
				e.writeNextBatch(attempt.batch.conn)
			}
		}
	}
}
