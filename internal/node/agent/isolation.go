package agent

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
)

// isolation records when a configuration last isolated a tenant that had shared cached prefixes, so
// that acknowledgements can wait until no proxy shares them any longer (control.Bounds.IsolationLease).
// It counts from when this node held the configuration, which is after it was committed. It is safe for
// concurrent use.
type isolation struct {
	mutex    sync.Mutex    // guards the fields below
	version  uint64        // of the newest configuration recorded
	since    core.Time     // when this node first held the newest that isolates a tenant
	isolates bool          // there was one
	changed  chan struct{} // closed with the next configuration
}

func newIsolation() isolation { return isolation{changed: make(chan struct{})} }

// record records the configuration that takes the place of another one; nil: of none.
func (i *isolation) record(now core.Time, before, compiled *config.Compiled) {
	isolatesNow := compiled.Isolates(before)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.version = compiled.Version
	if isolatesNow {
		i.isolates, i.since = true, now
	}
	close(i.changed)
	i.changed = make(chan struct{})
}

// remaining returns how long the acknowledgement of a version still has to wait. held is false while
// this node does not hold the version; changed is then closed with the next one that it holds.
func (i *isolation) remaining(now core.Time, version uint64, lease core.Time) (wait core.Time, held bool, changed <-chan struct{}) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.version < version {
		return 0, false, i.changed
	}
	if !i.isolates {
		return 0, true, nil
	}
	return max(i.since+lease-now, 0), true, nil
}

// awaitIsolation waits until a version may be acknowledged. The error is the context's.
func (a *Agent) awaitIsolation(ctx context.Context, version uint64) error {
	for {
		wait, held, changed := a.isolation.remaining(a.now(), version, a.bounds().IsolationLease())
		if held && wait == 0 {
			return nil
		}
		if err := awaitEither(ctx, wait, changed); err != nil {
			return err
		}
	}
}

// awaitEither waits until the channel is closed, where there is one, or else for a time. The error is
// the context's.
func awaitEither(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	var timeout <-chan time.Time
	if changed == nil {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-timeout:
		return nil
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
