package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// retryDelay is the time from a failed write to the next attempt: a full or failing disk rarely
	// recovers sooner.
	retryDelay = 100 * time.Millisecond
	// maxBatchBytes bounds the bytes of several writes that share a sync, so that the first isn't
	// held up by the others.
	maxBatchBytes = 1 << 20
)

// recordLog is the target of a Writer: a Journal, or a fake in tests.
type recordLog interface {
	Append(records []core.Record) error
	Checkpoint(records []core.Record) error
}

// Writer writes to a journal on a goroutine of its own, so that a slow disk doesn't block the
// caller. It carries out writes in the order of their submission; queued ones share a sync (group
// commit).
//
// A write builds on those before it. So after a failed write, later ones fail with an error of type
// ErrSkipped and aren't tried, until Resume. The submitting goroutine calls Resume once it has
// reported the failure to the state machine; writes submitted from then on are tried.
//
// NewWriter starts the goroutine and Close ends it.
type Writer struct {
	log      recordLog
	onResult func(token uint64, err error)
	backoff  func(time.Duration) // waits; returns early when the writer closes

	mutex       sync.Mutex
	changed     *sync.Cond // signals a change of queue or closing
	queue       []queuedWrite
	resumeCount uint64 // number of calls of Resume
	closing     bool

	stopped    chan struct{} // closed when the goroutine has ended
	endBackoff chan struct{} // closed when Close is called

	// Used by the writer's goroutine alone:

	// minResumeCount is the resume count from which on writes are tried again after a failure.
	minResumeCount uint64
	// lastWriteFailed: the disk refused the newest write that was tried.
	lastWriteFailed bool
}

// queuedWrite is a write that waits to be carried out.
type queuedWrite struct {
	core.Write
	resumeCount uint64 // at its submission
}

// NewWriter starts a writer. It calls onResult on the writer's goroutine with the result of each
// write, in order; the error is nil once the write is durable. onResult must neither block nor
// submit.
func NewWriter(journal *Journal, onResult func(token uint64, err error)) *Writer {
	w := newWriter(journal, onResult)
	go w.run()
	return w
}

// newWriter returns a writer whose goroutine isn't started.
func newWriter(target recordLog, onResult func(token uint64, err error)) *Writer {
	w := &Writer{log: target, onResult: onResult, stopped: make(chan struct{}), endBackoff: make(chan struct{})}
	w.changed = sync.NewCond(&w.mutex)
	w.backoff = w.sleep
	return w
}

// Submit queues a write. It does not block.
func (w *Writer) Submit(write core.Write) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = append(w.queue, queuedWrite{Write: write, resumeCount: w.resumeCount})
	w.changed.Signal()
}

// Resume lets the writes submitted from now on be tried, also after a failure.
func (w *Writer) Resume() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resumeCount++
}

// Close ends the writer once the queued writes are carried out. It returns then, or with the error
// of ctx when that ends first. Writes submitted after Close may not be carried out.
func (w *Writer) Close(ctx context.Context) error {
	w.mutex.Lock()
	if !w.closing {
		w.closing = true
		close(w.endBackoff)
	}
	w.changed.Signal()
	w.mutex.Unlock()
	select {
	case <-w.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run carries out writes until the writer is closed and the queue is empty.
func (w *Writer) run() {
	defer close(w.stopped)
	for {
		queued := w.dequeue()
		if len(queued) == 0 {
			return
		}
		for len(queued) > 0 {
			length := batchLength(queued)
			w.writeAndReport(queued[:length])
			queued = queued[length:]
		}
	}
}

// dequeue waits for writes and returns all that are queued; none: the writer closes.
func (w *Writer) dequeue() []queuedWrite {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.queue) == 0 && !w.closing {
		w.changed.Wait()
	}
	queued := w.queue
	w.queue = nil
	return queued
}

// batchLength returns how many of the first writes can share a sync: a checkpoint goes alone; else
// as many as fit, all of one resume count.
func batchLength(queued []queuedWrite) int {
	first := queued[0]
	if first.Checkpoint {
		return 1
	}
	total := framesBytes(first.Records)
	for i, write := range queued[1:] {
		total += framesBytes(write.Records)
		if write.Checkpoint || write.resumeCount != first.resumeCount || total > maxBatchBytes {
			return i + 1
		}
	}
	return len(queued)
}

// writeAndReport writes a batch and reports it.
func (w *Writer) writeAndReport(batch []queuedWrite) {
	err := w.write(batch)
	for _, write := range batch {
		w.onResult(write.Token, err)
	}
}

// write writes a batch of one resume count, or skips it.
func (w *Writer) write(batch []queuedWrite) error {
	resumeCount := batch[0].resumeCount
	if resumeCount < w.minResumeCount {
		return fmt.Errorf("%w: an earlier write failed", ErrSkipped)
	}
	if w.lastWriteFailed {
		w.backoff(retryDelay)
	}
	var err error
	if batch[0].Checkpoint {
		err = w.log.Checkpoint(batch[0].Records)
	} else {
		err = w.log.Append(recordsOf(batch))
	}
	w.lastWriteFailed = err != nil
	if w.lastWriteFailed {
		w.minResumeCount = resumeCount + 1
	}
	return err
}

// recordsOf returns the records of the writes, in order.
func recordsOf(batch []queuedWrite) []core.Record {
	if len(batch) == 1 {
		return batch[0].Records
	}
	var records []core.Record
	for _, write := range batch {
		records = append(records, write.Records...)
	}
	return records
}

// sleep waits for the delay, or until Close is called.
func (w *Writer) sleep(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.endBackoff:
	}
}
