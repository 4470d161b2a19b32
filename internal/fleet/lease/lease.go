// Package lease grants the fleet's singleton roles: tasks that at most one instance performs at a
// time on behalf of the whole fleet. Each grant carries a lease and a fencing token, and tokens
// are strictly increasing. The lease decides which instance may start an effect, such as a write.
// Whether the effect is accepted depends on the token alone: the receiver checks it in the same
// atomic step as the effect (see package fence).
//
// The package consists of three state machines that read no clock, start no goroutine and do no
// I/O; callers pass in the time:
//
//   - State is the replicated state machine, changed only by committed commands.
//   - Lessor tracks lease expiry on the leading voter and decides when commands are due.
//   - Holder tracks the leases that one instance holds.
//
// All times are milliseconds of a monotonic clock, one per process. Clocks may drift against each
// other by up to Config.MaxDrift and may stop for a while. The package maintains two invariants:
// a holder stops trusting its lease before the lessor lets it expire, and no token is granted
// twice.
//
// The operator's file, the stored state and the messages call a role a "duty" and its holder an
// "owner"; the JSON keys keep these words for compatibility.
package lease

// Config holds the durations of leases in ms, and the bound on clock drift.
type Config struct {
	// LeaseMs is the duration of a lease after a grant or a renewal.
	LeaseMs float64
	// MaxDrift bounds how far two monotonic clocks drift apart, as a fraction of the elapsed time.
	MaxDrift float64
	// HandoverMs is how long a holder may take to release a role after being asked to.
	HandoverMs float64
	// FailureBackoffMs is how long a role is not granted again after its holder failed. It
	// doubles with each consecutive failure, up to MaxFailureBackoffMs.
	FailureBackoffMs float64
	// MaxFailureBackoffMs limits the backoff after consecutive failures.
	MaxFailureBackoffMs float64
}

// DefaultConfig is used when the operator's file sets no lease times.
var DefaultConfig = Config{
	LeaseMs:             3000,
	MaxDrift:            0.02,
	HandoverMs:          15000,
	FailureBackoffMs:    2000,
	MaxFailureBackoffMs: 300000,
}

// ConfigForLease returns a configuration whose durations are derived from the given lease in ms.
func ConfigForLease(leaseMs float64) Config {
	c := DefaultConfig
	c.LeaseMs = leaseMs
	c.HandoverMs = 5 * leaseMs
	c.FailureBackoffMs = leaseMs
	return c
}

// PollIntervalMs returns the interval in ms at which an instance sends lease requests. It is a
// fraction of the lease, so that a lease survives the loss of some requests.
func (c Config) PollIntervalMs() float64 { return c.LeaseMs / 6 }

// RequestTimeoutMs returns how long an instance waits for a response before it tries another
// voter, in ms. It is short enough to reach another voter before the lease expires.
func (c Config) RequestTimeoutMs() float64 { return c.LeaseMs / 4 }

// ProgressTimeoutMs returns how long a holder waits for its progress to be committed before it
// resends it, in ms.
func (c Config) ProgressTimeoutMs() float64 { return c.LeaseMs / 2 }

// TickIntervalMs returns the interval of a voter's raft ticks, at most 100 ms. It shrinks with
// short leases, because an election must complete within a few leases.
func (c Config) TickIntervalMs() float64 { return min(100, c.LeaseMs/15) }

// lessorSpanMs returns how long the lessor keeps a lease before expiring it, in ms. It is longer
// than Holder.trustedSpanMs by enough to cover the clock drift, so the holder's lease ends first.
func (c Config) lessorSpanMs() float64 { return c.LeaseMs * (1 + c.MaxDrift) }
