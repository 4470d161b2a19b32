package routing

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
)

// Options are the figures of a deployment, from its settings file (DEPLOY.md, "Settings of a
// process").
type Options struct {
	Zone string // of this proxy
	// Heartbeat is how often brokers report to the registry.
	Heartbeat time.Duration
	// RetryBudgetRatio, RetryBudgetSlack and BudgetWindow bound what all proxies together send
	// beyond the first arrival of each request to a service (RULES.md, "Retries").
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	BudgetWindow     time.Duration
	// VersionGrace is the deployment's versionMs: no request may start on older weights later than
	// that after a newer version of them was acknowledged, counted within a single stretch during
	// which the core was stable (RULES.md, VERSION). The router keeps a margin of its own.
	VersionGrace time.Duration
	// VersionGraceAll is versionAllMs, the same over all such stretches; 0: as VersionGrace.
	VersionGraceAll time.Duration
	// UnstableFor is contactMs: for so long after a fault the core is unstable.
	UnstableFor time.Duration
	// Random decides what is left to chance; nil: a fixed seed.
	Random *rand.Rand
	// Index may be nil; then brokers are found by the rendezvous order of a prompt's parts alone.
	// One that is a prefixcache.Observer too is notified of the prompts that brokers have begun to
	// answer.
	Index prefixcache.Index
	// Disabled names the mechanisms that are switched off.
	Disabled mechanism.Set
}

// defaultBudgetWindow stands where the settings name none.
const defaultBudgetWindow = 10 * time.Second

func (o *Options) applyDefaults() {
	if o.BudgetWindow <= 0 {
		o.BudgetWindow = defaultBudgetWindow
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
}
