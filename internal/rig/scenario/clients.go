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

// front is where a site's clients come in: it asks every broker whether it is ready, deals searches to those of its own
// site, and to the others' while none of its own answers. Clients lie outside of the sites: what is lost with a site is
// its machines.
type front struct {
	w      *world
	site   int
	links  []*links.Link
	client *http.Client
	ready  []atomic.Bool
	serial atomic.Int64
	rng    *rand.Rand
	lock   sync.Mutex
	stop   context.CancelFunc
}

func (w *world) newFront(site int) (*front, error) {
	f := &front{w: w, site: site, rng: rand.New(rand.NewPCG(w.Seed, uint64(100+site))), ready: make([]atomic.Bool, len(w.brokers)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second,
			DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext}}}
	for _, b := range w.brokers {
		l, err := w.net.Add(links.Endpoint{Name: "clients-" + w.Sites[site].Name, Site: "outside"}, links.Endpoint{Name: b.name, Site: w.Sites[b.site].Name}, b.listen)
		if err != nil {
			return nil, err
		}
		f.links = append(f.links, l)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for at := range w.brokers {
		f.check(at)
		go func() {
			tick := time.NewTicker(time.Duration(w.Clients.Check * 1e6))
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					f.check(at)
				}
			}
		}()
	}
	return f, nil
}

func (f *front) close() {
	f.stop()
	f.client.CloseIdleConnections()
}

// check asks a broker once; no answer within the beat is a no.
func (f *front) check(at int) {
	ctx, end := context.WithTimeout(context.Background(), time.Duration(max(f.w.Clients.Check, 100)*1e6))
	defer end()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.links[at].Address()+"/ready", nil)
	resp, err := f.client.Do(req)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	f.ready[at].Store(err == nil && resp.StatusCode == 200)
}

// pick gives a broker that is ready, the own site's first; not one of those that were tried.
func (f *front) pick(tried []int) int {
	var own, all []int
	for at := range f.ready {
		used := false
		for _, t := range tried {
			used = used || t == at
		}
		if used || !f.ready[at].Load() {
			continue
		}
		if all = append(all, at); f.w.brokers[at].site == f.site {
			own = append(own, at)
		}
	}
	if len(own) == 0 {
		own = all
	}
	if len(own) == 0 {
		return -1
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	return own[f.rng.IntN(len(own))]
}

// load has the site's clients come until the context ends.
func (f *front) load(ctx context.Context) {
	sum := 0.0
	for _, s := range f.w.Sites {
		sum += *s.Load
	}
	share := *f.w.Sites[f.site].Load / sum
	if share == 0 {
		return
	}
	for kind, t := range f.w.Types {
		f.w.asked.Add(1)
		go func() {
			defer f.w.asked.Done()
			due := time.Now()
			for {
				f.w.lock.Lock()
				times := f.w.times
				f.w.lock.Unlock()
				f.lock.Lock()
				due = due.Add(time.Duration(f.rng.ExpFloat64() / (t.PerS * share * times) * 1e9))
				from := f.rng.IntN(f.w.Places)
				f.lock.Unlock()
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
				f.w.asked.Add(1)
				go func() {
					defer f.w.asked.Done()
					f.ask(kind, from)
				}()
			}
		}()
	}
}

// how one try ended.
type how uint8

const (
	answered how = iota
	inPart
	shed
	errored
	nobody // no broker took it
)

// ask is one client: it asks, and where it is shed it asks again as it was told or sooner, within its own time.
func (f *front) ask(kind, from int) {
	w, t := f.w, f.w.Types[kind]
	begin := w.now()
	w.lock.Lock()
	w.counts.offered(kind, begin)
	w.lock.Unlock()
	until := begin + t.Timeout
	last := shed
	for try := 0; try <= *w.Clients.Retries; try++ {
		end, back := f.once(kind, from, until, try > 0)
		if last = end; end != shed && end != nobody {
			break
		}
		f.lock.Lock()
		wait := 100 + 200*f.rng.Float64()
		if back > 0 && f.rng.Float64() < *w.Clients.Honour {
			wait = back
		}
		f.lock.Unlock()
		if w.now()+wait+20 > until {
			break
		}
		time.Sleep(time.Duration(wait * 1e6))
	}
	now := w.now()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.counts.ended(kind, begin, now-begin, last)
}

// once asks a broker, another where no connection comes up, and gives what came of it and when to come back, in ms.
func (f *front) once(kind, from int, until float64, again bool) (how, float64) {
	w, t := f.w, f.w.Types[kind]
	id := fmt.Sprintf("%s%d", w.Sites[f.site].Name[:1], int64(f.site)*1_000_000_000+f.serial.Add(1))
	var body, want strings.Builder
	fmt.Fprintf(&body, `{"segments":[`)
	for n := range t.Parts {
		if n > 0 {
			body.WriteByte(',')
		}
		shard := (from + n) % w.Places
		fmt.Fprintf(&body, `{"segment":%d,"boost":%.9f}`, shard, 1/float64(t.Parts))
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
		at := f.pick(tried)
		if at < 0 {
			break
		}
		tried = append(tried, at)
		left := until - w.now()
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
			w.lock.Lock()
			w.book.Asked(id, effect, w.now(), until)
			w.lock.Unlock()
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
			w.lock.Lock()
			w.book.Left(id)
			w.lock.Unlock()
			return errored, 0
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		end()
		if err != nil {
			w.lock.Lock()
			w.book.Left(id)
			w.lock.Unlock()
			return errored, 0
		}
		// What a stopped process or a cut on the way to its client kept past its time is no broker's late word: it could not
		// say it sooner, or has. The client has left by then.
		if w.now() > until && (w.brokers[at].stood(sent) || f.links[at].PartitionedSince(sent)) {
			w.lock.Lock()
			w.book.Left(id)
			w.lock.Unlock()
			return errored, 0
		}
		return f.final(id, kind, resp, text, want.String())
	}
	if asked {
		w.lock.Lock()
		w.book.Left(id)
		w.lock.Unlock()
	}
	return nobody, 0
}

// final puts a final answer into the book of the rules.
func (f *front) final(id string, kind int, resp *http.Response, text []byte, want string) (how, float64) {
	w := f.w
	w.lock.Lock()
	defer w.lock.Unlock()
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
				w.book.Wrong("rule 1: %s has a value that no server made: %q", id, part)
			}
			got += part
		}
		if a.AllIn {
			w.book.Answered(id, []byte(want))
		}
		if share := float64(len(a.Matches)) / float64(w.Types[kind].Parts); share < *w.Types[kind].Floor-1e-9 {
			w.book.Wrong("rule 5: %s is answered with %.2f of it, under the floor", id, share)
		}
		w.book.Final(id, w.now(), a.AllIn, []byte(got), false)
		if a.AllIn {
			return answered, 0
		}
		return inPart, 0
	case 503, 429:
		w.book.Final(id, w.now(), false, nil, true)
		back, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return shed, back * 1000
	default:
		w.book.Final(id, w.now(), false, nil, false)
		return errored, 0
	}
}
