package fleet

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Bounds of GONE. Source: RULES.md and the hardening page, "Among the rules".
const (
	// calledOffBound is how long after a client has left brokers may still receive its request, or work on it.
	calledOffBound = 500 * time.Millisecond
	// fewArrivals is how many requests may reach a broker later than that.
	fewArrivals = 3
	// workingDivisor: of the idempotent requests that would have lasted so long, brokers may work on one in so many.
	workingDivisor = 4
)

// checkCallsOff checks that brokers are called off, and receive nothing more, once a client has left.
func (e *evidence) checkCallsOff() {
	late, lasting := 0, 0
	var working []string // what brokers worked on too long
	for i := range e.attempts {
		r := &e.attempts[i]
		if r.Outcome != Left || e.disturbedAround(r) {
			continue
		}
		until := r.EndedAt.Add(calledOffBound)
		for _, index := range e.arrivalsByRequest[r.ID] {
			arrival := &e.arrivals[index]
			if arrival.ReceivedAt.After(until) {
				late++
				continue
			}
			if !arrival.Ran() || !r.idempotent() || arrival.StartedAt.Add(slowServiceTime).Before(until) {
				continue
			}
			lasting++
			if arrival.EndedAt.IsZero() || arrival.EndedAt.After(until) {
				working = append(working, fmt.Sprintf("%s of %s, left at %s, at %s until %s",
					r.ID, r.Node, formatTime(r.EndedAt), arrival.Instance, formatTime(arrival.EndedAt)))
			}
		}
	}
	if late > fewArrivals {
		e.report("GONE", "%d requests reached brokers more than %v after their clients had left", late, calledOffBound)
	}
	if len(working)*workingDivisor > lasting {
		e.report("GONE", "brokers worked on %d of %d requests %v after their clients had left: %s",
			len(working), lasting, calledOffBound, strings.Join(working, "; "))
	}
}

// disturbedAround reports whether the node of an attempt, or its links, were disturbed from the bound on contact before it until
// brokers must have been called off. GONE holds for machines in touch only.
func (e *evidence) disturbedAround(r *Attempt) bool {
	return e.disturbed(r.Node, r.FirstAttemptAt.Add(-e.bounds.Contact), r.EndedAt.Add(calledOffBound))
}

// disturbed reports whether a node or its links were disturbed in a span.
func (e *evidence) disturbed(node string, from, until time.Time) bool {
	for _, fault := range e.nodeFaults {
		if fault.Node == node && overlaps(fault.StartedAt, fault.EndedAt, from, until) {
			return true
		}
	}
	for _, fault := range e.linkFaults {
		if fault.Node == node && overlaps(fault.StartedAt, fault.EndedAt, from, until) {
			return true
		}
	}
	return false
}

// overlaps reports whether a fault, which lasts if its end is zero, overlaps a span.
func overlaps(startedAt, endedAt, from, until time.Time) bool {
	return !startedAt.After(until) && (endedAt.IsZero() || !endedAt.Before(from))
}

// isTimeout reports whether a deadline of a connection has passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
