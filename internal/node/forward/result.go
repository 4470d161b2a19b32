package forward

import (
	"errors"
	"fmt"
	"net/http"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// attemptResult is the result of an attempt: an answer for the client, or a failure that outcome
// describes.
type attemptResult struct {
	attempt *attempt
	outcome routing.Outcome
	err     error
	// answer is set if there is one for the client. Its complete body is in body, or it comes from
	// events, or, if neither is set, is still to be read from answer.
	answer *upstream.Answer
	body   *buffer
	events *eventReader
	// prefix is the start of the body of an answer that turned out to be large.
	prefix *buffer
	// reported: the end of the attempt was reported to the router.
	reported bool
	// verdictRecorded: recordVerdict was called for the attempt.
	verdictRecorded bool
}

// isComplete reports whether the answer has been read completely.
func (r *attemptResult) isComplete() bool { return r.body != nil }

// brokerFailed reports whether the broker answered that it failed.
func (r *attemptResult) brokerFailed() bool {
	return r.answer != nil && r.answer.Status >= http.StatusInternalServerError
}

// release returns the buffers of the result.
func (r *attemptResult) release() {
	r.body.release()
	r.prefix.release()
	r.body, r.prefix = nil, nil
	if r.events != nil {
		r.events.release()
		r.events = nil
	}
}

// rejected ends an attempt that the broker did not run.
func (a *attempt) rejected() *attemptResult {
	outcome := a.outcome(verdict.NotRun)
	outcome.Misdirected = a.answer.Status == http.StatusMisdirectedRequest
	outcome.NotExecuted = len(a.answer.Header[headerNotExecuted]) > 0
	outcome.RetryAfter = parseSeconds(firstValue(a.answer.Header, headerRetryAfter))
	a.discardBody()
	return &attemptResult{attempt: a, outcome: outcome}
}

// maxDiscardedBytes bounds the body of an answer that is read only to keep its connection.
const maxDiscardedBytes = 4 << 10

// discardBody reads a body that is not needed, to keep the connection; if that is too large, it
// closes the connection.
func (a *attempt) discardBody() {
	body := takeBuffer()
	defer body.release()
	if a.answer.Length > maxDiscardedBytes || body.readAll(a.answer, a.answer.Length, maxDiscardedBytes) != nil {
		a.closeConn()
		return
	}
	a.releaseConn()
}

// invalidAnswer ends an attempt whose answer is not the broker's to the request.
func (a *attempt) invalidAnswer(why string) *attemptResult {
	return a.failed(fmt.Errorf("%w: %s", upstream.ErrInvalidAnswer, why))
}

// notResumed ends an attempt to resume a stream that the broker did not resume.
func (a *attempt) notResumed() *attemptResult {
	outcome := a.outcome(verdict.Ran)
	a.discardBody()
	return &attemptResult{attempt: a, outcome: outcome}
}

// notSent ends an attempt that was not sent.
func (a *attempt) notSent() *attemptResult {
	return &attemptResult{attempt: a, outcome: routing.Outcome{Verdict: verdict.NotRun, Canceled: true}}
}

// failed ends an attempt by an error of the exchange.
func (a *attempt) failed(err error) *attemptResult {
	a.closeConn()
	if a.events != nil {
		a.events.release()
	}
	if errors.Is(err, upstream.ErrInvalidAnswer) {
		a.call.proxy.counters.invalidAnswers.Add(1)
	}
	return &attemptResult{attempt: a, outcome: a.failedOutcome(err), err: err}
}

// failedOutcome describes an attempt that failed by an error of the exchange.
func (a *attempt) failedOutcome(err error) routing.Outcome {
	outcome := a.outcome(upstream.VerdictOf(err))
	outcome.TimedOut = errors.Is(err, upstream.ErrTimedOut)
	if a.endedFromHere(err) {
		outcome.Canceled = true
		return outcome
	}
	outcome.ConnectFailed = errors.Is(err, upstream.ErrConnectFailed) || errors.Is(err, upstream.ErrUnsent)
	// Both mean that the broker accepts no more connections, just as a full one accepts no more requests.
	outcome.NotExecuted = errors.Is(err, upstream.ErrExhausted) || errors.Is(err, upstream.ErrRejected)
	return outcome
}

// endedFromHere reports whether an attempt failed because the client disconnected, another attempt
// won, or the request's deadline ended the connecting. None of them says anything about the broker.
func (a *attempt) endedFromHere(err error) bool {
	if a.wasCanceled() || a.context.Err() != nil {
		return true
	}
	return errors.Is(err, upstream.ErrConnectFailed) && a.call.now() >= a.call.intake.deadline
}

// brokenStreamOutcome describes an attempt whose stream broke off.
func (a *attempt) brokenStreamOutcome(err error, clientGone bool) routing.Outcome {
	outcome := a.outcome(verdict.Ran)
	outcome.TimedOut = errors.Is(err, upstream.ErrTimedOut)
	outcome.Canceled = clientGone
	return outcome
}

// outcome describes an attempt with the verdict, and with what its answer's head says.
func (a *attempt) outcome(v verdict.Verdict) routing.Outcome {
	outcome := routing.Outcome{Verdict: v}
	if a.answer != nil {
		outcome.Status = a.answer.Status
		outcome.Load = serverLoad(a.answer.Header)
	}
	return outcome
}
