package brokerstate

import (
	"kestrelspread/internal/node/core"
)

const (
	longPromptTokens = 2000 // tokens to read from which a prompt counts as long
	longPromptsKept  = 16
)

// LongPrompts holds the latest long prompts that were sent to a broker.
//
// While a broker reads a long prompt, its running streams pause: a decode step that includes a
// chunk of a prefill takes many times as long as one that doesn't, and an event of a stream covers
// several steps. With this record, a long pause that was caused by a prompt can be distinguished
// from one without a known cause.
type LongPrompts struct {
	prompts [longPromptsKept]longPrompt // a ring buffer
	next    int
}

// longPrompt is when a prompt was sent and how many of its tokens the broker had to read.
type longPrompt struct {
	sentAt        core.Time
	prefillTokens int
}

// record adds a prompt if it is long.
func (l *LongPrompts) record(now core.Time, prefillTokens int) {
	if prefillTokens < longPromptTokens {
		return
	}
	l.prompts[l.next] = longPrompt{now, prefillTokens}
	l.next = (l.next + 1) % longPromptsKept
}

// Largest returns the size in tokens of the largest long prompt that was sent between two times, or
// 0 if there was none.
func (l *LongPrompts) Largest(from, to core.Time) int {
	largest := 0
	for i := range l.prompts {
		if sent := &l.prompts[i]; sent.sentAt >= from && sent.sentAt <= to {
			largest = max(largest, sent.prefillTokens)
		}
	}
	return largest
}
