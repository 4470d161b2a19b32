// Package lease grants the fleet's singleton roles: work that one instance at a time does on
// behalf of all. Each grant carries a lease and a fencing token. Tokens rise strictly for ever.
// The lease says who may begin an effect; only the token, which the receiver checks in the same
// atomic step as the effect (package fence), says which effect counts.
//
// It is three reducers that read no clock, start no goroutine and do no I/O:
//
//   - State is the replicated state machine, changed by agreed commands alone.
//   - Lessor is the leading voter's view of time, which decides when commands are due.
//   - Holder is one instance's view of the leases that it holds.
//
// Times are milliseconds of steady clocks, one for each process. Clocks may drift against each
// other by Config.MaxDrift and may stand still. The package keeps two invariants: a holder stops
// trusting its lease before the lessor lets it expire, and a token is never granted twice.
//
// The operator's file, the stored state and the messages call a role a "duty" and its holder an
// "owner"; their JSON keys keep these words.
package lease

// Config has the times of leases in ms, and the bound on clock drift.
type Config struct {
	// LeaseMs is for how long a grant or a renewal lasts.
	LeaseMs float64
	// MaxDrift is by how much two steady clocks may run apart, as a share of the time passed.
	MaxDrift float64
	// HandoverMs is how long a holder may take to release a role after it was asked to.
	HandoverMs float64
	// FailureBackoffMs is for how long a role is granted to nobody after its holder failed. It
	// doubles with each failure in a row, up to MaxFailureBackoffMs.
	FailureBackoffMs    float64
	MaxFailureBackoffMs float64
}

// DefaultConfig applies where the operator's file names no times.
var DefaultConfig = Config{
	LeaseMs:             3000,
	MaxDrift:            0.02,
	HandoverMs:          15000,
	FailureBackoffMs:    2000,
	MaxFailureBackoffMs: 300000,
}

// ConfigForLease derives a configuration from a lease of the operator's choice, in ms.
func ConfigForLease(leaseMs float64) Config {
	c := DefaultConfig
	c.LeaseMs = leaseMs
	c.HandoverMs = 5 * leaseMs
	c.FailureBackoffMs = leaseMs
	return c
}

// PollIntervalMs is how often an instance sends a lease request: several times a lease, so that
// some of them may be lost.
func (c Config) PollIntervalMs() float64 { return c.LeaseMs / 6 }

// RequestTimeoutMs is how long an instance waits for a response before it asks another voter. It
// leaves time for that within the lease.
func (c Config) RequestTimeoutMs() float64 { return c.LeaseMs / 4 }

// ProgressTimeoutMs is how long a holder waits for its progress to be committed before it sends
// it again.
func (c Config) ProgressTimeoutMs() float64 { return c.LeaseMs / 2 }

// TickIntervalMs is the interval of a voter's raft clock, 100 ms at most: with short leases an
// election has to be over well within a few of them.
func (c Config) TickIntervalMs() float64 { return min(100, c.LeaseMs/15) }

// lessorSpanMs is how long the lessor lets a lease run. Together with Holder.trustedSpanMs it
// covers the clock drift: the holder's lease ends first.
func (c Config) lessorSpanMs() float64 { return c.LeaseMs * (1 + c.MaxDrift) }
