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
	// ConnectFailed: no connection was established.
	ConnectFailed = namespace.NewType("connect_failed", traitNotRun)
	// Exhausted: this proxy already has as many connections to the broker as it may.
	Exhausted = namespace.NewType("exhausted", traitNotRun)
	// Rejected: the broker closed a new connection before anything was sent on it, as it does
	// beyond maxConnections.
	Rejected = namespace.NewType("rejected", traitNotRun)
	// Unsent: the connection took no byte of the request.
	Unsent = namespace.NewType("unsent", traitNotRun)
	// SentInPart: the connection broke after it took some bytes of the request.
	SentInPart = namespace.NewType("sent_in_part")
	// Broken: the connection ended or broke before the answer was complete.
	Broken = namespace.NewType("cut")
	// TimedOut: the deadline passed.
	TimedOut = namespace.NewType("timed_out", errorx.Timeout())
	// InvalidAnswer: what arrived is no valid answer to the request.
	InvalidAnswer = namespace.NewType("garbled")
)

// VerdictOf returns what an error of this package says about whether the request ran.
func VerdictOf(err error) verdict.Verdict {
	if errorx.HasTrait(err, traitNotRun) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
