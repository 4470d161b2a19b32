package server

import (
	"bytes"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// counting counts the lines that have come out.
type counting struct{ n atomic.Int64 }

func (c *counting) Write(b []byte) (int, error) {
	c.n.Add(1)
	return len(b), nil
}

func TestTheLastLineBeforeAQuietTimeComesOut(t *testing.T) {
	// Each line is followed by none until it is out, after ever other pauses: some come as the
	// reader goes to sleep. With wake-ups that can be lost some one in fifty thousand stays.
	c := &counting{}
	l := newAsyncWriter(c, 10)
	end := time.Now().Add(2 * time.Second)
	for i := int64(1); time.Now().Before(end); i++ {
		l.Write([]byte("a line\n"))
		for since := time.Now(); c.n.Load() < i; runtime.Gosched() {
			if time.Since(since) > 20*time.Second {
				t.Fatalf("line %d does not come out", i)
			}
		}
		for range i % 97 {
			runtime.Gosched()
		}
	}
	<-l.Close()
	l.Write([]byte("after the end\n"))
}

// held is a reader that takes nothing until it is let.
type held struct {
	let chan struct{}
	got bytes.Buffer
}

func (h *held) Write(b []byte) (int, error) {
	<-h.let
	return h.got.Write(b)
}

func TestLinesThatNobodyReadsAreDroppedAndCounted(t *testing.T) {
	h := &held{let: make(chan struct{})}
	l := newAsyncWriter(h, 4)
	line := []byte("0\n")
	for i := range 10 {
		line[0] = '0' + byte(i) // the caller's again each time
		l.Write(line)
	}
	kept := 10 - l.dropped.Load()
	if kept != 4 && kept != 5 { // the one that is being written has left the queue, or has not yet
		t.Errorf("%d of 10 are kept by a queue of 4", kept)
	}
	end := l.Close()
	select {
	case <-end:
		t.Fatal("the end has come before what waits is written")
	default:
	}
	close(h.let)
	<-end
	if got := h.got.String(); int64(strings.Count(got, "\n")) != kept || !strings.HasPrefix("0\n1\n2\n3\n4\n", got) {
		t.Errorf("%q came out", got)
	}
}
