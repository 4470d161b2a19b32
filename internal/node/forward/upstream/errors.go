package upstream

import (
	"errors"
	"fmt"

	"kestrelspread/internal/node/verdict"
)

// The failures of an exchange with a broker; test for them with errors.Is. Failed attempts are
// ordinary events.
//
// An error that wraps one of them carries the text of the system's error, but errors.Is doesn't find
// the error itself: the io.EOF of a broken connection must not pass for the end of an answer, at
// which readers of an Answer stop.
var (
	// ErrConnectFailed says that no connection was established.
	ErrConnectFailed = errors.New("upstream: connect failed")
	// ErrExhausted says that this proxy already has as many connections to the broker as it may.
	ErrExhausted = errors.New("upstream: connections exhausted")
	// ErrRejected says that the broker closed a new connection before anything was sent on it, as it
	// does beyond maxConnections.
	ErrRejected = errors.New("upstream: connection rejected")
	// ErrUnsent says that the connection took no byte of the request.
	ErrUnsent = errors.New("upstream: request unsent")
	// ErrSentInPart says that the connection broke after it took some bytes of the request.
	ErrSentInPart = errors.New("upstream: request sent in part")
	// ErrBroken says that the connection ended or broke before the answer was complete.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrTimedOut says that the deadline passed.
	ErrTimedOut = errors.New("upstream: timed out")
	// ErrInvalidAnswer says that what arrived is no valid answer to the request.
	ErrInvalidAnswer = errors.New("upstream: invalid answer")
)

// notRunErrors are the failures after which the request certainly did not run: nothing of it left
// this machine.
var notRunErrors = []error{ErrConnectFailed, ErrExhausted, ErrRejected, ErrUnsent}

// exchangeError is a failure of an exchange that the system reported. Its text is composed only
// when it is read, as waits that time out are frequent and rarely logged.
type exchangeError struct {
	kind      error  // one of the errors above
	operation string // what was done, or read
	cause     error
}

// failure returns an error of a kind, about an operation that failed by cause.
func failure(kind error, operation string, cause error) error {
	return &exchangeError{kind: kind, operation: operation, cause: cause}
}

// Error implements error.
func (e *exchangeError) Error() string {
	return fmt.Sprintf("%v: %s: %v", e.kind, e.operation, e.cause)
}

// Unwrap returns the kind alone: see the errors above for why cause stays hidden.
func (e *exchangeError) Unwrap() error { return e.kind }

// VerdictOf returns what an error of this package says about whether the request ran.
func VerdictOf(err error) verdict.Verdict {
	for _, kind := range notRunErrors {
		if errors.Is(err, kind) {
			return verdict.NotRun
		}
	}
	return verdict.MayHaveRun
}
