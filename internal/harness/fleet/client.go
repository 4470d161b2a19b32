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

// client sends one request after another. It may keep a connection between them.
type client struct {
	load            *Load
	number          int
	zone            string
	keepsConnection bool
	public          bool // requests are for the public route, and have no key
	random          *mathrand.Rand
	keptConnection  *connection
}

// maxAttempts bounds how often a client sends a request.
const maxAttempts = 4

// responseSlack is how long after its deadline a client still waits for the rest of an answer.
const responseSlack = time.Second

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.closeKept()
	draw := c.load.drawRequest
	if c.public {
		draw = c.load.drawPublicRequest
	}
	repeat(ctx, c.random, c.load.Interval, func() { c.send(draw(c.random)) })
}

// repeat calls send at once and again after random pauses, until ctx ends. interval is their mean.
func repeat(ctx context.Context, random *mathrand.Rand, interval time.Duration, send func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		send()
		timer.Reset(time.Duration(random.Float64() * 2 * float64(interval)))
	}
}

func (c *client) closeKept() {
	if c.keptConnection != nil {
		_ = c.keptConnection.Close()
		c.keptConnection = nil
	}
}

// plannedRequest is a request to be sent, in several attempts if need be.
type plannedRequest struct {
	kind          RequestKind
	prefix        string
	key           string
	deadline      time.Duration
	latencyTarget time.Duration
	gapTarget     time.Duration
	request       request // without the headers that differ between attempts
}

// send makes attempts until one ends the request.
func (c *client) send(p plannedRequest) {
	started := time.Now()
	phase := c.load.Attempts.currentPhase()
	until := started.Add(p.deadline)
	for number := range maxAttempts {
		attempt := c.attempt(p, started, until, number)
		attempt.Phase = phase
		c.load.Attempts.add(attempt)
		if !c.mayRetry(&attempt) || !c.awaitRetry(until, attempt.retryAfter) {
			return
		}
	}
}

// sendOnce makes one attempt, on the kept connection if there is one, and returns how it ended.
func (c *client) sendOnce(p plannedRequest) Outcome {
	started := time.Now()
	attempt := c.attempt(p, started, started.Add(p.deadline), 0)
	attempt.Phase = probePhase
	c.load.Attempts.add(attempt)
	return attempt.Outcome
}

// awaitRetry waits before a retry, and reports whether there is time for one.
func (c *client) awaitRetry(until time.Time, requested time.Duration) bool {
	left := time.Until(until)
	if left < minRetryTime {
		return false
	}
	timer := time.NewTimer(min(max(requested, minRetryBackoff), left/3))
	defer timer.Stop()
	<-timer.C
	return true
}

// Bounds of retries.
const (
	minRetryTime    = 50 * time.Millisecond
	minRetryBackoff = 10 * time.Millisecond
)

// mayRetry reports whether a client retries a request.
func (c *client) mayRetry(r *Attempt) bool {
	switch r.Outcome {
	case Answered, ClientError:
		return false
	case Rejected, Unsent:
		return true
	case ConnectionClosed:
		return r.idempotent() || len(c.load.fleet.ArrivalLog.OfRequest(r.ID)) == 0 && r.EndedAt.Sub(r.SentAt) < c.load.fleet.options.Bounds.LossSlack
	default:
		return r.idempotent()
	}
}

// newID is a random request ID.
func newID() string {
	var bytes [8]byte
	if _, err := rand.Read(bytes[:]); err != nil {
		panic(err) // the system's source of randomness does not fail on Linux
	}
	return hex.EncodeToString(bytes[:])
}

// attempt sends a request once, and returns the record of that.
func (c *client) attempt(p plannedRequest, started, until time.Time, number int) Attempt {
	attempt := Attempt{
		ID: newID(), Kind: p.kind, Prefix: p.prefix, Method: p.request.method, URI: p.request.uri, Key: p.key,
		Number: number, FirstAttemptAt: started, Outcome: Unsent,
	}
	conn := c.connection(number)
	if conn == nil {
		return withEnd(attempt)
	}
	attempt.Node, attempt.KeptAlive = conn.node.Name, conn.requestCount > 0
	sending := p.request
	left := time.Until(until)
	sending.headers = append(append([]header{
		{llmbroker.HeaderRequestID, attempt.ID},
		{llmbroker.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
	}, authorization(p.key)...), sending.headers...)
	answer, sentAt, err := conn.exchange(&sending, until.Add(responseSlack))
	attempt.SentAt = sentAt
	if err != nil {
		_ = conn.Close()
		if !sentAt.IsZero() {
			attempt.Outcome = ConnectionClosed
		}
		return withEnd(attempt)
	}
	c.read(conn, answer, p, &sending, &attempt)
	return withEnd(attempt)
}

// authorization is the header with an API key; none where that is empty.
func authorization(key string) []header {
	if key == "" {
		return nil
	}
	return []header{{"Authorization", "Bearer " + key}}
}

// withEnd sets the end of an attempt to now.
func withEnd(r Attempt) Attempt {
	r.EndedAt = time.Now()
	return r
}

// connection takes the kept connection for a first attempt, or opens one.
func (c *client) connection(number int) *connection {
	kept := c.keptConnection
	c.keptConnection = nil
	if number == 0 && kept.usable(time.Now()) {
		return kept
	}
	if kept != nil {
		_ = kept.Close()
	}
	conn, err := connect(c.load.fleet.platform.pickNode(c.zone, c.number, number))
	if err != nil {
		return nil
	}
	return conn
}

// read reads an answer, and keeps the connection if that is allowed.
func (c *client) read(conn *connection, answer *http.Response, p plannedRequest, sent *request, attempt *Attempt) {
	attempt.Status = answer.StatusCode
	attempt.Outcome = outcomeOf(answer.StatusCode)
	if id := answer.Header.Get(llmbroker.HeaderRequestID); attempt.Outcome == Answered && id != attempt.ID {
		attempt.Defect = fmt.Sprintf("MIXED: the answer to %q came", id)
	}
	var err error
	if attempt.Outcome == Answered && p.kind == Streaming {
		stream := &streamReader{attempt: attempt, request: sent, firstAttemptAt: attempt.FirstAttemptAt, latencyTarget: p.latencyTarget, gapTarget: p.gapTarget}
		err = stream.read(answer)
	} else {
		var defect string
		defect, err = checkBody(answer)
		if attempt.Defect == "" {
			attempt.Defect = defect
		}
		attempt.Late = attempt.Outcome == Answered && time.Since(attempt.FirstAttemptAt) > p.latencyTarget
	}
	if err != nil {
		attempt.Outcome = ConnectionClosed
		_ = conn.Close()
		return
	}
	attempt.retryAfter = parseRetryAfter(answer)
	if conn.finishExchange(answer) && c.keepsConnection && (attempt.Outcome == Answered || attempt.Outcome == ClientError) {
		c.keptConnection = conn
		return
	}
	_ = conn.Close()
}

// outcomeOf is the outcome of a complete answer.
func outcomeOf(status int) Outcome {
	switch {
	case status/100 == 2:
		return Answered
	case status == 408, status == 421, status == 429, status == 503:
		return Rejected
	case status >= 500:
		return ServerError
	default:
		return ClientError
	}
}

// parseRetryAfter is the backoff that an answer asks for; 0: none.
func parseRetryAfter(answer *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(answer.Header.Get(llmbroker.HeaderRetryAfter), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
