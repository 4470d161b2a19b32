package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
)

// minRemainingTokens is how many tokens of its prompt are assumed to be unread while a call of this
// proxy waits for its first token, even if the estimate says that all were read long ago.
const minRemainingTokens = 64

// backlog estimates how many prompt tokens a model broker has to read before it begins with a new
// request.
//
// Brokers read prompts one after the other, so the backlog is a queue: each prompt sent is added at
// the end, and the front advances with time. A call of this proxy that still waits for its first
// token holds the front back. A call that has its first token shows that everything before it was
// read. Offsets count tokens since the broker became known. Invariant: the front never moves back
// and never passes the end.
type backlog struct {
	end     float64
	front   float64 // offset at the time frontAt
	frontAt core.Time
}

// add appends a prompt to the queue and returns the offset of its end. perMillisecond is how many
// tokens the broker reads in a millisecond; oldest is the call of this proxy that has waited
// longest (nil: none).
func (q *backlog) add(now core.Time, tokens, perMillisecond float64, oldest *Call) (end float64) {
	q.advance(now, perMillisecond, oldest)
	q.end += tokens
	return q.end
}

// advance moves the front by what the broker can have read since the last call, but not past the
// prompt of the oldest call that waits for its first token.
func (q *backlog) advance(now core.Time, perMillisecond float64, oldest *Call) {
	front := q.front + perMillisecond*units.Milliseconds(now-q.frontAt)
	if oldest != nil {
		front = min(front, oldest.BacklogEnd-minRemainingTokens)
	}
	q.front = min(max(front, q.front), q.end)
	q.frontAt = now
}

// completeUpTo records that the broker has read everything up to an offset.
func (q *backlog) completeUpTo(offset float64) { q.front = max(q.front, min(offset, q.end)) }

// remaining returns how many tokens are left to read.
func (q *backlog) remaining() float64 { return q.end - q.front }

// PrefillCompleted records that a call has its first token, so the broker has read its prompt and
// everything before it.
func (b *Broker) PrefillCompleted(c *Call) { b.backlog.completeUpTo(c.BacklogEnd) }
