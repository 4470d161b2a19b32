package membership

import (
	"time"

	"kestrelspread/internal/node/defaults"
	"kestrelspread/internal/node/nodepb"
)

// Defaults of Options.
const (
	DefaultPeriod            = time.Second
	DefaultProbeTimeout      = 300 * time.Millisecond
	DefaultIndirectProbes    = 3
	DefaultMinSuspicion      = 2500 * time.Millisecond
	DefaultDeadRetention     = 60 * time.Second
	DefaultUpdatesPerMessage = 8
	DefaultSyncInterval      = 30 * time.Second
)

// Options of a Membership. A zero value stands for its default.
type Options struct {
	// Self describes this node. Its node id is a new one at every start of the process.
	Self *nodepb.Member
	// Seeds are the internal addresses (IP:port) of nodes through which to join; the node's own may
	// be among them.
	Seeds []string

	// Period is the time between two probes.
	Period time.Duration
	// ProbeTimeout is the time without an ack after which other members are asked to probe.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are asked.
	IndirectProbes int
	// MinSuspicion is the minimum time that a suspect has to refute the suspicion.
	MinSuspicion time.Duration
	// DeadRetention is how long a dead node is remembered, and probed now and then.
	DeadRetention time.Duration
	// UpdatesPerMessage is the usual maximum of updates on a probe or an ack.
	UpdatesPerMessage int
	// SyncInterval is the mean time between two exchanges of the complete list with a random
	// member, up to unscaledSyncMembers members; above, it grows in proportion to them.
	SyncInterval time.Duration
}

// withDefaults returns the options with the defaults in place of zero values.
func (o Options) withDefaults() Options {
	defaults.Duration(&o.Period, DefaultPeriod)
	defaults.Duration(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Int(&o.IndirectProbes, DefaultIndirectProbes)
	defaults.Duration(&o.MinSuspicion, DefaultMinSuspicion)
	defaults.Duration(&o.DeadRetention, DefaultDeadRetention)
	defaults.Int(&o.UpdatesPerMessage, DefaultUpdatesPerMessage)
	defaults.Duration(&o.SyncInterval, DefaultSyncInterval)
	return o
}
