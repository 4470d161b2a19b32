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

// The fixture of this package's tests: a router with a virtual clock, brokers, routes and outcomes.

const (
	ms      = time.Millisecond
	service = "letters"
	model   = "m-large"
)

// instanceOf returns a broker with 64 slots and version 1 of the weights.
func instanceOf(id, zone string) *registry.Instance {
	return &registry.Instance{ID: id, Service: service, Address: "10.0.0.1:" + id, Zone: zone, Slots: 64,
		Versions: map[string]uint64{model: 1}}
}

// instances returns n brokers with the ids i00, i01 and so on, in three zones.
func instances(n int) []*registry.Instance {
	list := make([]*registry.Instance, n)
	for i := range list {
		list[i] = instanceOf(fmt.Sprintf("i%02d", i), fmt.Sprintf("z%d", i%3))
	}
	return list
}

// tableOf returns a table of instances.
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

// configOf returns a configuration with one service, one store and versions of models.
func configOf(versions map[string]uint64) *config.Compiled {
	return &config.Compiled{Version: 1, ModelVersions: versions,
		Services: map[string]*config.Service{service: {Name: service, Engine: &config.Engine{Slots: 64}}},
		Stores:   []*config.Service{{Name: "store", KVStoreAddr: "10.9.0.1:9000", Zone: "z0"}}}
}

// One route of each kind.
var (
	safeRoute   = &config.Route{Name: "safe", Kind: config.KindSafe, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2}
	unsafeRoute = &config.Route{Name: "once", Kind: config.KindUnsafe, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2}
	streamRoute = &config.Route{Name: "flow", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2,
		Sticky: true}
	resumableRoute = &config.Route{Name: "again", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 300, MaxAttempts: 2,
		Sticky: true, Resumable: true}
)

// fixture is one router and its virtual clock.
type fixture struct {
	t   *testing.T
	now core.Time
	*Router
}

// newFixture returns a fixture without an index.
func newFixture(t *testing.T, list []*registry.Instance) *fixture {
	return newFixtureWithIndex(t, list, nil)
}

// newFixtureWithIndex returns a fixture whose router looks up cached parts in an index.
func newFixtureWithIndex(t *testing.T, list []*registry.Instance, index prefixcache.Index) *fixture {
	t.Helper()
	return newFixtureWithDisabled(t, list, index, 0)
}

// newFixtureWithDisabled returns a fixture with an index and with some mechanisms disabled.
func newFixtureWithDisabled(t *testing.T, list []*registry.Instance, index prefixcache.Index, disabled mechanism.Set) *fixture {
	t.Helper()
	r := New(0, Options{Zone: "z0", RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second,
		VersionGrace: 8 * time.Second, Random: rand.New(rand.NewPCG(7, 9)), Index: index, Disabled: disabled})
	r.SetProxyCount(0, 1)
	r.SetConfig(0, configOf(nil))
	r.SetTable(0, tableOf(list...))
	return &fixture{t: t, now: 20 * time.Second, Router: r}
}

// setZone sets the zone of the proxy.
func (f *fixture) setZone(zone string) {
	f.placer = placement.New(f.switches, zone, f.options.Random, f.cache)
}

// request returns a request of 1,000 tokens with a deadline in 4 s.
func (f *fixture) request(route *config.Route) Request {
	return Request{Route: route, Service: service, Received: f.now, Deadline: f.now + 4*time.Second, TokensIn: 1000}
}

// prompt returns a model request of 1,600 tokens. Its first part is shared by all prompts, the second one
// by all with the same part, and the last one isn't shared.
func (f *fixture) prompt(route *config.Route, part uint64) Request {
	q := f.request(route)
	q.Model = model
	q.Parts = []prompt.Part{{ID: 1, Tokens: 500}, {ID: part, Tokens: 800}, {ID: part ^ 0xfff000, Tokens: 300}}
	q.TokensIn = 1600
	return q
}

// mustBegin begins a request and returns its attempt. It fails the test if there is none.
func (f *fixture) mustBegin(q Request) *Attempt {
	f.t.Helper()
	_, d := f.Begin(f.now, q)
	if d.Attempt == nil {
		f.t.Fatalf("no attempt: %+v", d.Refusal)
	}
	return d.Attempt
}

// answerAfter moves the clock by a latency and has the attempt answered then.
func (f *fixture) answerAfter(a *Attempt, latency core.Time) {
	f.now += latency
	f.answerNow(a)
}

// answerAfterPrefill has a model request answered once its prompt is prefilled, at 20 µs a token.
func (f *fixture) answerAfterPrefill(a *Attempt) {
	prefillTokens := 300
	if a.SentPrompt != nil {
		prefillTokens = a.SentPrompt.PrefillTokens
	}
	f.answerAfter(a, 10*ms+core.Time(prefillTokens)*20*time.Microsecond)
}

// answerNow has an attempt answered at the current time.
func (f *fixture) answerNow(a *Attempt) {
	f.AnswerStarted(f.now, a.Request, a.Number, nil)
	f.AttemptEnded(f.now, a.Request, a.Number, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
	f.End(f.now, a.Request)
}

// serveRequests sends n requests one after the other, each answered after a latency.
func (f *fixture) serveRequests(route *config.Route, n int, latency core.Time) {
	for range n {
		f.answerAfter(f.mustBegin(f.request(route)), latency)
	}
}

// Outcomes of attempts, as package forward reports them.
var (
	outcomeFull        = Outcome{Verdict: verdict.NotRun, NotExecuted: true, Status: 503}
	outcomeUnreachable = Outcome{Verdict: verdict.NotRun, ConnectFailed: true}
	outcomeMisdirected = Outcome{Verdict: verdict.NotRun, Misdirected: true, Status: 421}
	outcomeReset       = Outcome{Verdict: verdict.MayHaveRun}
	outcomeFailure     = Outcome{Verdict: verdict.Ran, Status: 500}
)
