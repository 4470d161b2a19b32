package fleet

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// Clients that leave: they close their connections while brokers work.
const (
	leavingClientCount = 4
	leavingStream      = 11 // of their random sources
	// leavingInterval is the mean time between two requests of one of them.
	leavingInterval = 900 * time.Millisecond
	// minStay and maxStay bound how long they wait for an answer; the brokers of their route take slowServiceTime.
	minStay = 50 * time.Millisecond
	maxStay = 400 * time.Millisecond
	// stayShare: one client in so many waits for its answer.
	stayShare = 4
)

// leavingClient sends one request after another on the route of the slow brokers, and leaves before most of the answers.
type leavingClient struct {
	load   *Load
	number int
	random *rand.Rand
}

// run sends requests until ctx ends.
func (c *leavingClient) run(ctx context.Context) {
	repeat(ctx, c.random, leavingInterval, func() { c.send(c.drawStay()) })
}

// drawStay draws how long the client waits for an answer; 0: until it comes.
func (c *leavingClient) drawStay() time.Duration {
	if c.random.IntN(stayShare) == 0 {
		return 0
	}
	return minStay + time.Duration(c.random.Int64N(int64(maxStay-minStay)))
}

// send sends one request, and closes the connection after stay; 0: after the answer.
func (c *leavingClient) send(stay time.Duration) {
	p := routeRequest(prefixReport)
	p.request.uri = prefixReport + strconv.FormatUint(c.random.Uint64(), 36)
	p.deadline = 3 * time.Second
	attempt := Attempt{
		ID: newID(), Kind: p.kind, Prefix: p.prefix, Method: p.request.method, URI: p.request.uri,
		FirstAttemptAt: time.Now(), Outcome: Unsent, Phase: probePhase,
	}
	defer func() { c.load.Attempts.add(withEnd(attempt)) }()
	conn, err := connect(c.load.fleet.platform.pickNode(Zones[c.number%len(Zones)], c.number, 0))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	attempt.Node = conn.node.Name
	p.request.headers = []header{
		{llmbroker.HeaderRequestID, attempt.ID},
		{llmbroker.HeaderDeadline, strconv.FormatInt(p.deadline.Milliseconds(), 10)},
	}
	limit := p.deadline + responseSlack
	if stay > 0 {
		limit = stay
	}
	answer, sentAt, err := conn.exchange(&p.request, attempt.FirstAttemptAt.Add(limit))
	attempt.SentAt = sentAt
	switch {
	case sentAt.IsZero():
	case err == nil:
		attempt.Status, attempt.Outcome = answer.StatusCode, outcomeOf(answer.StatusCode)
		if attempt.Defect, err = checkBody(answer); err != nil {
			attempt.Outcome = ConnectionClosed
		}
	case stay > 0 && isTimeout(err):
		attempt.Outcome = Left
	default:
		attempt.Outcome = ConnectionClosed
	}
}
