package chain

import (
	"kestrelspread/internal/node/core"
)

// pendingWrite is a record on its way to the disk, and what follows once it is durable.
type pendingWrite struct {
	record    core.Record
	onDurable func()
}

// writer hands records to the journal strictly in order: one Write is out at a time, all that comes meanwhile goes with the
// next. A Write that failed is repeated, so nothing is ever durable before what was written earlier.
type writer struct {
	lastToken         uint64
	inFlight          []pendingWrite // of the Write that is out
	queue             []pendingWrite
	writeStartedAt    core.Time // when the Write that is out began; core.Never: none is out
	retryAt           core.Time
	lastFaultAt       core.Time // when the disk was last seen in trouble; -1: never
	failing           bool
	buildCheckpoint   func() []core.Record // builds a checkpoint; nil: none is asked for
	writingCheckpoint bool                 // the Write that is out is a checkpoint
}

func newWriter() writer { return writer{writeStartedAt: core.Never, lastFaultAt: -1} }

// append queues a record; done may be nil.
func (w *writer) append(record core.Record, onDurable func()) {
	w.queue = append(w.queue, pendingWrite{record, onDurable})
}

// flush returns the next Write, if there is one to make now.
func (w *writer) flush(now core.Time) (write core.Write, ok bool) {
	idle := w.writeStartedAt == core.Never && now >= w.retryAt
	if !idle || len(w.queue) == 0 && w.buildCheckpoint == nil {
		return core.Write{}, false
	}
	w.lastToken++
	w.writeStartedAt = now
	w.inFlight = w.queue
	w.queue = nil
	write = core.Write{Token: w.lastToken}
	w.writingCheckpoint = w.buildCheckpoint != nil
	if w.writingCheckpoint {
		write.Checkpoint = true
		write.Records = w.buildCheckpoint()
		return write, true
	}
	write.Records = make([]core.Record, len(w.inFlight))
	for i := range w.inFlight {
		write.Records[i] = w.inFlight[i].record
	}
	return write, true
}

// complete takes the end of a Write and returns what follows from it.
func (w *writer) complete(now core.Time, token uint64, err error) (done []pendingWrite) {
	if w.writeStartedAt == core.Never || token != w.lastToken {
		return nil
	}
	slow := now-w.writeStartedAt > writeTimeout
	w.writeStartedAt = core.Never
	if err != nil {
		w.failing = true
		w.lastFaultAt = now
		w.retryAt = now + writeRetryBackoff
		w.queue = append(w.inFlight, w.queue...)
		w.inFlight = nil
		return nil
	}
	if slow {
		w.lastFaultAt = now
	}
	w.failing = false
	if w.writingCheckpoint {
		w.buildCheckpoint = nil
	}
	done = w.inFlight
	w.inFlight = nil
	return done
}

// healthy reports whether the disk takes writes in good time, and has for a while.
func (w *writer) healthy(now core.Time) bool {
	if w.failing || w.writeStartedAt != core.Never && now-w.writeStartedAt > writeTimeout {
		return false
	}
	return w.lastFaultAt < 0 || now-w.lastFaultAt >= diskRecoveryPeriod
}

// deadline is when the writer wants to be looked at.
func (w *writer) deadline(now core.Time) core.Time {
	switch {
	case w.writeStartedAt != core.Never && now-w.writeStartedAt <= writeTimeout:
		return w.writeStartedAt + writeTimeout + 1
	case w.writeStartedAt == core.Never && len(w.queue) > 0:
		return w.retryAt
	default:
		return core.Never
	}
}
