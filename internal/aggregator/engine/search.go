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
	searchOverdueDelay = 15               // ms after a search's deadline; the policy has answered long before
	maxIDBytes         = 128              // also of idempotency keys
	maxBudget          = 24 * 3600 * 1000 // ms; one day
)

// search is a client's search, from its arrival until the policy forgets it.
type search struct {
	index     int    // the policy's index
	id        string // empty for a search of a further front end
	query     []byte
	token     []byte  // the client's idempotency key
	deadline  float64 // ms of the loop
	client    *client // nil once it has its answer or has disconnected
	requests  []*shardRequest
	ended     bool          // it has its final answer, or its client has gone
	forgotten bool          // the policy has released its index
	timer     *timer        // ends the search if the policy does not
	handler   SearchHandler // nil for a search of an HTTP client
	usage     usageRecord
	metered   bool // its usage has been recorded
	complete  bool // the policy has answered it with a complete answer
}

// shardRequest is the part of a search that one shard answers.
type shardRequest struct {
	index    int // the policy's index
	search   *search
	id       string // unique among open searches; identifies the request in frames
	shard    int
	attempts []*attempt
	value    []byte
	hasValue bool // value has been received
	reported bool // the policy knows that value has been received
}

// parsedRequest is a shard request that was read from a body. The rest of the body may still be
// invalid.
type parsedRequest struct {
	shard       int
	share, work float64
	key         uint64
}

// searchHead holds what a search's headers say. Its byte slices refer to the request's storage and
// are valid until releaseRequest.
type searchHead struct {
	id, token           []byte
	queryType, customer int
	budget              float64 // ms from the request's arrival until the client gives up
}

// acceptSearch starts the search of a request, after all of the request has been validated.
func (e *Engine) acceptSearch(client *client, receivedAt float64) error {
	head, err := e.readSearchHead(client)
	if err != nil {
		return err
	}
	query, totalShare, err := e.readSearchBody(client)
	if err != nil {
		return err
	}
	e.Counters.Searches++
	search := &search{
		id:    string(head.id),
		query: append([]byte(nil), query...),
		token: append([]byte(nil), head.token...),
		// During a shutdown, a new search must end before the process is killed.
		deadline: min(receivedAt+head.budget, e.killAt-answerBeforeKill),
		client:   client,
		usage:    usageRecord{queryType: head.queryType, customer: head.customer, bytesIn: int64(len(client.parser.Body()))},
	}
	client.search = search
	e.searchByID[search.id] = search
	if e.pendingLimitReached() {
		e.Counters.OverPendingLimit++
		e.releaseRequest(client)
		e.endSearch(search, 503, e.policy.RetryAfter(head.queryType), nil)
		return nil
	}
	key := protocol.ParseAffinityKey(client.parser.Cookie("k"))
	again, count := client.parser.Header("x-again")
	isRetry := count == 1 && string(again) == "1"
	e.releaseRequest(client)
	e.submitSearch(search, head.queryType, head.customer, totalShare, key)
	if isRetry {
		e.policy.MarkRetry(search.index)
	}
	return nil
}

// pendingLimitReached reports whether so much is pending that no further search is passed to the policy.
func (e *Engine) pendingLimitReached() bool {
	return e.config.maxPending > 0 && e.pendingCount >= e.config.maxPending
}

// readSearchHead reads and validates the headers of a search.
func (e *Engine) readSearchHead(client *client) (head searchHead, err error) {
	id, ids := client.parser.Header("x-call-id")
	class, classes := client.parser.Header("x-call-class")
	budgetText, budgets := client.parser.Header("x-budget-ms")
	budget, badBudget := strconv.ParseUint(string(budgetText), 10, 32)
	queryType, known := e.config.queryTypes[string(class)]
	switch {
	case ids != 1 || len(id) == 0 || len(id) > maxIDBytes || !printable(id):
		return head, badRequest("no id")
	case classes != 1 || !known:
		return head, badRequest("no known query type")
	case e.config.twoPhase[queryType]:
		// An answer from the first phase alone would be below the minimum share, or be marked as
		// complete although it is not.
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
	return searchHead{id: id, token: token, queryType: queryType, customer: customer, budget: float64(budget)}, nil
}

// readSearchBody reads the shard requests of a search into e.parsedRequests. It returns the query text and
// the sum of the shard requests' shares.
func (e *Engine) readSearchBody(client *client) (query []byte, totalShare float64, err error) {
	e.parsedRequests = e.parsedRequests[:0]
	query, totalShare, err = protocol.ParseSearch(client.parser.Body(), e.config.shards,
		func(shard int, share, work float64, key uint64) {
			e.parsedRequests = append(e.parsedRequests, parsedRequest{shard, share, work, key})
		})
	if err != nil {
		return nil, 0, err
	}
	e.searchSequence++
	for _, parsed := range e.parsedRequests {
		if missing := parsed.shard + 1 - len(e.lastSearchOfShard); missing > 0 {
			e.lastSearchOfShard = append(e.lastSearchOfShard, make([]int64, missing)...)
		}
		if e.lastSearchOfShard[parsed.shard] == e.searchSequence {
			return nil, 0, badRequest("a segment stands there twice")
		}
		e.lastSearchOfShard[parsed.shard] = e.searchSequence
	}
	return query, totalShare, nil
}

// printable reports whether b consists of printable ASCII characters other than the space. Ids and
// tokens are written into the text line of a frame, where spaces and control characters are not
// allowed.
func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return true
}

