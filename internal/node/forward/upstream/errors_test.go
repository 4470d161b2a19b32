package upstream

import (
	"errors"
	"io"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/verdict"
)

func TestFailureNamesItsCauseButDoesNotPassForIt(t *testing.T) {
	for _, test := range []struct {
		err   error
		kind  error
		cause error
		text  string
	}{
		{readError(io.EOF), ErrBroken, io.EOF, "upstream: connection broken: answer: EOF"},
		{readError(os.ErrDeadlineExceeded), ErrTimedOut, os.ErrDeadlineExceeded, "upstream: timed out: answer: i/o timeout"},
		{headError(io.ErrUnexpectedEOF), ErrBroken, io.ErrUnexpectedEOF, "upstream: connection broken: head of an answer: unexpected EOF"},
	} {
		assert.Assert(t, errors.Is(test.err, test.kind))
		assert.Assert(t, !errors.Is(test.err, test.cause), "%v", test.err)
		assert.Equal(t, test.err.Error(), test.text)
	}
}

func TestVerdictByKindOfFailure(t *testing.T) {
	for kind, want := range map[error]verdict.Verdict{
		ErrConnectFailed: verdict.NotRun, ErrExhausted: verdict.NotRun,
		ErrRejected: verdict.NotRun, ErrUnsent: verdict.NotRun,
		ErrSentInPart: verdict.MayHaveRun, ErrBroken: verdict.MayHaveRun,
		ErrTimedOut: verdict.MayHaveRun, ErrInvalidAnswer: verdict.MayHaveRun,
	} {
		assert.Equal(t, VerdictOf(failure(kind, "operation", io.EOF)), want, "%v", kind)
	}
}
