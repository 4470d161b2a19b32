package brokerstate

import (
	"kestrelspread/internal/node/core"
)

const (
	longPromptTokens = 2000 // tokens to read from which a prompt is long
	longPromptsKept  = 16
)

// LongPrompts are the latest long prompts that a broker was sent.
//
// While a broker reads a long prompt, the streams that run there pause: a decode step that carries
// a chunk of a prefill takes many times as long as one that doesn't, and an event spans several
// steps. So a pause that is too long can be distinguished from one without a known cause.
type LongPrompts struct {
	prompts [longPromptsKept]longPrompt // a ring
	next    int
}

// longPrompt is when a prompt was sent and how many tokens of it were to be read.
type longPrompt struct {
	sentAt        core.Time
	prefillTokens int
}

func (l *LongPrompts) record(now core.Time, prefillTokens int) {
	if prefillTokens < longPromptTokens {
		return
	}
	l.prompts[l.next] = longPrompt{now, prefillTokens}
	l.next = (l.next + 1) % longPromptsKept
}

// Largest is the size, tokens, of the largest one that was sent in a span of time; 0 where none
// was.
func (l *LongPrompts) Largest(from, to core.Time) int {
	largest := 0
	for i := range l.prompts {
		if sent := &l.prompts[i]; sent.sentAt >= from && sent.sentAt <= to {
			largest = max(largest, sent.prefillTokens)
		}
	}
	return largest
}
