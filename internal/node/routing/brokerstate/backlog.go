package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
)

// minToRead is what an own call that waits for its first token is taken to lack, tokens, however
// long ago it should have had it.
const minRemainingTokens = 64

// backlog estimates how many prompt tokens a model broker reads before a new request's turn.
//
// Brokers read prompts one after the other, so it is a queue: what is sent adds to its end, and
// time takes from its front. Own calls that still wait for their first token hold the front back,
// and one that has its first token shows that everything before it was read. Offsets count tokens
// since the broker is known. Invariant: the front never goes back and never passes the end.
type backlog struct {
	end     float64
	front   float64 // at frontAt
	frontAt core.Time
}

// add puts a prompt at the end of the queue and returns where it ends there.
func (q *backlog) add(now core.Time, tokens, perMillisecond float64, oldest *Call) (end float64) {
	q.advance(now, perMillisecond, oldest)
	q.end += tokens
	return q.end
}

// advance moves the front by what can have been read since, but not past the oldest own call that
// waits.
func (q *backlog) advance(now core.Time, perMillisecond float64, oldest *Call) {
	front := q.front + perMillisecond*units.Milliseconds(now-q.frontAt)
	if oldest != nil {
		front = min(front, oldest.BacklogEnd-minRemainingTokens)
	}
	q.front = min(max(front, q.front), q.end)
	q.frontAt = now
}

// completeUpTo takes in that everything up to an offset has been read.
func (q *backlog) completeUpTo(offset float64) { q.front = max(q.front, min(offset, q.end)) }

// remaining is how much is left to read.
func (q *backlog) remaining() float64 { return q.end - q.front }

// PrefillPassed takes in that a call has its first token, so its prompt and everything before it
// was read.
func (b *Broker) PrefillPassed(c *Call) { b.backlog.completeUpTo(c.BacklogEnd) }
