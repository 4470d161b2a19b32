package server

import (
	"io"
	"sync/atomic"
)

// asyncWriter writes log lines to a destination that may be slow. The lines wait in a bounded
// queue; a line that finds the queue full is dropped and counted, so that logging never blocks the
// event loop.
//
// The queue is a channel, so no wake-up of the writing goroutine can be lost. zerolog's own ring
// buffer (package diode) wakes its reader without holding the lock under which the reader checks
// for lines: a line that arrived between the reader's check and its sleep stayed unwritten until
// the next line. The last line before a quiet period is the one that explains the quiet.
type asyncWriter struct {
	destination io.Writer
	queue       chan []byte
	stop        chan struct{} // closed by Close
	done        chan struct{} // closed when the queue has been written out after Close
	dropped     atomic.Int64  // lines dropped because the queue was full
}

// newAsyncWriter starts a writer to destination with a queue of capacity lines.
func newAsyncWriter(destination io.Writer, capacity int) *asyncWriter {
	w := &asyncWriter{destination: destination, queue: make(chan []byte, capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.destination.Write(line)
		case <-w.stop:
			for {
				select {
				case line := <-w.queue:
					w.destination.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Write queues a copy of the line, or drops the line if the queue is full. It never blocks and
// never fails; the caller may reuse the slice.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close has the queued lines written and returns a channel that is closed once they are. It does
// not wait itself, because whoever reads the destination may have stopped reading.
func (w *asyncWriter) Close() <-chan struct{} {
	close(w.stop)
	return w.done
}
