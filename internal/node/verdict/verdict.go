// Package verdict classifies whether a request that was sent to a model broker or service was executed,
// and what that permits. It doesn't decide whether to retry: the router also considers retry budgets and
// deadlines.
package verdict

// Verdict states whether the receiver executed a request, as far as the sender knows. Source:
// PROTOCOL.md, "Brokers" and "Answers".
type Verdict uint8

const (
	// NotRun means that the request was not executed: no byte of it was sent, or the receiver said so by
	// the header X-Kestrelspread-Not-Executed or by status 421.
	NotRun Verdict = iota
	// MayHaveRun means that the request was sent completely or in part, and that its result is unknown.
	MayHaveRun
	// Ran means that a response of the receiver shows that it worked on the request.
	Ran
)

// MayRepeat reports whether the request may be sent to another receiver: always if it did not run,
// otherwise only if its route permits it to run more than once (idempotent).
func (v Verdict) MayRepeat(idempotent bool) bool { return v == NotRun || idempotent }

// MayPromise reports whether the client may receive a status that guarantees that the request did not
// run (408, 421, 429, 503).
func (v Verdict) MayPromise() bool { return v == NotRun }

// String returns the verdict's name for log lines.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case MayHaveRun:
		return "may have run"
	default:
		return "ran"
	}
}
