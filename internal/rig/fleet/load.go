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

// Load is the clients of the fleet.
type Load struct {
	Book  *Book
	Pause time.Duration // that a client makes between two requests, on average
	fleet *Fleet
	keys  []string
	tasks sync.WaitGroup
	end   context.CancelFunc
}

// clientCount is how many clients send at the same time.
const clientCount = 24

// StartLoad has clients send requests of the three kinds until Stop.
func (f *Fleet) StartLoad(pause time.Duration) *Load {
	load := &Load{Book: &Book{}, Pause: pause, fleet: f, keys: []string{keyShared, keyIsolated}}
	ctx, end := context.WithCancel(f.life)
	load.end = end
	for i := range clientCount {
		c := &client{
			load: load, number: i, zone: Zones[i%len(Zones)], keeps: i%3 != 0,
			random: rand.New(rand.NewPCG(uint64(i), 7)),
		}
		load.tasks.Go(func() { c.run(ctx) })
	}
	return load
}

// Stop lets the clients finish what they have sent.
func (l *Load) Stop() {
	l.end()
	l.tasks.Wait()
}

// AwaitAnswers waits until clients have sent so many more requests of each kind that were answered.
func (l *Load) AwaitAnswers(ctx context.Context, count int) error {
	before := len(l.Book.Records())
	return l.fleet.Await(ctx, "answers to clients", func(context.Context) error {
		var answered [kindCount]int
		for _, record := range l.Book.Records()[before:] {
			if record.Outcome == Answered {
				answered[record.Kind]++
			}
		}
		for kind, got := range answered {
			if got < count {
				return fmt.Errorf("%d %s requests are answered of %d", got, Kind(kind), count)
			}
		}
		return nil
	})
}

// The shapes of prompts: what many share, what a session has for itself, and what is generated.
const (
	sharedTokens  = 1200
	sessionTokens = 400
	sharedPrompts = 4
	mostEvents    = 40
)

// plan draws a request.
func (l *Load) plan(random *rand.Rand) planned {
	prefix := [...]string{prefixLookup, prefixPrint, prefixDraft, prefixPrint, prefixVerdict, prefixLookup}[random.IntN(6)]
	p := planOf(prefix)
	p.key = l.keys[random.IntN(len(l.keys))]
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

// planOf gives what the requests of a route have in common.
func planOf(prefix string) planned {
	r := route(prefix)
	p := planned{
		prefix: prefix, deadline: 1500 * time.Millisecond, request: request{method: http.MethodPost},
		aim: time.Duration(r.TargetLatencyMs) * time.Millisecond, gap: time.Duration(r.GapTargetMs) * time.Millisecond,
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

// promptHeaders describe a prompt whose first part many share.
func promptHeaders(random *rand.Rand) []header {
	events := 1 + random.IntN(mostEvents)
	parts := fmt.Sprintf("%x:%d,%x:%d", 0xabc0+random.IntN(sharedPrompts), sharedTokens, random.Uint32(), sessionTokens)
	return []header{
		{llmbroker.HeaderModel, modelName},
		{llmbroker.HeaderTokenCount, fmt.Sprintf("%d,%d", sharedTokens+sessionTokens, events)},
		{llmbroker.HeaderPromptPrefix, parts},
	}
}

// Probe sends one request on a safe route with a key straight to a node, and gives the status; 0: no answer.
func (l *Load) Probe(node *Node, prefix, key string) int {
	p := planOf(prefix)
	p.request.uri = prefix + "probe"
	p.key = key
	conn, err := connect(node)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	record := Record{ID: newID(), Prefix: prefix, Method: p.request.method, URI: p.request.uri, Key: key, Node: node.Name,
		FirstTry: time.Now(), Phase: probePhase}
	p.request.headers = []header{{llmbroker.HeaderRequestID, record.ID}, {"Authorization", "Bearer " + key},
		{llmbroker.HeaderDeadline, strconv.FormatInt(p.deadline.Milliseconds(), 10)}}
	answer, sentAt, err := conn.exchange(&p.request, time.Now().Add(p.deadline))
	record.SentAt = sentAt
	if err == nil {
		record.Status = answer.StatusCode
		record.Outcome = outcomeOf(answer.StatusCode)
		record.Problem, err = checkWhole(answer)
	}
	if err != nil {
		record.Outcome = Closed
	}
	l.Book.add(ended(record))
	return record.Status
}

// probePhase marks requests that are no part of the load.
const probePhase = -1
