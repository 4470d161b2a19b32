package upstream

import (
	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/verdict"
)

// notRun marks the kinds of errors after which the request certainly did not run: nothing of it left this machine.
var notRun = errorx.RegisterTrait("not_run")

// namespace holds the errors of this package. Stack traces are left out: failed attempts are ordinary events.
var namespace = errorx.NewNamespace("upstream").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The ways in which an exchange with a broker fails.
var (
	// ConnectFailed: no connection came up.
	ConnectFailed = namespace.NewType("connect_failed", notRun)
	// Exhausted: this proxy already holds as many connections to the broker as it may.
	Exhausted = namespace.NewType("exhausted", notRun)
	// Rejected: the broker closed a new connection before anything was sent on it, as it does beyond maxConnections.
	Rejected = namespace.NewType("rejected", notRun)
	// Unsent: the connection took no byte of the request.
	Unsent = namespace.NewType("unsent", notRun)
	// SentInPart: the connection broke after it took some bytes of the request.
	SentInPart = namespace.NewType("sent_in_part")
	// Cut: the connection ended or broke before the answer was whole.
	Cut = namespace.NewType("cut")
	// TimedOut: the time given ran out.
	TimedOut = namespace.NewType("timed_out", errorx.Timeout())
	// Garbled: what came is no answer to the request.
	Garbled = namespace.NewType("garbled")
)

// VerdictOf tells what an error of this package says of the request that was being sent.
func VerdictOf(err error) verdict.Verdict {
	if errorx.HasTrait(err, notRun) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}
