package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
)

// ledger notes which requests ran, as the brokers know it.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// streamLength is how many events a complete stream has.
const streamLength = 6

// bodyOf is the one right body of an answer.
func bodyOf(e *exchange) string { return "body of " + e.id() + " to " + e.body }

// faulty is a script that misbehaves in all ways that the tables know, by seeded chance.
func faulty(l *ledger, seed uint64) func(*exchange) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(e *exchange) {
		mu.Lock()
		act, point := random.IntN(14), random.IntN(streamLength)
		mu.Unlock()
		switch {
		case act < 3:
			e.reject([]int{503, 429, 503}[act])
			return
		case act == 3:
			e.close() // read, not run
			return
		}
		l.ran(e.id())
		switch act {
		case 4:
			e.reset()
		case 5:
			e.answer(500, "broken")
		case 6:
			e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 1000\r\n\r\nhalf")
			e.close()
		case 7:
			e.write("\x00garbage\r\n\r\n")
			e.close()
		case 8:
			e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": stranger\r\n" + headerSeal + ": s\r\nContent-Length: 2\r\n\r\nno")
			serveFaulty(e, streamLength+1)
		case 9:
			serveFaulty(e, point)
		case 10:
			serveFaulty(e, streamLength+1)
			e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 3\r\n\r\nbad")
		default:
			serveFaulty(e, streamLength+1)
		}
	}
}

// serveFaulty answers well up to an event of a stream, behind which it breaks off.
func serveFaulty(e *exchange, truncateAfter int) {
	if !strings.HasPrefix(e.request.URL.Path, "/stream/") && !strings.HasPrefix(e.request.URL.Path, "/resumable/") {
		e.answer(200, bodyOf(e))
		return
	}
	after, _ := strconv.Atoi(e.request.Header.Get("Last-Event-Id"))
	e.streamHead()
	for id := after + 1; id <= streamLength; id++ {
		if id > truncateAfter {
			e.chunk("id: " + strconv.Itoa(id) + "\nda")
			e.close()
			return
		}
		e.event(id)
	}
	e.endStream()
}

// carelessPort is a router that asks for attempts and copies by chance, whatever became of those before. The proxy has to
// hold the rules all the same.
type carelessPort struct {
	scriptedRouter
	lock     sync.Mutex
	random   *rand.Rand
	brokers  []*broker
	requests map[routing.RequestID]int // attempts
	last     routing.RequestID
}

const carelessAttempts = 4

func newCarelessPort(brokers []*broker) *carelessPort {
	port := &carelessPort{random: rand.New(rand.NewPCG(7, 7)), brokers: brokers, requests: map[routing.RequestID]int{}}
	port.endings = make(chan struct{}, 1000)
	return port
}

func (p *carelessPort) choose(id routing.RequestID) routing.Decision {
	number, known := p.requests[id]
	if !known || number >= carelessAttempts {
		return routing.Decision{Refusal: &routing.Refusal{RetryAfter: time.Millisecond}}
	}
	p.requests[id]++
	attempt := &routing.Attempt{Request: id, Number: number, HedgeAt: core.Never}
	attempt.Instance = p.brokers[p.random.IntN(len(p.brokers))].instance
	if p.random.IntN(2) == 0 {
		attempt.HedgeAt = 0
	}
	return routing.Decision{Attempt: attempt}
}

func (p *carelessPort) Begin(core.Time, routing.Request) (routing.RequestID, routing.Decision) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.last++
	p.requests[p.last] = 0
	return p.last, p.choose(p.last)
}

func (p *carelessPort) Hedge(_ core.Time, id routing.RequestID) routing.Decision {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.choose(id)
}

func (p *carelessPort) AnswerStarted(core.Time, routing.RequestID, int, *routing.Load) {}

func (p *carelessPort) AttemptEnded(_ core.Time, id routing.RequestID, _ int, outcome routing.Outcome, _ bool) routing.Decision {
	p.lock.Lock()
	defer p.lock.Unlock()
	if outcome.Answered {
		return routing.Decision{}
	}
	return p.choose(id)
}

func (p *carelessPort) End(_ core.Time, id routing.RequestID) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.requests, id)
	p.endings <- struct{}{}
}

// TestInvariantsHoldWhileAllBrokersAreFaulty: many clients, kept connections to brokers that misbehave in all known ways, and a careless
// router. What must hold for each request holds for each.
func TestInvariantsHoldWhileAllBrokersAreFaulty(t *testing.T) {
	const clients, requests = 8, 60
	l := &ledger{runs: map[string]int{}}
	var brokers []*broker
	for i := range 4 {
		brokers = append(brokers, newBroker(t, fmt.Sprintf("i-%d", i), faulty(l, uint64(i)+1)))
	}
	port := newCarelessPort(brokers)
	w := newWorld(t, newScriptedRouter(), func(_ *world, options *Options) { options.Router = port })
	var wait sync.WaitGroup
	var served [4]int
	var mu sync.Mutex
	for number := range clients {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(uint64(number), 2))
			for request := range requests {
				kind := random.IntN(4)
				path := []string{"/unsafe/a", "/safe/a", "/stream/a", "/resumable/a"}[kind]
				id := fmt.Sprintf("r-%d-%d", number, request)
				text := "text of " + id
				got := w.do(post(path, id, text))
				checkAnswer(t, l, path, id, text, got)
				if got.StatusCode == 200 && got.bodyErr == nil {
					mu.Lock()
					served[kind]++
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	for kind, count := range served {
		assert.Assert(t, count > 0, "kind %d was never served", kind)
	}
	// A client has its answer before the attempts that lost against it have ended, and a connection for one that was called off
	// may still be coming up.
	port.awaitEnds(t, clients*requests)
	metrics := w.proxy.Metrics()
	assert.Equal(t, metrics.Requests, uint64(clients*requests))
	assert.Equal(t, metrics.ConnectionsOpen, metrics.ConnectionsIdle+metrics.ConnectionsAbandoned)
}

func checkAnswer(t *testing.T, l *ledger, path, id, text string, got reply) {
	t.Helper()
	runs := l.count(id)
	once := path == "/unsafe/a" || path == "/stream/a"
	check := func(holds bool, rule string) {
		if !holds {
			t.Errorf("%s: %s %s: status %d, %d runs, body %q (%v)", rule, path, id, got.StatusCode, runs, got.body, got.bodyErr)
		}
	}
	check(!once || runs <= 1, "TWICE")
	check(got.StatusCode != http.StatusServiceUnavailable || runs == 0, "REFUSED")
	check(got.Header.Get(headerRequestID) == id, "answer to another request")
	sealed := got.Header.Get(headerSeal)
	switch got.StatusCode {
	case 200:
		check(sealed == "seal."+id, "MIXED")
		complete := "body of " + id + " to " + text
		if once && path == "/stream/a" || path == "/resumable/a" {
			complete = events(1, streamLength)
		}
		check(strings.HasPrefix(complete, got.body), "ORDER")
		check(got.bodyErr != nil || got.body == complete, "incomplete, but looks complete")
	case 500:
		check(sealed == "seal."+id && got.body == "broken", "MIXED")
	case 502, 503, 504:
		check(sealed == "", "MIXED")
	default:
		check(false, "unexpected status")
	}
}
