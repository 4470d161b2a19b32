package chain

import (
	"kestrelspread/internal/node/core"
)

// pendingWrite is a record that is not durable yet; onDurable, which may be nil, runs once it is.
type pendingWrite struct {
	record    core.Record
	onDurable func()
}

// recordQueue hands records to the journal strictly in order: one Write is in flight at a time, and all
// records that are queued meanwhile go with the next. A Write that failed is retried, so that no
// record is durable before an earlier one.
type recordQueue struct {
	lastToken         uint64
	inFlight          []pendingWrite       // of the Write in flight
	queue             []pendingWrite       // for the next Write
	writeStartedAt    core.Time            // of the Write in flight; core.Never: there is none
	retryAt           core.Time            // no Write before
	lastFaultAt       core.Time            // of a failed or slow Write; -1: there was none
	failing           bool                 // the last Write has failed
	buildCheckpoint   func() []core.Record // makes the next Write a checkpoint; nil: no
	writingCheckpoint bool                 // the Write in flight is a checkpoint
}

func newRecordQueue() recordQueue { return recordQueue{writeStartedAt: core.Never, lastFaultAt: -1} }

// append queues a record; onDurable may be nil.
func (w *recordQueue) append(record core.Record, onDurable func()) {
	w.queue = append(w.queue, pendingWrite{record, onDurable})
}

// flush returns the next Write, if one is due now. A checkpoint holds the effect of the queued
// records, so that they are durable with it.
func (w *recordQueue) flush(now core.Time) (write core.Write, ok bool) {
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

// complete ends the Write in flight and returns the records that are durable now. The records of a
// failed one go to the front of the queue. The end of an earlier Write is ignored.
func (w *recordQueue) complete(now core.Time, token uint64, err error) (durable []pendingWrite) {
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
	durable = w.inFlight
	w.inFlight = nil
	return durable
}

// healthy reports whether the disk takes writes within writeTimeout, and has done so for
// diskRecoveryPeriod.
func (w *recordQueue) healthy(now core.Time) bool {
	if w.failing || w.writeStartedAt != core.Never && now-w.writeStartedAt > writeTimeout {
		return false
	}
	return w.lastFaultAt < 0 || now-w.lastFaultAt >= diskRecoveryPeriod
}

// deadline is when the Write in flight becomes slow, or a failed one is to be retried.
func (w *recordQueue) deadline(now core.Time) core.Time {
	switch {
	case w.writeStartedAt != core.Never && now-w.writeStartedAt <= writeTimeout:
		return w.writeStartedAt + writeTimeout + 1
	case w.writeStartedAt == core.Never && len(w.queue) > 0:
		return w.retryAt
	default:
		return core.Never
	}
}
