package scenario

import (
	"context"
	"encoding/json"
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

	"kestrelspread/internal/rig/links"
	"kestrelspread/internal/standin/rules"
	"kestrelspread/internal/standin/sockets"
)

// frontEnd is where a site's clients come in: it asks every broker whether it is ready, deals searches to those of its own
// site, and to the others' while none of its own answers. Clients lie outside of the sites: what is lost with a site is
// its machines.
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

func (run *runner) newFront(site int) (*frontEnd, error) {
	f := &frontEnd{run: run, site: site, random: rand.New(rand.NewPCG(run.Seed, uint64(100+site))), ready: make([]atomic.Bool, len(run.brokers)),
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

func (f *frontEnd) close() {
	f.stop()
	f.client.CloseIdleConnections()
}

// checkReadiness asks a broker once; no answer within the beat is a no.
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

// pickBroker gives a broker that is ready, the own site's first; not one of those that were tried.
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

// generateLoad has the site's clients come until the context ends.
func (f *frontEnd) generateLoad(ctx context.Context) {
	sum := 0.0
	for _, s := range f.run.Sites {
		sum += *s.Load
	}
	share := *f.run.Sites[f.site].Load / sum
	if share == 0 {
		return
	}
	for kind, t := range f.run.Types {
		f.run.tasks.Add(1)
		go func() {
			defer f.run.tasks.Done()
			due := time.Now()
			for {
				f.run.mutex.Lock()
				times := f.run.loadFactor
				f.run.mutex.Unlock()
				f.mutex.Lock()
				due = due.Add(time.Duration(f.random.ExpFloat64() / (t.RatePerS * share * times) * 1e9))
				from := f.random.IntN(f.run.ShardCount)
				f.mutex.Unlock()
				if wait := time.Until(due); wait > 0 {
					timer := time.NewTimer(wait)
					select {
					case <-ctx.Done():
						timer.Stop()
						return
					case <-timer.C:
					}
				} else if ctx.Err() != nil {
					return
				}
				f.run.tasks.Add(1)
				go func() {
					defer f.run.tasks.Done()
					f.sendQuery(kind, from)
				}()
			}
		}()
	}
}

// attemptOutcome one try ended.
type attemptOutcome uint8

const (
	answered attemptOutcome = iota
	incomplete
	shed
	failed
	noBroker // no broker took it
)

// sendQuery is one client: it asks, and where it is shed it asks again as it was told or sooner, within its own time.
func (f *frontEnd) sendQuery(kind, from int) {
	run, t := f.run, f.run.Types[kind]
	begin := run.now()
	run.mutex.Lock()
	run.counts.offered(kind, begin)
	run.mutex.Unlock()
	until := begin + t.TimeoutMs
	last := shed
	for try := 0; try <= *run.Clients.Retries; try++ {
		end, back := f.attempt(kind, from, until, try > 0)
		if last = end; end != shed && end != noBroker {
			break
		}
		f.mutex.Lock()
		wait := 100 + 200*f.random.Float64()
		if back > 0 && f.random.Float64() < *run.Clients.HonoursRetryAfter {
			wait = back
		}
		f.mutex.Unlock()
		if run.now()+wait+20 > until {
			break
		}
		time.Sleep(time.Duration(wait * 1e6))
	}
	now := run.now()
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.counts.ended(kind, begin, now-begin, last)
}

// attempt asks a broker, another where no connection comes up, and gives what came of it and when to come back, in ms.
func (f *frontEnd) attempt(kind, from int, until float64, again bool) (attemptOutcome, float64) {
	run, t := f.run, f.run.Types[kind]
	id := fmt.Sprintf("%s%d", run.Sites[f.site].Name[:1], int64(f.site)*1_000_000_000+f.lastQueryID.Add(1))
	var body, want strings.Builder
	fmt.Fprintf(&body, `{"segments":[`)
	for n := range t.ShardsPerQuery {
		if n > 0 {
			body.WriteByte(',')
		}
		shard := (from + n) % run.ShardCount
		fmt.Fprintf(&body, `{"segment":%d,"boost":%.9f}`, shard, 1/float64(t.ShardsPerQuery))
		fmt.Fprintf(&want, "%d=%s ", shard, sockets.Value(shard, id))
	}
	fmt.Fprintf(&body, `],"text":%q}`, id)
	effect := rules.Idempotent
	if t.Effect != "idempotent" {
		effect = rules.NonIdempotent
	}
	asked := false
	var tried []int
	for len(tried) < 3 {
		at := f.pickBroker(tried)
		if at < 0 {
			break
		}
		tried = append(tried, at)
		left := until - run.now()
		if left < 20 {
			break
		}
		ctx, end := context.WithTimeout(context.Background(), time.Duration((left+300)*1e6))
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.links[at].Address()+"/api", strings.NewReader(body.String()))
		req.Header.Set("X-Call-Id", id)
		req.Header.Set("X-Call-Class", t.Name)
		req.Header.Set("X-Budget-Ms", strconv.Itoa(int(left)))
		if again {
			req.Header.Set("X-Again", "1")
		}
		if !asked {
			asked = true
			run.mutex.Lock()
			run.invariants.Asked(id, effect, run.now(), until)
			run.mutex.Unlock()
		}
		sent := time.Now()
		resp, err := f.client.Do(req)
		if err != nil {
			end()
			f.ready[at].Store(false)
			var dial *net.OpError
			if errors.As(err, &dial) && dial.Op == "dial" {
				continue // it never was sent
			}
			// The connection broke, or nothing came in time: the broker may be gone, and nothing more is asked of it.
			run.mutex.Lock()
			run.invariants.Left(id)
			run.mutex.Unlock()
			return failed, 0
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		end()
		if err != nil {
			run.mutex.Lock()
			run.invariants.Left(id)
			run.mutex.Unlock()
			return failed, 0
		}
		// What a stopped process or a cut on the way to its client kept past its time is no broker's late word: it could not
		// say it sooner, or has. The client has left by then.
		if run.now() > until && (run.brokers[at].wasStoppedSince(sent) || f.links[at].PartitionedSince(sent)) {
			run.mutex.Lock()
			run.invariants.Left(id)
			run.mutex.Unlock()
			return failed, 0
		}
		return f.recordAnswer(id, kind, resp, text, want.String())
	}
	if asked {
		run.mutex.Lock()
		run.invariants.Left(id)
		run.mutex.Unlock()
	}
	return noBroker, 0
}

// recordAnswer puts a final answer into the book of the rules.
func (f *frontEnd) recordAnswer(id string, kind int, resp *http.Response, text []byte, want string) (attemptOutcome, float64) {
	run := f.run
	run.mutex.Lock()
	defer run.mutex.Unlock()
	switch resp.StatusCode {
	case 200:
		var a struct {
			AllIn   bool `json:"all_in"`
			Matches []struct {
				Segment int
				Payload string
			}
		}
		json.Unmarshal(text, &a)
		got := ""
		for _, m := range a.Matches {
			part := fmt.Sprintf("%d=%s ", m.Segment, m.Payload)
			if !strings.Contains(want, part) {
				run.invariants.Wrong("rule 1: %s has a value that no server made: %q", id, part)
			}
			got += part
		}
		if a.AllIn {
			run.invariants.Answered(id, []byte(want))
		}
		if share := float64(len(a.Matches)) / float64(run.Types[kind].ShardsPerQuery); share < *run.Types[kind].MinCompleteness-1e-9 {
			run.invariants.Wrong("rule 5: %s is answered with %.2f of it, under the floor", id, share)
		}
		run.invariants.Final(id, run.now(), a.AllIn, []byte(got), false)
		if a.AllIn {
			return answered, 0
		}
		return incomplete, 0
	case 503, 429:
		run.invariants.Final(id, run.now(), false, nil, true)
		back, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return shed, back * 1000
	default:
		run.invariants.Final(id, run.now(), false, nil, false)
		return failed, 0
	}
}
