package routing

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
)

// Options configures a router, from the settings file of the deployment (DEPLOY.md, "Settings of a
// process").
type Options struct {
	Zone string // of this proxy
	// Heartbeat is the interval at which brokers report to the registry.
	Heartbeat time.Duration
	// RetryBudgetRatio, RetryBudgetSlack and BudgetWindow bound the attempts that all proxies together
	// send to a service beyond the first arrival of each request (RULES.md, "Retries"): in each
	// BudgetWindow, RetryBudgetRatio for each request and RetryBudgetSlack in all. BudgetWindow
	// defaults to 10 seconds.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	BudgetWindow     time.Duration
	// VersionGrace is the deployment's versionMs: how long after the acknowledgement of a newer version
	// of a model's weights requests may still start on older ones, within a single period during
	// which the core is stable (RULES.md, VERSION). The router subtracts a safety margin.
	VersionGrace time.Duration
	// VersionGraceAll is versionAllMs, the same over all such periods; 0: equal to VersionGrace.
	VersionGraceAll time.Duration
	// UnstableFor is contactMs: how long the core counts as unstable after a fault.
	UnstableFor time.Duration
	// Random is the source of random decisions; nil: one with a fixed seed.
	Random *rand.Rand
	// Index tells which brokers cache which parts of prompts. If it is nil, brokers are found only by
	// the rendezvous order of a prompt's parts. If it also implements prefixcache.Observer, it is
	// notified of the prompts that brokers have begun to answer.
	Index prefixcache.Index
	// Disabled names the mechanisms that are switched off.
	Disabled mechanism.Set
}

// defaultBudgetWindow is the BudgetWindow of Options that set none.
const defaultBudgetWindow = 10 * time.Second

// applyDefaults sets the defaults of BudgetWindow and Random.
func (o *Options) applyDefaults() {
	if o.BudgetWindow <= 0 {
		o.BudgetWindow = defaultBudgetWindow
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
}
