package clientfaults

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ErrProcessEnded says that a process is gone.
var ErrProcessEnded = errors.New("clientfaults: the process has ended")

// Usage is what a process has used at most.
type Usage struct {
	MemoryBytes int64 // resident
	Descriptors int
}

// Process reads the resources of a process of this machine from /proc.
type Process int

// PeakMemory is the largest resident memory since the start of the process.
func (p Process) PeakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrProcessEnded, err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("%w: process %d has no memory", ErrProcessEnded, p) // it ended, and nobody has waited for it
}

// Descriptors is the number of open descriptors.
func (p Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrProcessEnded, err)
	}
	return len(entries), nil
}

// watchInterval is the time between two counts of descriptors.
const watchInterval = 20 * time.Millisecond

// Watch is a measurement in progress.
type Watch struct {
	process Process
	cancel  context.CancelFunc
	done    sync.WaitGroup
	peak    int // descriptors
	err     error
}

// Watch starts to measure.
func (p Process) Watch() *Watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watch{process: p, cancel: cancel}
	w.done.Go(func() {
		for ctx.Err() == nil && w.count() {
			pause(ctx, watchInterval)
		}
	})
	return w
}

// count counts the descriptors once, and reports whether there is a process.
func (w *Watch) count() bool {
	open, err := w.process.Descriptors()
	w.peak, w.err = max(w.peak, open), err
	return err == nil
}

// Stop ends the measurement. The error says that the process has ended.
func (w *Watch) Stop() (Usage, error) {
	w.cancel()
	w.done.Wait()
	memory, err := w.process.PeakMemory()
	return Usage{MemoryBytes: memory, Descriptors: w.peak}, errors.Join(w.err, err)
}
