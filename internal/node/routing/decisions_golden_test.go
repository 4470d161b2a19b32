package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/verdict"
)

// The golden file has one line per seed and set of disabled mechanisms: the number of traced decisions
// and the SHA-256 of the trace. A trace contains every decision with all digits of its numbers, so a
// changed line means that routing behaves differently. The digits are those of amd64. They may differ on
// platforms where the compiler fuses multiplications and additions.

var updateDecisions = flag.Bool("update-decisions", false, "rewrite testdata/golden/decisions.txt")

// goldenSteps is the number of random calls in a trace.
const goldenSteps = 2500

// gapRoute is a route with a target for the gaps between events.
var gapRoute = &config.Route{Name: "gap", Kind: config.KindStreaming, TimeoutMs: 4000, TargetLatencyMs: 300, GapTargetMs: 120,
	MaxAttempts: 2, Sticky: true}

func TestDecisionsMatchGoldenTraces(t *testing.T) {
	var lines []string
	for _, seed := range []uint64{1, 2, 3, 4} {
		lines = append(lines, traceRandomCalls(t, seed, 0, "none"))
	}
	for _, info := range mechanism.All() {
		lines = append(lines, traceRandomCalls(t, 4, info.Mechanism, info.Name))
	}
	lines = append(lines, traceSimulation(t, 0, "none"), traceEngines(t, 0, "none"),
		traceEngines(t, mechanism.RecentPrefills|mechanism.KVStore, "recent-reads,store"))
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", "golden", "decisions.txt")
	if *updateDecisions {
		assert.NilError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, got, string(want))
}

// decisionTrace hashes the decisions of a router. It writes values without field names, so that renaming
// a field changes no line of the golden file.
type decisionTrace struct {
	hash      hash.Hash
	decisions int
}

func newDecisionTrace() *decisionTrace { return &decisionTrace{hash: sha256.New()} }

func (tr *decisionTrace) add(now core.Time, d Decision) {
	tr.decisions++
	fmt.Fprintf(tr.hash, "%d", now)
	if a := d.Attempt; a != nil {
		fmt.Fprintf(tr.hash, " attempt %d %d %s %d %q %q %q %d %d %v", a.Request, a.Number, a.Instance.ID, a.ExpectVersion, a.Salt,
			a.FetchFrom, a.SaveTo, a.Priority, a.HedgeAt, a.ByPrediction)
		if a.SentPrompt != nil {
			fmt.Fprintf(tr.hash, " sent %v", *a.SentPrompt)
		}
	}
	if d.Refusal != nil {
		fmt.Fprintf(tr.hash, " refusal %v", *d.Refusal)
	}
	if d.StepTimeReport != nil {
		fmt.Fprintf(tr.hash, " step %v", *d.StepTimeReport)
	}
	fmt.Fprintln(tr.hash)
}

func (tr *decisionTrace) end(router *Router) {
	fmt.Fprintf(tr.hash, "%v %v %d\n", router.Counters(), router.LateAnswers(), router.PendingRequests())
}

func (tr *decisionTrace) line(name string) string {
	return fmt.Sprintf("%s: %d decisions %s", name, tr.decisions, hex.EncodeToString(tr.hash.Sum(nil)))
}

// randomCalls calls all methods of one router in an order, and with arguments, that a seed determines.
type randomCalls struct {
	*fixture
	trace        *decisionTrace
	random       *rand.Rand
	instances    []*registry.Instance
	versions     map[string]uint64
	openRequests []*openRequest
}

type openRequest struct {
	id       RequestID
	attempts []*Attempt
	ended    map[int]bool
}

func traceRandomCalls(t *testing.T, seed uint64, disabled mechanism.Set, name string) string {
	t.Helper()
	c := &randomCalls{trace: newDecisionTrace(), random: rand.New(rand.NewPCG(seed, 17)), instances: instances(7),
		versions: map[string]uint64{}}
	router := New(0, Options{Zone: "z0", RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second,
		VersionGrace: 8 * time.Second, VersionGraceAll: 30 * time.Second, UnstableFor: 2 * time.Second, Heartbeat: 500 * time.Millisecond,
		Random: rand.New(rand.NewPCG(seed, 9)), Index: &randomIndex{random: c.random, instances: c.instances}, Disabled: disabled})
	c.fixture = &fixture{t: t, now: 2 * time.Second, Router: router}
	c.SetProxyCount(0, 3)
	c.SetConfig(0, c.config())
	c.SetTable(0, tableOf(c.instances...))
	for range goldenSteps {
		c.now += core.Time(c.random.ExpFloat64() * float64(12*ms))
		c.makeCall()
	}
	c.trace.end(router)
	return c.trace.line(fmt.Sprintf("calls seed %d without %s", seed, name))
}

