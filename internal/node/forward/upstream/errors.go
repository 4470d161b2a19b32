package upstream

import (
	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/verdict"
)

// traitNotRun marks the types of errors after which the request certainly did not run: nothing of
// it left this machine.
var traitNotRun = errorx.RegisterTrait("not_run")

// namespace holds the errors of this package, without stack traces: failed attempts are ordinary
// events.
var namespace = errorx.NewNamespace("upstream").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The types of failures of an exchange with a broker.
var (
	// ErrConnectFailed says that no connection was established.
	ErrConnectFailed = namespace.NewType("connect_failed", traitNotRun)
	// ErrExhausted says that this proxy already has as many connections to the broker as it may.
	ErrExhausted = namespace.NewType("exhausted", traitNotRun)
	// ErrRejected says that the broker closed a new connection before anything was sent on it, as it does
	// beyond maxConnections.
	ErrRejected = namespace.NewType("rejected", traitNotRun)
	// ErrUnsent says that the connection took no byte of the request.
	ErrUnsent = namespace.NewType("unsent", traitNotRun)
	// ErrSentInPart says that the connection broke after it took some bytes of the request.
	ErrSentInPart = namespace.NewType("sent_in_part")
	// ErrBroken says that the connection ended or broke before the answer was complete.
	ErrBroken = namespace.NewType("cut")
	// ErrTimedOut says that the deadline passed.
	ErrTimedOut = namespace.NewType("timed_out", errorx.Timeout())
	// ErrInvalidAnswer says that what arrived is no valid answer to the request.
	ErrInvalidAnswer = namespace.NewType("garbled")
)

// VerdictOf returns what an error of this package says about whether the request ran.
func VerdictOf(err error) verdict.Verdict {
	if errorx.HasTrait(err, traitNotRun) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
