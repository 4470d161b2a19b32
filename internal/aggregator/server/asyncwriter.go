package server

import (
	"io"
	"sync/atomic"
)

// asyncWriter is the way of log lines to a writer that may be slow: they wait in a queue of bounded
// length, and those that find it full are dropped and counted, so that logging never stops the
// loop.
//
// It is a channel, whose wake-ups can't get lost. zerolog's own ring wakes its reader without the
// lock that the reader looks under: a line that came between the reader's look and its sleep stayed
// unwritten until the next one, and the last line before a quiet time is the one that tells why it
// is quiet.
type asyncWriter struct {
	destination io.Writer
	queue       chan []byte
	stop        chan struct{}
	done        chan struct{}
	dropped     atomic.Int64
}

func newAsyncWriter(to io.Writer, most int) *asyncWriter {
	l := &asyncWriter{destination: to, queue: make(chan []byte, most), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *asyncWriter) run() {
	defer close(l.done)
	for {
		select {
		case line := <-l.queue:
			l.destination.Write(line)
		case <-l.stop:
			for {
				select {
				case line := <-l.queue:
					l.destination.Write(line)
				default:
					return
				}
			}
		}
	}
}

// Write never waits. The line is the caller's again afterwards.
func (l *asyncWriter) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and gives the end of that: a channel, as the reader at the other side may
// have stopped reading.
func (l *asyncWriter) Close() <-chan struct{} {
	close(l.stop)
	return l.done
}
