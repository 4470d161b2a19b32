package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// Source of this file: PROTOCOL.md, "Requests" and "Answers".

// client sends one request after the other, and keeps a connection between them, or not.
type client struct {
	load   *Load
	number int
	zone   string
	keeps  bool
	random *mathrand.Rand
	kept   *connection
}

// mostTries is how often a client sends a request.
const mostTries = 4

// clientSlack is how long beyond its deadline a client waits for the rest of an answer.
const clientSlack = time.Second

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.drop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		c.send(c.load.plan(c.random))
		timer.Reset(time.Duration(c.random.Float64() * 2 * float64(c.load.Pause)))
	}
}

func (c *client) drop() {
	if c.kept != nil {
		_ = c.kept.Close()
		c.kept = nil
	}
}

// planned is a request that is to be sent, in as many tries as it takes.
type planned struct {
	kind     Kind
	prefix   string
	key      string
	deadline time.Duration
	aim      time.Duration
	gap      time.Duration
	request  request // without the headers that differ from try to try
}

// send makes tries until one settles the request.
func (c *client) send(p planned) {
	started := time.Now()
	phase := c.load.Book.currentPhase()
	until := started.Add(p.deadline)
	for try := range mostTries {
		record := c.try(p, started, until, try)
		record.Phase = phase
		c.load.Book.add(record)
		if !c.mayRetry(&record) || !c.wait(until, record.askedToWait) {
			return
		}
	}
}

// wait waits before another try, and reports whether there is time for one.
func (c *client) wait(until time.Time, asked time.Duration) bool {
	left := time.Until(until)
	if left < minimalTime {
		return false
	}
	timer := time.NewTimer(min(max(asked, minimalPause), left/3))
	defer timer.Stop()
	<-timer.C
	return true
}

const (
	minimalTime  = 50 * time.Millisecond
	minimalPause = 10 * time.Millisecond
)

// mayRetry reports whether a client sends a request once more.
func (c *client) mayRetry(r *Record) bool {
	switch r.Outcome {
	case Answered, Denied:
		return false
	case Refused, Unsent:
		return true
	case Closed:
		return r.idempotent() || len(c.load.fleet.Ledger.Of(r.ID)) == 0 && r.EndedAt.Sub(r.SentAt) < c.load.fleet.options.Bounds.LossSlack
	default:
		return r.idempotent()
	}
}

func newID() string {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err) // the system's source of randomness does not fail on Linux
	}
	return hex.EncodeToString(bytes[:])
}

// try sends a request once.
func (c *client) try(p planned, started, until time.Time, number int) Record {
	record := Record{
		ID: newID(), Kind: p.kind, Prefix: p.prefix, Method: p.request.method, URI: p.request.uri, Key: p.key,
		Try: number, FirstTry: started, Outcome: Unsent,
	}
	conn := c.connection(number)
	if conn == nil {
		return ended(record)
	}
	record.Node, record.KeptAlive = conn.node.Name, conn.served > 0
	sending := p.request
	left := time.Until(until)
	sending.headers = append([]header{
		{llmbroker.HeaderRequestID, record.ID},
		{llmbroker.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
		{"Authorization", "Bearer " + p.key},
	}, sending.headers...)
	answer, sentAt, err := conn.exchange(&sending, until.Add(clientSlack))
	record.SentAt = sentAt
	if err != nil {
		_ = conn.Close()
		if !sentAt.IsZero() {
			record.Outcome = Closed
		}
		return ended(record)
	}
	c.read(conn, answer, p, &sending, &record)
	return ended(record)
}

func ended(r Record) Record {
	r.EndedAt = time.Now()
	return r
}

// connection takes the kept connection for a first try, or opens one.
func (c *client) connection(try int) *connection {
	kept := c.kept
	c.kept = nil
	if try == 0 && kept.usable(time.Now()) {
		return kept
	}
	if kept != nil {
		_ = kept.Close()
	}
	conn, err := connect(c.load.fleet.platform.pick(c.zone, c.number, try))
	if err != nil {
		return nil
	}
	return conn
}

// read reads an answer and keeps the connection where that may be.
func (c *client) read(conn *connection, answer *http.Response, p planned, sent *request, record *Record) {
	record.Status = answer.StatusCode
	record.Outcome = outcomeOf(answer.StatusCode)
	if id := answer.Header.Get(llmbroker.HeaderRequestID); record.Outcome == Answered && id != record.ID {
		record.Problem = fmt.Sprintf("MIXED: the answer to %q came", id)
	}
	var err error
	if record.Outcome == Answered && p.kind == Streaming {
		stream := &streamReader{record: record, request: sent, started: record.FirstTry, aim: p.aim, gap: p.gap}
		err = stream.read(answer)
	} else {
		var problem string
		problem, err = checkWhole(answer)
		if record.Problem == "" {
			record.Problem = problem
		}
		record.Late = record.Outcome == Answered && time.Since(record.FirstTry) > p.aim
	}
	if err != nil {
		record.Outcome = Closed
		_ = conn.Close()
		return
	}
	record.askedToWait = retryAfter(answer)
	if conn.rest(answer) && c.keeps && record.Outcome == Answered {
		c.kept = conn
		return
	}
	_ = conn.Close()
}

func outcomeOf(status int) Outcome {
	switch {
	case status/100 == 2:
		return Answered
	case status == 408, status == 421, status == 429, status == 503:
		return Refused
	case status >= 500:
		return Failed
	default:
		return Denied
	}
}

func retryAfter(answer *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(answer.Header.Get(llmbroker.HeaderRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
