package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

var errRefused = errors.New("the disk refused")

// fakeLog takes writes one at a time, as the test lets it.
type fakeLog struct {
	calls   chan string // what was written
	answers chan error  // the result of each write
}

func newFakeLog() *fakeLog {
	return &fakeLog{calls: make(chan string, 100), answers: make(chan error, 100)}
}

func (l *fakeLog) Append(records []core.Record) error     { return l.call("append", records) }
func (l *fakeLog) Checkpoint(records []core.Record) error { return l.call("checkpoint", records) }

func (l *fakeLog) call(what string, records []core.Record) error {
	for _, record := range records {
		what += " " + string(record.Data)
	}
	l.calls <- what
	return <-l.answers
}

// writerWorld is a writer on a fakeLog, and the results it reported.
type writerWorld struct {
	t        *testing.T
	log      *fakeLog
	writer   *Writer
	results  chan string // token and result of each write
	backoffs chan time.Duration
}

func newWriterWorld(t *testing.T) *writerWorld {
	t.Helper()
	w := &writerWorld{t: t, log: newFakeLog(), results: make(chan string, 100), backoffs: make(chan time.Duration, 100)}
	w.writer = newWriter(w.log, func(token uint64, err error) {
		w.results <- fmt.Sprintf("%d %s", token, outcome(err))
	})
	w.writer.backoff = func(delay time.Duration) { w.backoffs <- delay }
	go w.writer.run()
	t.Cleanup(func() {
		close(w.log.answers)
		assert.NilError(t, w.writer.Close(context.Background()))
	})
	return w
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "written"
	case errors.Is(err, ErrSkipped):
		return "skipped"
	default:
		return "refused"
	}
}

func (w *writerWorld) submit(token uint64, checkpoint bool) {
	record := core.Record{Data: fmt.Append(nil, token)}
	w.writer.Submit(core.Write{Token: token, Records: []core.Record{record}, Checkpoint: checkpoint})
}

// called waits for the next call of the log.
func (w *writerWorld) called(want string) {
	w.t.Helper()
	assert.Equal(w.t, <-w.log.calls, want)
}

// ended waits for the results of writes, in order.
func (w *writerWorld) ended(want ...string) {
	w.t.Helper()
	for _, end := range want {
		assert.Equal(w.t, <-w.results, end)
	}
}

func TestQueuedWritesShareOneSync(t *testing.T) {
	w := newWriterWorld(t)
	w.submit(1, false)
	w.called("append 1")
	w.submit(2, false)
	w.submit(3, false)
	w.submit(4, true)
	w.submit(5, false)
	w.log.answers <- nil
	w.ended("1 written")
	w.called("append 2 3")
	w.log.answers <- nil
	w.ended("2 written", "3 written")
	w.called("checkpoint 4")
	w.log.answers <- nil
	w.ended("4 written")
	w.called("append 5")
	w.log.answers <- nil
	w.ended("5 written")
}

func TestBatchesAreBounded(t *testing.T) {
	large := queuedWrite{Write: core.Write{Records: []core.Record{{Data: make([]byte, maxBatchBytes/2)}}}}
	small := queuedWrite{Write: core.Write{Records: []core.Record{{Data: make([]byte, 10)}}}}
	later := small
	later.resumeCount = 1
	checkpoint := small
	checkpoint.Checkpoint = true
	cases := []struct {
		queued []queuedWrite
		length int
	}{
		{[]queuedWrite{small}, 1},
		{[]queuedWrite{large, large, small}, 1},
		{[]queuedWrite{large, small, small, large}, 3},
		{[]queuedWrite{checkpoint, small}, 1},
		{[]queuedWrite{small, checkpoint}, 1},
		{[]queuedWrite{small, small, later}, 2},
	}
	for i, c := range cases {
		assert.Equal(t, batchLength(c.queued), c.length, "case %d", i)
	}
}

func TestLaterWritesFailUntilResume(t *testing.T) {
	w := newWriterWorld(t)
	w.submit(1, false)
	w.called("append 1")
	w.submit(2, false)
	w.submit(3, true)
	w.log.answers <- errRefused
	w.ended("1 refused", "2 skipped", "3 skipped")
	w.submit(4, false)
	w.ended("4 skipped")

	w.writer.Resume()
	w.submit(5, false)
	assert.Equal(t, <-w.backoffs, retryDelay)
	w.called("append 5")
	w.log.answers <- nil
	w.ended("5 written")
	w.submit(6, false)
	w.called("append 6")
	w.log.answers <- nil
	w.ended("6 written")
	assert.Equal(t, len(w.backoffs), 0)
}

// TestResumeBetweenTwoSubmissions: what was submitted before it is skipped, what comes after is
// tried.
func TestResumeBetweenTwoSubmissions(t *testing.T) {
	w := newWriterWorld(t)
	w.submit(1, false)
	w.called("append 1")
	w.submit(2, false)
	w.writer.Resume()
	w.submit(3, false)
	w.log.answers <- errRefused
	w.ended("1 refused", "2 skipped")
	w.called("append 3")
	w.log.answers <- errRefused
	w.ended("3 refused")
}

func TestCloseCompletesQueuedWrites(t *testing.T) {
	w := newWriterWorld(t)
	w.submit(1, false)
	w.called("append 1")
	w.submit(2, false)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, errors.Is(w.writer.Close(ctx), context.Canceled))
	w.log.answers <- nil
	w.log.answers <- nil
	assert.NilError(t, w.writer.Close(t.Context()))
	w.ended("1 written", "2 written")
}

func TestCloseEndsBackoff(t *testing.T) {
	w := newWriter(newFakeLog(), nil)
	go w.run()
	assert.NilError(t, w.Close(t.Context()))
	w.sleep(time.Hour)
}

func TestWriterAppendsToJournalInOrder(t *testing.T) {
	options := Options{Dir: t.TempDir()}
	opened, _, err := Open(options)
	assert.NilError(t, err)
	var waiting sync.WaitGroup
	writer := NewWriter(opened, func(_ uint64, err error) {
		assert.Check(t, err)
		waiting.Done()
	})
	const writes = 50
	waiting.Add(writes)
	for token := range uint64(writes) {
		record := core.Record{Data: fmt.Append(nil, token)}
		writer.Submit(core.Write{Token: token, Records: []core.Record{record}, Checkpoint: token == 20})
	}
	waiting.Wait()
	assert.NilError(t, writer.Close(t.Context()))
	assert.NilError(t, opened.Close())
	again, records, err := Open(options)
	assert.NilError(t, err)
	defer again.Close()
	assert.Equal(t, len(records), writes-20)
	for i, record := range records {
		assert.Equal(t, string(record.Data), fmt.Sprint(20+i))
	}
}
