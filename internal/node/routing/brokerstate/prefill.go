package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
)

// PrefillPaceKnown reports whether the time per prompt token was learnt rather than assumed.
func (p *Pool) PrefillPaceKnown() bool { return p.prefillTime.known() }

// PrefillPerToken is how long a broker takes to read a token of a prompt, ms.
func (p *Pool) PrefillPerToken(b *Broker) float64 { return p.prefillTime.perToken() * p.slowdown(b) }

// PrefillWait is how long a broker will read before a new request's turn, ms.
func (p *Pool) PrefillWait(now core.Time, b *Broker) float64 {
	perToken := p.PrefillPerToken(b)
	b.backlog.advance(now, 1/perToken, b.oldestAwaiting())
	return perToken * b.backlog.remaining()
}

// Enqueued is where a prompt stands in a broker's backlog.
type Enqueued struct {
	End     float64   // its end, as an offset in tokens
	Ahead   float64   // tokens left to read until its end
	ReadyAt core.Time // when it is to have been read
}

// Enqueue takes in that a broker was sent a prompt, by this proxy or another, of which it has to
// read so many tokens.
func (p *Pool) Enqueue(now core.Time, b *Broker, tokens int) Enqueued {
	perToken := p.PrefillPerToken(b)
	b.LongPrompts.record(now, tokens)
	end := b.backlog.add(now, float64(tokens), 1/perToken, b.oldestAwaiting())
	ahead := b.backlog.remaining()
	return Enqueued{End: end, Ahead: ahead, ReadyAt: now + units.FromMilliseconds(perToken*ahead)}
}
