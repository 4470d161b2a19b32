package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/llmbroker"
)

// Load is the clients of the fleet, and what they record.
type Load struct {
	Attempts *AttemptLog
	Interval time.Duration // mean time between two requests of a client
	fleet    *Fleet
	apiKeys  []string
	clients  sync.WaitGroup
	cancel   context.CancelFunc
	stopOnce sync.Once
}

// clientCount is the number of concurrent clients, publicClientCount that of those without keys in fleets with clients that leave.
const (
	clientCount       = 24
	publicClientCount = 8
	publicStream      = 17 // of their random sources
)

// StartLoad starts clients that send requests of the three kinds until Stop.
func (f *Fleet) StartLoad(interval time.Duration) *Load {
	load := &Load{Attempts: &AttemptLog{}, Interval: interval, fleet: f, apiKeys: []string{keyShared, keyIsolated, keyLater}}
	ctx, end := context.WithCancel(f.lifetime)
	load.cancel = end
	for i := range clientCount {
		c := &client{
			load: load, number: i, zone: Zones[i%len(Zones)], keepsConnection: i%3 != 0,
			random: rand.New(rand.NewPCG(uint64(i), 7)),
		}
		load.clients.Go(func() { c.run(ctx) })
	}
	if f.options.LeavingClients {
		for i := range publicClientCount {
			c := &client{
				load: load, number: i, zone: Zones[i%len(Zones)], keepsConnection: i%2 == 0, public: true,
				random: rand.New(rand.NewPCG(uint64(i), publicStream)),
			}
			load.clients.Go(func() { c.run(ctx) })
		}
		for i := range leavingClientCount {
			c := &leavingClient{load: load, number: i, random: rand.New(rand.NewPCG(uint64(i), leavingStream))}
			load.clients.Go(func() { c.run(ctx) })
		}
	}
	return load
}

// Stop ends the clients, after their requests in flight. Where some of them leave, it returns once brokers must have been called off,
// so that the last ones are judged by what brokers did then.
func (l *Load) Stop() {
	l.cancel()
	l.clients.Wait()
	if l.fleet.options.LeavingClients {
		l.stopOnce.Do(func() { time.Sleep(calledOffBound) })
	}
}

// AwaitAnswers waits until count more requests of each kind were answered.
func (l *Load) AwaitAnswers(ctx context.Context, count int) error {
	previous := len(l.Attempts.All())
	return l.fleet.Await(ctx, "answers to clients", func(context.Context) error {
		var answered [requestKinds]int
		for _, attempt := range l.Attempts.All()[previous:] {
			if attempt.Outcome == Answered {
				answered[attempt.Kind]++
			}
		}
		for kind, got := range answered {
			if got < count {
				return fmt.Errorf("%d %s requests are answered of %d", got, RequestKind(kind), count)
			}
		}
		return nil
	})
}

// The shape of prompts: tokens that many share, tokens of one session, and generated events.
const (
	sharedTokens  = 1200
	sessionTokens = 400
	sharedPrompts = 4
	maxEvents     = 40
)

// drawRequest draws a request at random.
func (l *Load) drawRequest(random *rand.Rand) plannedRequest {
	prefix := [...]string{prefixLookup, prefixPrint, prefixDraft, prefixPrint, prefixVerdict, prefixLookup}[random.IntN(6)]
	p := routeRequest(prefix)
	p.key = l.apiKeys[random.IntN(len(l.apiKeys))]
	name := strconv.FormatUint(random.Uint64(), 36)
	p.request.uri = prefix + name + "?q=" + strconv.Itoa(random.IntN(1000))
	if p.kind == Streaming {
		p.request.headers = promptHeaders(random)
	}
	if p.request.method != http.MethodGet {
		p.request.body = []byte(strings.Repeat(name+" ", 1+random.IntN(60)))
	}
	return p
}

// drawPublicRequest draws a request on a public route, without a key.
func (l *Load) drawPublicRequest(random *rand.Rand) plannedRequest {
	p := routeRequest(prefixStatus)
	p.request.uri = prefixStatus + strconv.FormatUint(random.Uint64(), 36)
	return p
}

// routeRequest is what the requests of a route have in common.
func routeRequest(prefix string) plannedRequest {
	r := route(prefix)
	p := plannedRequest{
		prefix: prefix, deadline: 1500 * time.Millisecond, request: request{method: http.MethodPost},
		latencyTarget: time.Duration(r.TargetLatencyMs) * time.Millisecond, gapTarget: time.Duration(r.GapTargetMs) * time.Millisecond,
	}
	switch r.Kind {
	case config.KindUnsafe:
		p.kind = Unsafe
	case config.KindStreaming:
		p.kind, p.deadline = Streaming, 6*time.Second
	default:
		p.request.method = http.MethodGet
	}
	return p
}

// promptHeaders describe a prompt with a shared prefix.
func promptHeaders(random *rand.Rand) []header {
	events := 1 + random.IntN(maxEvents)
	parts := fmt.Sprintf("%x:%d,%x:%d", 0xabc0+random.IntN(sharedPrompts), sharedTokens, random.Uint32(), sessionTokens)
	return []header{
		{llmbroker.HeaderModel, modelName},
		{llmbroker.HeaderTokenCount, fmt.Sprintf("%d,%d", sharedTokens+sessionTokens, events)},
		{llmbroker.HeaderPromptPrefix, parts},
	}
}

// Probe sends one request on a safe route with an API key, or none if that is empty, to one node, and returns the status; 0: no answer.
func (l *Load) Probe(node *Node, prefix, key string) int {
	p := routeRequest(prefix)
	p.request.uri = prefix + "probe"
	p.key = key
	conn, err := connect(node)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	attempt := Attempt{ID: newID(), Prefix: prefix, Method: p.request.method, URI: p.request.uri, Key: key, Node: node.Name,
		FirstAttemptAt: time.Now(), Phase: probePhase}
	p.request.headers = append([]header{{llmbroker.HeaderRequestID, attempt.ID},
		{llmbroker.HeaderDeadline, strconv.FormatInt(p.deadline.Milliseconds(), 10)}}, authorization(key)...)
	answer, sentAt, err := conn.exchange(&p.request, time.Now().Add(p.deadline))
	attempt.SentAt = sentAt
	if err == nil {
		attempt.Status = answer.StatusCode
		attempt.Outcome = outcomeOf(answer.StatusCode)
		attempt.Defect, err = checkBody(answer)
	}
	if err != nil {
		attempt.Outcome = ConnectionClosed
	}
	l.Attempts.add(withEnd(attempt))
	return attempt.Status
}

// ProbeKey sends one request with an API key to one node, as Probe does, on a route that all configurations have.
func (l *Load) ProbeKey(node *Node, key string) int { return l.Probe(node, prefixLookup, key) }

// probePhase marks requests that are not part of the load.
const probePhase = -1