func (c *randomCalls) config() *config.Compiled {
	compiled := threeStores()
	engine := compiled.Services[service].Engine
	engine.LinkMbps, engine.KVTokenBytes, engine.KVCapacityTokens = 1e5, 2e5, 9000
	for i, store := range compiled.Stores {
		store.LinkMbps = 4e4 * float64(i)
	}
	for name, version := range c.versions {
		if compiled.ModelVersions == nil {
			compiled.ModelVersions = map[string]uint64{}
		}
		compiled.ModelVersions[name] = version
	}
	compiled.Tenants = map[string]*config.Tenant{"t0": {Name: "t0", Isolated: true}}
	return compiled
}

func (c *randomCalls) makeCall() {
	switch n := c.random.IntN(100); {
	case n < 38:
		c.beginRequest()
	case n < 90 && len(c.openRequests) > 0:
		c.continueRequest(c.random.IntN(len(c.openRequests)))
	case n < 92:
		c.RecordPeerPrompt(c.now, SentPrompt{
			Instance: c.randomInstance().ID, Salt: 7, Parts: []prompt.Part{{ID: 3, Tokens: 900}}, PrefillTokens: c.random.IntN(6000),
		})
	case n < 94:
		c.RecordPeerStepTime(StepTimeReport{Instance: c.randomInstance().ID, EventInterval: core.Time(8+c.random.IntN(20)) * ms})
	case n < 95:
		c.ObserveLoad(c.now, c.randomInstance().ID, *c.randomLoad())
	case n < 96:
		c.RecordStoreHealth(c.now, fmt.Sprintf("10.9.0.%d:9000", c.random.IntN(3)), c.random.IntN(4) > 0, false)
	case n < 99:
		c.changeInstance()
	default:
		c.changeConditions()
	}
}

func (c *randomCalls) randomInstance() *registry.Instance {
	return c.instances[c.random.IntN(len(c.instances))]
}

func (c *randomCalls) randomLoad() *Load {
	return &Load{Running: c.random.IntN(70), Waiting: max(c.random.IntN(12)-6, 0), Slots: 64}
}

func (c *randomCalls) beginRequest() {
	q := c.request([]*config.Route{safeRoute, unsafeRoute, streamRoute, resumableRoute, gapRoute}[c.random.IntN(5)])
	if c.random.IntN(3) > 0 {
		q = c.prompt(q.Route, uint64(10+c.random.IntN(30)))
		q.Parts[1].Tokens = 100 + c.random.IntN(2500)
		q.TokensIn = sumTokens(q.Parts) + c.random.IntN(500)
	}
	q.TokensOut = c.random.IntN(6000)
	q.Urgency = c.random.IntN(4)
	q.Deadline = c.now + core.Time(5+c.random.IntN(4000))*ms
	if c.random.IntN(2) == 0 {
		q.Tenant = &config.Tenant{Name: fmt.Sprintf("t%d", c.random.IntN(3))}
	}
	id, d := c.Begin(c.now, q)
	c.trace.add(c.now, d)
	open := &openRequest{id: id, ended: map[int]bool{}}
	c.openRequests = append(c.openRequests, open)
	c.addAttempt(open, d)
}

func (c *randomCalls) addAttempt(open *openRequest, d Decision) {
	if d.Attempt != nil {
		open.attempts = append(open.attempts, d.Attempt)
	}
}

// continueRequest reports an event of an open request, or ends the request.
func (c *randomCalls) continueRequest(i int) {
	open := c.openRequests[i]
	var out *Attempt
	for _, a := range open.attempts {
		if !open.ended[a.Number] && (out == nil || c.random.IntN(2) == 0) {
			out = a
		}
	}
	switch n := c.random.IntN(10); {
	case out == nil || n == 0 && c.random.IntN(4) == 0:
		c.End(c.now, open.id)
		c.openRequests = append(c.openRequests[:i], c.openRequests[i+1:]...)
	case n < 2:
		d := c.Hedge(c.now, open.id)
		c.trace.add(c.now, d)
		c.addAttempt(open, d)
	case n < 5:
		c.AnswerStarted(c.now, open.id, out.Number, c.randomLoad())
	default:
		open.ended[out.Number] = true
		d := c.AttemptEnded(c.now, open.id, out.Number, c.randomOutcome(), c.random.IntN(2) == 0)
		c.trace.add(c.now, d)
		c.addAttempt(open, d)
	}
}

