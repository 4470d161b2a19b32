package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kestrelspread/internal/harness/links"
	"kestrelspread/internal/harness/searchclient"
	"kestrelspread/internal/standin/invariants"
)

// frontEnd is the load balancer and the clients of a site: it checks the readiness of all brokers, and sends queries to those of its own
// site, or to others while none of these is ready. Clients are outside of the sites: a loss of the site does not end them.
type frontEnd struct {
	run         *runner
	site        int
	links       []*links.Link
	client      *http.Client
	ready       []atomic.Bool
	lastQueryID atomic.Int64
	random      *rand.Rand
	mutex       sync.Mutex
	stop        context.CancelFunc
}

// newFront starts the front end of a site.
func (run *runner) newFront(site int) (*frontEnd, error) {
	f := &frontEnd{run: run, site: site, random: rand.New(rand.NewPCG(run.Seed, uint64(frontStream+site))), ready: make([]atomic.Bool, len(run.brokers)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second,
			DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext}}}
	for _, b := range run.brokers {
		l, err := run.network.Add(links.Endpoint{Name: "clients-" + run.Sites[site].Name, Site: "outside"}, links.Endpoint{Name: b.name, Site: run.Sites[b.site].Name}, b.listen)
		if err != nil {
			return nil, err
		}
		f.links = append(f.links, l)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for at := range run.brokers {
		f.checkReadiness(at)
		go func() {
			tick := time.NewTicker(time.Duration(run.Clients.CheckIntervalMs * 1e6))
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					f.checkReadiness(at)
				}
			}
		}()
	}
	return f, nil
}

// close ends the readiness checks.
func (f *frontEnd) close() {
	f.stop()
	f.client.CloseIdleConnections()
}

// checkReadiness checks a broker once. No answer within the interval counts as not ready.
func (f *frontEnd) checkReadiness(at int) {
	ctx, end := context.WithTimeout(context.Background(), time.Duration(max(f.run.Clients.CheckIntervalMs, 100)*1e6))
	defer end()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.links[at].Address()+"/ready", nil)
	resp, err := f.client.Do(req)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	f.ready[at].Store(err == nil && resp.StatusCode == 200)
}

// pickBroker picks a ready broker at random, of the own site if possible, that was not tried; -1: none.
func (f *frontEnd) pickBroker(tried []int) int {
	var own, all []int
	for at := range f.ready {
		used := false
		for _, t := range tried {
			used = used || t == at
		}
		if used || !f.ready[at].Load() {
			continue
		}
		if all = append(all, at); f.run.brokers[at].site == f.site {
			own = append(own, at)
		}
	}
	if len(own) == 0 {
		own = all
	}
	if len(own) == 0 {
		return -1
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return own[f.random.IntN(len(own))]
}

// generateLoad starts the load of the site's clients until the context ends.
func (f *frontEnd) generateLoad(ctx context.Context) {
	total := 0.0
	for _, s := range f.run.Sites {
		total += *s.Load
	}
	share := *f.run.Sites[f.site].Load / total
	if share == 0 {
		return
	}
	for kind := range f.run.Types {
		f.run.tasks.Add(1)
		go func() {
			defer f.run.tasks.Done()
			f.generateType(ctx, kind, share)
		}()
	}
}

// generateType sends the queries of one type, as a Poisson process.
func (f *frontEnd) generateType(ctx context.Context, kind int, share float64) {
	arrivesAt := time.Now()
	for {
		gap, firstShard := f.drawArrival(kind, share)
		arrivesAt = arrivesAt.Add(gap)
		if !sleepUntil(ctx, arrivesAt) {
			return
		}
		f.run.tasks.Add(1)
		go func() {
			defer f.run.tasks.Done()
			f.sendQuery(kind, firstShard)
		}()
	}
}

// drawArrival draws the time to the next query of a type, and its first shard.
func (f *frontEnd) drawArrival(kind int, share float64) (gap time.Duration, firstShard int) {
	f.run.mutex.Lock()
	factor := f.run.loadFactor
	f.run.mutex.Unlock()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	gap = time.Duration(f.random.ExpFloat64() / (f.run.Types[kind].RatePerS * share * factor) * 1e9)
	return gap, f.random.IntN(f.run.ShardCount)
}

// sleepUntil waits for a moment, and reports whether the context lasts.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	wait := time.Until(moment)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attemptOutcome is how one attempt of a client ended.
type attemptOutcome uint8

const (
	answered attemptOutcome = iota
	incomplete
	shed
	failed
	noBroker // no connection was established
)

// sendQuery is one client: it sends a query, and retries one that was shed, after the backoff that it was asked for or sooner, within its
// time-out.
func (f *frontEnd) sendQuery(kind, firstShard int) {
	run, t := f.run, f.run.Types[kind]
	startMs := run.now()
	run.mutex.Lock()
	run.counts.offered(kind, startMs)
	run.mutex.Unlock()
	deadlineMs := startMs + t.TimeoutMs
	last := shed
	for number := 0; number <= *run.Clients.Retries; number++ {
		outcome, backoffMs := f.attempt(kind, firstShard, deadlineMs, number > 0)
		if last = outcome; outcome != shed && outcome != noBroker {
			break
		}
		f.mutex.Lock()
		waitMs := 100 + 200*f.random.Float64()
		if backoffMs > 0 && f.random.Float64() < *run.Clients.HonoursRetryAfter {
			waitMs = backoffMs
		}
		f.mutex.Unlock()
		if run.now()+waitMs+20 > deadlineMs {
			break
		}
		time.Sleep(time.Duration(waitMs * 1e6))
	}
	now := run.now()
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.counts.ended(kind, startMs, now-startMs, last)
}

// attempt sends a query to a broker, and to another one if no connection is established. It returns the outcome, and the backoff in
// ms that the broker asked for.
func (f *frontEnd) attempt(kind, firstShard int, deadlineMs float64, isRetry bool) (attemptOutcome, float64) {
	run := f.run
	q := f.newQuery(kind, firstShard, deadlineMs, isRetry)
	var tried []int
	for len(tried) < maxBrokersTried {
		index := f.pickBroker(tried)
		if index < 0 {
			break
		}
		tried = append(tried, index)
		if deadlineMs-run.now() < minTimeLeftMs {
			break
		}
		if outcome, backoffMs, sent := f.send(q, index); sent {
			return outcome, backoffMs
		}
	}
	if q.recorded {
		run.abandon(q.ID)
	}
	return noBroker, 0
}

const (
	maxBrokersTried = 3
	minTimeLeftMs   = 20  // a query with less time is not sent
	answerGraceMs   = 300 // after the deadline, before the client closes the connection
)

// query is one attempt of a client.
type query struct {
	searchclient.Search
	kind       int
	deadlineMs float64
	isRetry    bool
	recorded   bool // the invariants know of it
}

// newQuery builds a query for adjacent shards.
func (f *frontEnd) newQuery(kind, firstShard int, deadlineMs float64, isRetry bool) *query {
	run, t := f.run, f.run.Types[kind]
	id := fmt.Sprintf("%s%d", run.Sites[f.site].Name[:1], int64(f.site)*1_000_000_000+f.lastQueryID.Add(1))
	search := searchclient.Search{ID: id, Type: t.Name, Shards: searchclient.Adjacent(firstShard, t.ShardsPerQuery, run.ShardCount)}
	return &query{Search: search, kind: kind, deadlineMs: deadlineMs, isRetry: isRetry}
}

// send sends a query to one broker. sent is false if no connection was established.
func (f *frontEnd) send(q *query, index int) (outcome attemptOutcome, backoffMs float64, sent bool) {
	run := f.run
	leftMs := q.deadlineMs - run.now()
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(leftMs+answerGraceMs))
	defer cancel()
	request := q.Request(ctx, f.links[index].Address(), int(leftMs), q.isRetry)
	f.recordQuery(q)
	sentAt := time.Now()
	response, err := f.client.Do(request)
	if err != nil {
		f.ready[index].Store(false)
		var operation *net.OpError
		if errors.As(err, &operation) && operation.Op == "dial" {
			return noBroker, 0, false
		}
		// The connection was lost, or nothing arrived in time: the broker may have ended, and no answer is required of it.
		run.abandon(q.ID)
		return failed, 0, true
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		run.abandon(q.ID)
		return failed, 0, true
	}
	// An answer that a stopped process or a partition delayed beyond the deadline is not the broker's late answer: it may have been
	// in time when it was sent. The client has left by then.
	if run.now() > q.deadlineMs && (run.brokers[index].wasStoppedSince(sentAt) || f.links[index].PartitionedSince(sentAt)) {
		run.abandon(q.ID)
		return failed, 0, true
	}
	outcome, backoffMs = f.recordAnswer(q, response, text)
	return outcome, backoffMs, true
}

