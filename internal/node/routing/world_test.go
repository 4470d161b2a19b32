package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/placement"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/verdict"
)

// What the tests of this package share: a router on a virtual clock, and the entries that it is
// told of.

const (
	ms      = time.Millisecond
	service = "letters"
	model   = "m-large"
)

func instanceOf(id, zone string) *registry.Instance {
	return &registry.Instance{ID: id, Service: service, Address: "10.0.0.1:" + id, Zone: zone, Slots: 64,
		Versions: map[string]uint64{model: 1}}
}

func instances(n int) []*registry.Instance {
	list := make([]*registry.Instance, n)
	for i := range list {
		list[i] = instanceOf(fmt.Sprintf("i%02d", i), fmt.Sprintf("z%d", i%3))
	}
	return list
}

func tableOf(list ...*registry.Instance) *registry.Table {
	t := &registry.Table{ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
	for _, i := range list {
		t.ByID[i.ID] = i
		t.ByService[i.Service] = append(t.ByService[i.Service], i)
	}
	for _, l := range t.ByService {
		slices.SortFunc(l, func(a, b *registry.Instance) int { return strings.Compare(a.ID, b.ID) })
	}
	return t
}

func configOf(versions map[string]uint64) *config.Compiled {
	return &config.Compiled{Version: 1, ModelVersions: versions,
		Services: map[string]*config.Service{service: {Name: service, Engine: &config.Engine{Slots: 64}}},
		Stores:   []*config.Service{{Name: "store", KVStoreAddr: "10.9.0.1:9000", Zone: "z0"}}}
}

var (
	safeRoute = &config.Route{Name: "safe", Kind: config.KindSafe, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2}
	onceRoute = &config.Route{Name: "once", Kind: config.KindUnsafe, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2}
	flowRoute = &config.Route{Name: "flow", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2,
		Sticky: true}
	againRoute = &config.Route{Name: "again", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2,
		Sticky: true, Resumable: true}
)

// world is one router and its clock.
type world struct {
	t   *testing.T
	now core.Time
	*Router
}

func newWorld(t *testing.T, list []*registry.Instance) *world {
	return newWorldWith(t, list, nil)
}

func newWorldWith(t *testing.T, list []*registry.Instance, index prefixcache.Index) *world {
	t.Helper()
	return newWorldWithout(t, list, index, 0)
}

// newWorldWithout has some mechanisms disabled.
func newWorldWithout(t *testing.T, list []*registry.Instance, index prefixcache.Index, disabled mechanism.Set) *world {
	t.Helper()
	r := New(0, Options{Zone: "z0", RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second,
		VersionGrace: 8 * time.Second, Random: rand.New(rand.NewPCG(7, 9)), Index: index, Disabled: disabled})
	r.SetPeers(0, 1)
	r.SetConfig(0, configOf(nil))
	r.SetTable(0, tableOf(list...))
	return &world{t: t, now: 20 * time.Second, Router: r}
}

// moveTo puts the proxy into a zone.
func (w *world) moveTo(zone string) {
	w.placer = placement.New(w.switches, zone, w.options.Random, w.cache)
}

func (w *world) request(route *config.Route) Request {
	return Request{Route: route, Service: service, Received: w.now, Deadline: w.now + 4*time.Second, TokensIn: 1000}
}

func (w *world) prompt(route *config.Route, part uint64) Request {
	q := w.request(route)
	q.Model = model
	q.Parts = []prompt.Part{{ID: 1, Tokens: 500}, {ID: part, Tokens: 800}, {ID: part ^ 0xfff000, Tokens: 300}}
	q.TokensIn = 1600
	return q
}

// begin expects an attempt.
func (w *world) begin(q Request) *Attempt {
	w.t.Helper()
	_, d := w.Begin(w.now, q)
	if d.Attempt == nil {
		w.t.Fatalf("no attempt: %+v", d.Refusal)
	}
	return d.Attempt
}

// serve has an attempt answered after a while, and moves the clock on by that.
func (w *world) serve(a *Attempt, latency core.Time) {
	w.now += latency
	w.answerNow(a)
}

// read has a model's attempt answered once its prompt was read at a usual pace.
func (w *world) read(a *Attempt) {
	unread := 300
	if a.SentPrompt != nil {
		unread = a.SentPrompt.PrefillTokens
	}
	w.serve(a, 10*ms+core.Time(unread)*20*time.Microsecond)
}

func (w *world) answerNow(a *Attempt) {
	w.Started(w.now, a.Request, a.Number, nil)
	w.Finished(w.now, a.Request, a.Number, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
	w.End(w.now, a.Request)
}

// warm serves some requests, each broker having its share.
func (w *world) warm(route *config.Route, n int, latency core.Time) {
	for range n {
		w.serve(w.begin(w.request(route)), latency)
	}
}

// Outcomes as the caller reports them.
var (
	outcomeFull        = Outcome{Verdict: verdict.NotRun, NotExecuted: true, Status: 503}
	outcomeUnreachable = Outcome{Verdict: verdict.NotRun, ConnectFailed: true}
	outcomeMisdirected = Outcome{Verdict: verdict.NotRun, Misdirected: true, Status: 421}
	outcomeReset       = Outcome{Verdict: verdict.MayHaveRun}
	outcomeFailure     = Outcome{Verdict: verdict.Ran, Status: 500}
)
