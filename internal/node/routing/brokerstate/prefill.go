package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
)

// PrefillTimeKnown reports whether the prefill time per token is an estimate from enough answers
// rather than an assumption.
func (p *Pool) PrefillTimeKnown() bool { return p.prefillTime.known() }

// PrefillTimePerToken returns how long the broker takes to read one token of a prompt, in ms.
func (p *Pool) PrefillTimePerToken(b *Broker) float64 {
	return p.prefillTime.perToken() * p.slowdown(b)
}

// PrefillWait returns how long the broker will read earlier prompts before it begins with a new
// request, in ms.
func (p *Pool) PrefillWait(now core.Time, b *Broker) float64 {
	perToken := p.PrefillTimePerToken(b)
	b.backlog.advance(now, 1/perToken, b.oldestAwaiting())
	return perToken * b.backlog.remaining()
}

// QueuePosition is the position of a prompt in a broker's backlog.
type QueuePosition struct {
	End     float64   // offset of the prompt's end, in tokens
	Ahead   float64   // tokens that are left to read up to that end
	ReadyAt core.Time // when the broker is expected to have read the prompt
}

// Enqueue records that this proxy or another one sent the broker a prompt, of which it has to read
// the given number of tokens.
func (p *Pool) Enqueue(now core.Time, b *Broker, tokens int) QueuePosition {
	perToken := p.PrefillTimePerToken(b)
	b.LongPrompts.record(now, tokens)
	end := b.backlog.add(now, float64(tokens), 1/perToken, b.oldestAwaiting())
	ahead := b.backlog.remaining()
	return QueuePosition{End: end, Ahead: ahead, ReadyAt: now + units.FromMilliseconds(perToken*ahead)}
}