// recordQuery records a query with the invariants, once.
func (f *frontEnd) recordQuery(q *query) {
	if q.recorded {
		return
	}
	q.recorded = true
	effect := invariants.Idempotent
	if f.run.Types[q.kind].Effect != "idempotent" {
		effect = invariants.NonIdempotent
	}
	f.run.mutex.Lock()
	defer f.run.mutex.Unlock()
	f.run.invariants.RecordQuery(q.ID, effect, f.run.now(), q.deadlineMs)
}

// abandon records that the client of a query no longer waits for an answer.
func (run *runner) abandon(id string) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.invariants.RecordAbandoned(id)
}

// recordAnswer records a final answer with the invariants.
func (f *frontEnd) recordAnswer(q *query, response *http.Response, text []byte) (attemptOutcome, float64) {
	run := f.run
	run.mutex.Lock()
	defer run.mutex.Unlock()
	switch response.StatusCode {
	case http.StatusOK:
		return run.recordResult(q, text), 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		run.invariants.RecordFinalAnswer(q.ID, run.now(), false, nil, true)
		backoffS, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return shed, backoffS * 1000
	default:
		run.invariants.RecordFinalAnswer(q.ID, run.now(), false, nil, false)
		return failed, 0
	}
}

// recordResult checks the result of a query, and records it with the invariants. run.mutex must be held.
func (run *runner) recordResult(q *query, text []byte) attemptOutcome {
	answer, expected := searchclient.ParseAnswer(text), q.Expected()
	for _, part := range answer.Parts {
		if !strings.Contains(expected, part) {
			run.invariants.Report("rule 1: %s has a value that no server made: %q", q.ID, part)
		}
	}
	if answer.Complete {
		run.invariants.RecordServerAnswer(q.ID, []byte(expected))
	}
	t := run.Types[q.kind]
	if share := float64(len(answer.Parts)) / float64(t.ShardsPerQuery); share < *t.MinCompleteness-1e-9 {
		run.invariants.Report("rule 5: %s is answered with %.2f of it, under the floor", q.ID, share)
	}
	run.invariants.RecordFinalAnswer(q.ID, run.now(), answer.Complete, []byte(answer.Result()), false)
	if answer.Complete {
		return answered
	}
	return incomplete
}
