package journal

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// retryDelay passes after a failed write before the disk is tried again.
	retryDelay = 100 * time.Millisecond
	// maxBatchBytes bounds what one sync makes durable of several writes.
	maxBatchBytes = 1 << 20
)

// recordLog is what a Writer writes to: a Journal.
type recordLog interface {
	Append(records []core.Record) error
	Checkpoint(records []core.Record) error
}

// Writer writes to a journal on a goroutine of its own, so that a slow disk holds nobody up. Writes are carried out in
// the order of their submission; several that wait are made durable by one sync.
//
// After a write that failed, the later ones fail as well, without being tried, until Resume: they build on it. Who
// submits calls Resume once the failure has been told to the state machine, from the goroutine that submits; what is
// submitted from then on is tried again.
type Writer struct {
	log      recordLog
	onResult func(token uint64, err error)
	backoff  func(time.Duration) // waits, or returns at once when the writer closes

	mutex       sync.Mutex
	changed     *sync.Cond // queue or closing
	queue       []queuedWrite
	resumeCount uint64 // how often Resume was called
	closing     bool

	stopped chan struct{}
	closed  chan struct{} // closed when pauses are to end
	// minResumeCount: writes of earlier epochs than this are not tried. Used by the writer's goroutine alone.
	minResumeCount uint64
	// lastWriteFailed: the disk refused the newest write that was tried. Used by the writer's goroutine alone.
	lastWriteFailed bool
}

// queuedWrite is a write with the epoch of its submission.
type queuedWrite struct {
	core.Write
	resumeCount uint64
}

// NewWriter starts a writer. done is called on the writer's goroutine with the end of each write, in order; it must
// neither block nor submit.
func NewWriter(journal *Journal, onResult func(token uint64, err error)) *Writer {
	w := newWriter(journal, onResult)
	go w.run()
	return w
}

func newWriter(target recordLog, onResult func(token uint64, err error)) *Writer {
	w := &Writer{log: target, onResult: onResult, stopped: make(chan struct{}), closed: make(chan struct{})}
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

// Resume has the writes that are submitted from now on tried, also after a failure.
func (w *Writer) Resume() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resumeCount++
}

// Close lets the queued writes be carried out, and returns when they are or when ctx ends. Writes that are submitted
// later may not be carried out.
func (w *Writer) Close(ctx context.Context) error {
	w.mutex.Lock()
	if !w.closing {
		w.closing = true
		close(w.closed)
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

func (w *Writer) run() {
	defer close(w.stopped)
	for {
		queued := w.dequeue()
		if len(queued) == 0 {
			return
		}
		for len(queued) > 0 {
			n := batchLength(queued)
			w.writeAndReport(queued[:n])
			queued = queued[n:]
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

// batchLength gives how many of the first writes one sync can make durable: a checkpoint alone, else as many as fit, of
// one epoch.
func batchLength(queued []queuedWrite) int {
	first := queued[0]
	if first.Checkpoint {
		return 1
	}
	bytes := framesBytes(first.Records)
	for i, write := range queued[1:] {
		bytes += framesBytes(write.Records)
		if write.Checkpoint || write.resumeCount != first.resumeCount || bytes > maxBatchBytes {
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

func (w *Writer) write(batch []queuedWrite) error {
	epoch := batch[0].resumeCount
	if epoch < w.minResumeCount {
		return Skipped.New("a write before this one failed")
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
		w.minResumeCount = epoch + 1
	}
	return err
}

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

func (w *Writer) sleep(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closed:
	}
}
