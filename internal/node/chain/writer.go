package chain

import (
	"kestrelspread/internal/node/core"
)

// pendingWrite is a record on its way to the disk, and what follows once it is durable.
type pendingWrite struct {
	record core.Record
	done   func()
}

// writer hands records to the journal strictly in order: one Write is out at a time, all that comes meanwhile goes with the
// next. A Write that failed is repeated, so nothing is ever durable before what was written earlier.
type writer struct {
	token    uint64
	out      []pendingWrite // of the Write that is out
	queue    []pendingWrite
	started  core.Time // when the Write that is out began; core.Never: none is out
	retryAt  core.Time
	trouble  core.Time // when the disk was last seen in trouble; -1: never
	failing  bool
	compact  func() []core.Record // builds a checkpoint; nil: none is asked for
	compacts bool                 // the Write that is out is a checkpoint
}

func newWriter() writer { return writer{started: core.Never, trouble: -1} }

// append queues a record; done may be nil.
func (w *writer) append(record core.Record, done func()) {
	w.queue = append(w.queue, pendingWrite{record, done})
}

// flush returns the next Write, if there is one to make now.
func (w *writer) flush(now core.Time) (write core.Write, ok bool) {
	idle := w.started == core.Never && now >= w.retryAt
	if !idle || len(w.queue) == 0 && w.compact == nil {
		return core.Write{}, false
	}
	w.token++
	w.started = now
	w.out = w.queue
	w.queue = nil
	write = core.Write{Token: w.token}
	w.compacts = w.compact != nil
	if w.compacts {
		write.Checkpoint = true
		write.Records = w.compact()
		return write, true
	}
	write.Records = make([]core.Record, len(w.out))
	for i := range w.out {
		write.Records[i] = w.out[i].record
	}
	return write, true
}

// written takes the end of a Write and returns what follows from it.
func (w *writer) written(now core.Time, token uint64, err error) (done []pendingWrite) {
	if w.started == core.Never || token != w.token {
		return nil
	}
	slow := now-w.started > writeTimeout
	w.started = core.Never
	if err != nil {
		w.failing = true
		w.trouble = now
		w.retryAt = now + writeRetry
		w.queue = append(w.out, w.queue...)
		w.out = nil
		return nil
	}
	if slow {
		w.trouble = now
	}
	w.failing = false
	if w.compacts {
		w.compact = nil
	}
	done = w.out
	w.out = nil
	return done
}

// healthy reports whether the disk takes writes in good time, and has for a while.
func (w *writer) healthy(now core.Time) bool {
	if w.failing || w.started != core.Never && now-w.started > writeTimeout {
		return false
	}
	return w.trouble < 0 || now-w.trouble >= healthyAfter
}

// deadline is when the writer wants to be looked at.
func (w *writer) deadline(now core.Time) core.Time {
	switch {
	case w.started != core.Never && now-w.started <= writeTimeout:
		return w.started + writeTimeout + 1
	case w.started == core.Never && len(w.queue) > 0:
		return w.retryAt
	default:
		return core.Never
	}
}
