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
	// ConnectFailed says that no connection was established.
	ConnectFailed = namespace.NewType("connect_failed", traitNotRun)
	// Exhausted says that this proxy already has as many connections to the broker as it may.
	Exhausted = namespace.NewType("exhausted", traitNotRun)
	// Rejected says that the broker closed a new connection before anything was sent on it, as it does
	// beyond maxConnections.
	Rejected = namespace.NewType("rejected", traitNotRun)
	// Unsent says that the connection took no byte of the request.
	Unsent = namespace.NewType("unsent", traitNotRun)
	// SentInPart says that the connection broke after it took some bytes of the request.
	SentInPart = namespace.NewType("sent_in_part")
	// Broken says that the connection ended or broke before the answer was complete.
	Broken = namespace.NewType("cut")
	// TimedOut says that the deadline passed.
	TimedOut = namespace.NewType("timed_out", errorx.Timeout())
	// InvalidAnswer says that what arrived is no valid answer to the request.
	InvalidAnswer = namespace.NewType("garbled")
)

// VerdictOf returns what an error of this package says about whether the request ran.
func VerdictOf(err error) verdict.Verdict {
	if errorx.HasTrait(err, traitNotRun) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
