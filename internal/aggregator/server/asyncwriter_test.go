package server

import (
	"bytes"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// lineCounter counts the lines written to it.
type lineCounter struct{ lines atomic.Int64 }

func (c *lineCounter) Write(b []byte) (int, error) {
	c.lines.Add(1)
	return len(b), nil
}

// TestLastLineBeforeQuietPeriodIsWritten guards against lost wake-ups of the writing goroutine. It
// writes a line only after the previous one has come out, with pauses of varying length in between,
// so that some lines arrive just as that goroutine goes to sleep. Where wake-ups can be lost, about
// one line in fifty thousand is not written.
func TestLastLineBeforeQuietPeriodIsWritten(t *testing.T) {
	c := &lineCounter{}
	w := newAsyncWriter(c, 10)
	end := time.Now().Add(2 * time.Second)
	for i := int64(1); time.Now().Before(end); i++ {
		w.Write([]byte("a line\n"))
		for since := time.Now(); c.lines.Load() < i; runtime.Gosched() {
			if time.Since(since) > 20*time.Second {
				t.Fatalf("line %d was not written within 20 s", i)
			}
		}
		for range i % 97 {
			runtime.Gosched()
		}
	}
	<-w.Close()
	w.Write([]byte("after the end\n"))
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return b.written.Write(line)
}

func TestLinesPastFullQueueAreDroppedAndCounted(t *testing.T) {
	destination := &blockedWriter{release: make(chan struct{})}
	w := newAsyncWriter(destination, 4)
	line := []byte("0\n")
	for i := range 10 {
		line[0] = '0' + byte(i) // Write must have copied the previous content
		w.Write(line)
	}
	kept := 10 - w.dropped.Load()
	if kept != 4 && kept != 5 { // 5 if the first line had left the queue for the blocked Write
		t.Errorf("a queue of 4 lines kept %d of 10", kept)
	}
	end := w.Close()
	select {
	case <-end:
		t.Fatal("Close reported the end before the queued lines were written")
	default:
	}
	close(destination.release)
	<-end
	if got := destination.written.String(); int64(strings.Count(got, "\n")) != kept || !strings.HasPrefix("0\n1\n2\n3\n4\n", got) {
		t.Errorf("written: %q, want the first %d lines in order", got, kept)
	}
}
