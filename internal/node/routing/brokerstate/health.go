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
	minFailures    = 2.0 // failures below which their share isn't considered
	failureShare   = 0.3 // share of failed calls above which a broker is ejected
)

// EjectionReason tells why a broker was ejected.
type EjectionReason uint8

// The reasons for an ejection.
const (
	NotEjected   EjectionReason = iota
	Unreachable                 // no connection can be established, so no request can run there unnoticed
	Unresponsive                // calls are in flight and nothing comes back: the broker is frozen, partitioned or gone
	Failing                     // too many of its calls fail, perhaps quickly
)

// Health is a broker's condition as this proxy judges it by the answers, never by the registry
// alone. An ejected broker gets no requests except single probes, at growing intervals.
type Health struct {
	reason       EjectionReason
	probeAt      core.Time     // when the next probe is due
	backoff      time.Duration // between the probes
	probe        *Call         // the probe in flight; nil: none
	lastAnswerAt core.Time     // 0: no answer yet
	failures     *window.Counts
	successes    *window.Counts
	// misdirectedUntil is the time until which the broker is avoided, because it said that a request
	// was for another instance or version.
	misdirectedUntil core.Time
	misdirectBackoff time.Duration
}

// Ejected reports whether the broker is ejected.
func (h *Health) Ejected() bool { return h.reason != NotEjected }

// Reason returns why the broker is ejected.
func (h *Health) Reason() EjectionReason { return h.reason }

// Misdirected reports whether the broker said recently that a request was for another instance or
// version.
func (h *Health) Misdirected(now core.Time) bool { return now < h.misdirectedUntil }

// AnsweredAfter reports whether the broker has answered after the time t.
func (h *Health) AnsweredAfter(t core.Time) bool { return h.lastAnswerAt > t }

// AnsweredWithin reports whether the broker has answered within the span that ends now.
func (h *Health) AnsweredWithin(now core.Time, span time.Duration) bool {
	return h.lastAnswerAt != 0 && now-h.lastAnswerAt <= span
}

// ProbeAt returns when the next probe of an ejected broker is due.
func (h *Health) ProbeAt() core.Time { return h.probeAt }

// ProbeDue reports whether a probe of an ejected broker is due and none is in flight.
func (h *Health) ProbeDue(now core.Time) bool { return h.probe == nil && now >= h.probeAt }

// ProbeOverdue reports whether the probe has been due for as long as the backoff before it lasted.
func (h *Health) ProbeOverdue(now core.Time) bool { return now >= h.probeAt+h.backoff }

// BeginProbe makes a call to an ejected broker its probe, unless another probe is in flight.
func (h *Health) BeginProbe(c *Call) {
	if h.Ejected() && h.probe == nil {
		h.probe = c
	}
}

// recordAnswer records an answer and readmits the broker. A broker that was ejected for failing
// must also succeed with a call.
func (h *Health) recordAnswer(now core.Time) {
	h.lastAnswerAt = now
	if h.reason != Failing {
		h.readmit()
	}
}

// readmit ends the ejection.
func (h *Health) readmit() { h.reason, h.probe, h.backoff = NotEjected, nil, 0 }

// RecordSuccess records that a request was executed without failure.
func (h *Health) RecordSuccess(now core.Time) {
	h.recordAnswer(now)
	h.misdirectBackoff = 0
	addOutcome(&h.successes, now)
	if h.reason == Failing {
		h.readmit()
	}
}

// failureRateExceeded reports whether too large a share of recent calls failed.
func (h *Health) failureRateExceeded(now core.Time) bool {
	failures := recentOutcomes(h.failures, now)
	return failures >= minFailures && failures > failureShare*(failures+recentOutcomes(h.successes, now))
}

// addOutcome adds one call to a counter, which it creates if there is none yet.
func addOutcome(counts **window.Counts, now core.Time) {
	if *counts == nil {
		*counts = window.NewCounts(failureBuckets+1, failureSpan/failureBuckets)
	}
	(*counts).Add(units.Milliseconds(now), 1)
}

// recentOutcomes returns how many calls a counter holds for the last failureSpan.
func recentOutcomes(counts *window.Counts, now core.Time) float64 {
	if counts == nil {
		return 0
	}
	return counts.Sum(units.Milliseconds(now), failureSpan)
}
