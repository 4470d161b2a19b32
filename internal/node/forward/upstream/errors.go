package upstream

import (
	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/verdict"
)

// traitNotRun marks the kinds of errors after which the request certainly did not run: nothing of it left this machine.
var traitNotRun = errorx.RegisterTrait("not_run")

// namespace holds the errors of this package. Stack traces are left out: failed attempts are ordinary events.
var namespace = errorx.NewNamespace("upstream").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The ways in which an exchange with a broker fails.
var (
	// ConnectFailed: no connection came up.
	ConnectFailed = namespace.NewType("connect_failed", traitNotRun)
	// Exhausted: this proxy already holds as many connections to the broker as it may.
	Exhausted = namespace.NewType("exhausted", traitNotRun)
	// Rejected: the broker closed a new connection before anything was sent on it, as it does beyond maxConnections.
	Rejected = namespace.NewType("rejected", traitNotRun)
	// Unsent: the connection took no byte of the request.
	Unsent = namespace.NewType("unsent", traitNotRun)
	// SentInPart: the connection broke after it took some bytes of the request.
	SentInPart = namespace.NewType("sent_in_part")
	// Broken: the connection ended or broke before the answer was whole.
	Broken = namespace.NewType("cut")
	// TimedOut: the time given ran out.
	TimedOut = namespace.NewType("timed_out", errorx.Timeout())
	// InvalidAnswer: what came is no answer to the request.
	InvalidAnswer = namespace.NewType("garbled")
)

// VerdictOf tells what an error of this package says of the request that was being sent.
func VerdictOf(err error) verdict.Verdict {
	if errorx.HasTrait(err, traitNotRun) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
