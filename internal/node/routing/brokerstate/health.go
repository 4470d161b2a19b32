package brokerstate

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

const (
	failureSpan    = 4000. // ms over which failures are counted
	failureBuckets = 8
	minFailures    = 2.0 // failures before their share counts
	failureShare   = 0.3 // a broker that fails more is ejected
)

// EjectionReason is why a broker was ejected.
type EjectionReason uint8

// The reasons.
const (
	NotEjected   EjectionReason = iota
	Unreachable                 // no connection came up: no request can run there unseen
	Unresponsive                // calls are out and nothing comes: frozen, partitioned or lost alike
	Failing                     // it fails too many requests, and quickly perhaps
)

// Health is what this proxy makes of a broker by its answers, never by the registry alone. An
// ejected broker gets no requests but single probes, each after a longer backoff.
type Health struct {
	reason       EjectionReason
	probeAt      core.Time // when the next probe is due
	backoff      time.Duration
	probe        *Call     // the one that is out; nil: none
	lastAnswerAt core.Time // 0: none
	failures     *window.Counts
	successes    *window.Counts
	// misdirectedUntil: it refused requests that were for another instance or version.
	misdirectedUntil core.Time
	misdirectBackoff time.Duration
}

// Ejected reports whether the broker was ejected.
func (h *Health) Ejected() bool { return h.reason != NotEjected }

// Reason is why the broker was ejected.
func (h *Health) Reason() EjectionReason { return h.reason }

// Misdirected reports whether the broker has recently said that requests were for another instance
// or version.
func (h *Health) Misdirected(now core.Time) bool { return now < h.misdirectedUntil }

// AnsweredAfter reports whether the broker has answered after a time.
func (h *Health) AnsweredAfter(t core.Time) bool { return h.lastAnswerAt > t }

// AnsweredWithin reports whether the broker has answered within a span of time up to now.
func (h *Health) AnsweredWithin(now core.Time, span time.Duration) bool {
	return h.lastAnswerAt != 0 && now-h.lastAnswerAt <= span
}

// ProbeAt is when the next probe of an ejected broker is due.
func (h *Health) ProbeAt() core.Time { return h.probeAt }

// ProbeDue reports whether an ejected broker is to be probed.
func (h *Health) ProbeDue(now core.Time) bool { return h.probe == nil && now >= h.probeAt }

// ProbeOverdue reports whether the probe has been due for as long as the backoff lasted.
func (h *Health) ProbeOverdue(now core.Time) bool { return now >= h.probeAt+h.backoff }

// BeginProbe makes a call to an ejected broker its probe, if none is out.
func (h *Health) BeginProbe(c *Call) {
	if h.Ejected() && h.probe == nil {
		h.probe = c
	}
}

// recordAnswer takes a sign of life. A broker that was ejected for failures must succeed as well.
func (h *Health) recordAnswer(now core.Time) {
	h.lastAnswerAt = now
	if h.reason != Failing {
		h.readmit()
	}
}

// readmit ends the ejection.
func (h *Health) readmit() { h.reason, h.probe, h.backoff = NotEjected, nil, 0 }

// Succeeded takes in that a request was executed and didn't fail.
func (h *Health) Succeeded(now core.Time) {
	h.recordAnswer(now)
	h.misdirectBackoff = 0
	addOutcome(&h.successes, now)
	if h.reason == Failing {
		h.readmit()
	}
}

// failureRateExceeded reports whether too large a share of what was sent recently failed.
func (h *Health) failureRateExceeded(now core.Time) bool {
	failures := recentOutcomes(h.failures, now)
	return failures >= minFailures && failures > failureShare*(failures+recentOutcomes(h.successes, now))
}

func addOutcome(counts **window.Counts, now core.Time) {
	if *counts == nil {
		*counts = window.NewCounts(failureBuckets+1, failureSpan/failureBuckets)
	}
	(*counts).Add(units.Milliseconds(now), 1)
}

func recentOutcomes(counts *window.Counts, now core.Time) float64 {
	if counts == nil {
		return 0
	}
	return counts.Sum(units.Milliseconds(now), failureSpan)
}
