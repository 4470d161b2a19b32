// Package verdict says what is known of a request that was sent to a model broker or service, and
// what may follow from it. It doesn't decide whether to try again: budgets and deadlines are the
// router's.
package verdict

// Verdict tells whether a request may have run. Source: PROTOCOL.md, "Brokers" and "Answers".
type Verdict uint8

const (
	// NotRun holds where no byte of it left, or the receiver said so: by X-Kestrelspread-Not-Executed
	// or by status 421.
	NotRun Verdict = iota
	// MayHaveRun holds where it was sent, wholly or in part, and nothing tells its result.
	MayHaveRun
	// Ran holds where an answer of the receiver shows that it worked on it.
	Ran
)

// MayRepeat reports whether the request can go to another receiver: always where it did not run, else
// only where its route allows that it runs more than once (idempotent).
func (v Verdict) MayRepeat(idempotent bool) bool { return v == NotRun || idempotent }

// MayPromise reports whether the client may be given a status that promises that the request never ran
// (408, 421, 429, 503).
func (v Verdict) MayPromise() bool { return v == NotRun }

// String gives the verdict's name, as log lines have it.
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