func (c *randomCalls) randomOutcome() Outcome {
	if c.random.IntN(3) > 0 {
		o := Outcome{Verdict: verdict.Ran, Answered: true, Status: 200, Load: c.randomLoad()}
		o.Gaps = EventGaps{Count: c.random.IntN(20), Typical: core.Time(8+c.random.IntN(12)) * ms, Max: core.Time(c.random.IntN(300)) * ms}
		return o
	}
	full := outcomeFull
	full.Load = c.randomLoad()
	full.RetryAfter = core.Time(c.random.IntN(3)*200) * ms
	outcomes := []Outcome{full, full, outcomeUnreachable, outcomeMisdirected, outcomeReset, outcomeFailure,
		{Verdict: verdict.MayHaveRun, TimedOut: true}, {Verdict: verdict.MayHaveRun, Canceled: true},
		{Verdict: verdict.Ran, Answered: true, Status: 504}, {Verdict: verdict.NotRun, NotExecuted: true}}
	return outcomes[c.random.IntN(len(outcomes))]
}

// changeInstance replaces the entry of one broker.
func (c *randomCalls) changeInstance() {
	i := c.random.IntN(len(c.instances))
	changed := *c.instances[i]
	changed.Loading, changed.Unresponsive, changed.WarmingUpUntil = false, false, 0
	changed.State = registry.Ready
	switch c.random.IntN(7) {
	case 0:
		changed.Loading = true
	case 1:
		changed.Unresponsive = true
	case 2:
		changed.State = registry.Draining
	case 3:
		changed.State = registry.Gone
	case 4:
		changed.WarmingUpUntil = c.now + time.Second
	case 5:
		changed.Versions = map[string]uint64{model: max(c.versions[model], 1)}
	default:
		changed.Versions = map[string]uint64{model: max(c.versions[model], 2) - 1}
	}
	c.instances[i] = &changed
	c.SetTable(c.now, tableOf(c.instances...))
}

func (c *randomCalls) changeConditions() {
	switch c.random.IntN(4) {
	case 0:
		c.versions[model] = max(c.versions[model], 1) + 1
		c.SetConfig(c.now, c.config())
	case 1:
		c.RecordCoreInstability(c.now, c.now-core.Time(c.random.IntN(900))*ms)
	case 2:
		c.RecordProcessPause(c.now)
	default:
		c.SetProxyCount(c.now, 1+c.random.IntN(9))
	}
}

// randomIndex is an index that returns random holders.
type randomIndex struct {
	random    *rand.Rand
	instances []*registry.Instance
}

func (x *randomIndex) Holders(_ uint64, parts []prompt.Part) []prefixcache.Holder {
	var found []prefixcache.Holder
	for _, instance := range x.instances {
		if x.random.IntN(4) == 0 {
			found = append(found, prefixcache.Holder{Instance: instance.ID, Tokens: sumTokens(parts[:x.random.IntN(len(parts))])})
		}
	}
	for i := range 3 {
		found = append(found, prefixcache.Holder{Instance: fmt.Sprintf("10.9.0.%d:9000", i), Store: true,
			Tokens: sumTokens(parts[:x.random.IntN(len(parts))])})
	}
	return found
}

// traceSimulation traces mixed traffic to brokers of which half are faulty.
func traceSimulation(t *testing.T, disabled mechanism.Set, name string) string {
	t.Helper()
	s := newSimulation(t, 3, 12)
	s.renewProxies(disabled)
	s.trace = newDecisionTrace()
	for i, id := range []string{"i01", "i03", "i05", "i07", "i09", "i11"} {
		s.brokers[id].condition = condition(i%6 + 1)
	}
	s.traffic(300, 12*time.Second, s.mixedRequest)
	s.run(16 * time.Second)
	return s.endTrace("simulation without " + name)
}

// traceEngines traces two kinds of prompts to model brokers.
func traceEngines(t *testing.T, disabled mechanism.Set, name string) string {
	t.Helper()
	s := newEngineSim(t, 5, 9, true)
	s.renewProxies(disabled)
	s.notifyPeers = true
	s.trace = newDecisionTrace()
	s.run(12 * time.Second)
	s.sendRequests(90, 22*time.Second, s.requestGenerator())
	s.run(32 * time.Second)
	return s.endTrace("engines without " + name)
}

func (s *simulation) renewProxies(disabled mechanism.Set) {
	s.options.Disabled = disabled
	for p := range s.proxies {
		s.proxies[p] = s.newProxy(p, len(s.proxies))
	}
}

func (s *simulation) endTrace(name string) string {
	for _, router := range s.proxies {
		s.trace.end(router)
	}
	return s.trace.line(name)
}
