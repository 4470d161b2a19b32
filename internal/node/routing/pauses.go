package routing

import (
	"time"

	"kestrelspread/internal/node/core"
)

// While a broker reads a long prompt, the streams that run there pause: a step that carries a piece of a prompt takes many times as
// long as one that doesn't, and an event holds several steps. The long prompts that brokers were sent lately are remembered, so that a
// pause that is too long can be told from one without a known cause.
const (
	longLeast     = 2000 // tokens
	longReadsKept = 16
	longReadLead  = 500 * time.Millisecond // a prompt that was sent so long before a stream began may still be read in it
)

// longReads are the latest long prompts that a broker was sent.
type longReads struct {
	reads [longReadsKept]longRead
	next  int
}

type longRead struct {
	at     core.Time
	unread int
}

func (l *longReads) note(now core.Time, unread int) {
	if unread < longLeast {
		return
	}
	l.reads[l.next] = longRead{now, unread}
	l.next = (l.next + 1) % longReadsKept
}

// largest is the size of the largest prompt that was sent within a time, 0 where none was.
func (l *longReads) largest(from, to core.Time) int {
	largest := 0
	for i := range l.reads {
		if read := &l.reads[i]; read.at >= from && read.at <= to {
			largest = max(largest, read.unread)
		}
	}
	return largest
}