// submitSearch passes a validated search and the shard requests in e.parsedRequests to the policy. key is
// the hash of the search's subject, or 0.
func (e *Engine) submitSearch(search *search, queryType, customer int, totalShare float64, key uint64) {
	e.openSearches++
	e.pendingCount += 1 + len(e.parsedRequests)
	search.index = e.newIndex(indexEntry{search: search})
	e.policy.AddSearch(search.index, queryType, customer, search.deadline, len(e.parsedRequests))
	for _, parsed := range e.parsedRequests {
		search.usage.work += parsed.work / 1000
		req := &shardRequest{search: search, shard: parsed.shard, id: search.id + "." + strconv.Itoa(parsed.shard)}
		req.index = e.newIndex(indexEntry{request: req})
		search.requests = append(search.requests, req)
		if parsed.key == 0 && key != 0 {
			parsed.key = shardKey(key, parsed.shard)
		}
		e.policy.AddShardRequest(search.index, req.index, parsed.shard, parsed.share/totalShare, parsed.work, parsed.key)
	}
	e.armSearchTimer(search)
}

// shardKey returns a hash of a search's key and a shard. It is the same on every aggregator.
func shardKey(key uint64, shard int) uint64 {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, key), uint64(shard)))
	return h.Sum64()
}

// armSearchTimer makes sure that a search ends even if the policy fails to end it.
func (e *Engine) armSearchTimer(search *search) {
	search.timer = e.timers.add(search.deadline+searchOverdueDelay, func(e *Engine) {
		search.timer = e.afterFunc(1, func(e *Engine) { // the policy decides first: this turn may be the first one after a stall
			if invariant.Check(search.ended, "the policy ends a search by its deadline"); !search.ended {
				e.endSearch(search, 500, 0, nil)
				e.endedSearches = append(e.endedSearches, search)
			}
		})
	})
}

// Answer implements policy.Executor. It answers a search from the shard requests that have a reply;
// complete says whether the answer is complete.
func (e *Engine) Answer(index int, complete bool) {
	search := e.entries[index].search
	search.complete = complete
	if search.handler != nil {
		if complete {
			e.Counters.Complete++
		} else {
			e.Counters.Partial++
		}
		e.endedSearches = append(e.endedSearches, search)
		e.endSearch(search, 200, 0, nil)
		return
	}
	e.answerBuffer = protocol.BeginAnswer(e.answerBuffer[:0], complete)
	for _, req := range search.requests {
		if req.reported {
			e.answerBuffer = protocol.AppendMatch(e.answerBuffer, req.shard, req.value)
		}
	}
	e.answerBuffer = protocol.EndAnswer(e.answerBuffer)
	e.endedSearches = append(e.endedSearches, search)
	if len(e.answerBuffer) > protocol.MaxBody { // clients need not accept a larger body
		e.Counters.AnswersTooLong++
		e.log.warn("answer too long", "search %q: %d bytes, at most %d are allowed", search.id, len(e.answerBuffer), protocol.MaxBody)
		e.endSearch(search, 500, 0, nil)
		return
	}
	if complete {
		e.Counters.Complete++
	} else {
		e.Counters.Partial++
	}
	e.endSearch(search, 200, 0, e.answerBuffer)
}

// Shed implements policy.Executor. It refuses a search; retryAfter is advice for the client's retry in
// milliseconds, 0: none.
func (e *Engine) Shed(index int, retryAfter float64) {
	e.Counters.Shed++
	e.endSearch(e.entries[index].search, 503, retryAfter, nil)
}

// Fail implements policy.Executor. It ends a search with an error.
func (e *Engine) Fail(index int) {
	e.Counters.Errored++
	e.endSearch(e.entries[index].search, 500, 0, nil)
}

// endSearch ends a search and delivers its one final answer. status is an HTTP status code;
// retryAfter is in milliseconds, 0: none.
func (e *Engine) endSearch(search *search, status int, retryAfter float64, body []byte) {
	invariant.Check(!search.ended, "a search gets one final answer")
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
	if search.handler != nil {
		e.answerFrontend(search, status, retryAfter)
	} else if client := search.client; client != nil {
		search.client, client.search = nil, nil
		e.respond(client, status, retryAfter, body)
	}
}

// releaseSearch marks a search as ended and releases what it holds. Frames with its attempts that
// the network has not begun to send are retracted.
func (e *Engine) releaseSearch(search *search) {
	search.ended = true
	e.timers.cancel(search.timer)
	if search.id != "" {
		delete(e.searchByID, search.id)
	}
	search.usage.answeredAt = e.now
	if len(search.requests) == 0 {
		e.recordUsage(search) // the policy never knew it, so it does not call ReleaseSearch for it
		return
	}
	e.openSearches--
	e.pendingCount--
	for _, req := range search.requests {
		if !req.reported {
			e.pendingCount--
		}
		for _, attempt := range req.attempts {
			// Nobody waits for the attempt any more: a frame that the network has not begun to send
			// must not begin.
			if attempt.state == stateSent && attempt.batch != nil && attempt.batch == attempt.batch.conn.lastBatch &&
				e.retractBatch(attempt.batch.conn) {
				e.writeNextBatch(attempt.batch.conn)
			}
		}
	}
}
