package routing

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/core"
)

// Options are the figures of a deployment, from its settings file (DEPLOY.md, "Settings of a process").
type Options struct {
	Zone string
	// RetryBudgetRatio, RetryBudgetSlack and BudgetWindow bound what all proxies together send beyond the first arrival of
	// each request to a service (RULES.md, "Retries").
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	BudgetWindow     time.Duration
	// VersionGrace is how long after this node learnt of a new version of a model's weights a broker with the one before
	// may still be sent requests: less than versionMs.
	VersionGrace time.Duration
	Random       *rand.Rand
	// Index may be nil; then brokers are found by the hash of a prompt's parts alone.
	Index Index
}

func (o *Options) withDefaults() {
	if o.BudgetWindow <= 0 {
		o.BudgetWindow = 10 * time.Second
	}
	if o.VersionGrace < 0 {
		o.VersionGrace = 0
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
}

// milliseconds converts a steady time into the unit of packages predict and window.
func milliseconds(t core.Time) float64 { return float64(t) / float64(time.Millisecond) }

// fromMilliseconds converts a figure of the configuration into a time.
func fromMilliseconds(ms float64) core.Time { return core.Time(ms * float64(time.Millisecond)) }
