package forward

import (
	"net/http"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// attemptResult is what came of an attempt: an answer for the client, or a failure that outcome describes.
type attemptResult struct {
	attempt *attempt
	outcome routing.Outcome
	err     error
	// answer is set where there is one for the client. Its body is whole in body, or comes from events, or, where neither
	// is set, from the answer itself.
	answer *upstream.Answer
	body   *buffer
	events *eventReader
	// prefix is what was read of an answer that turned out to be large.
	prefix *buffer
	// reported: the router has been told of the end of the attempt.
	reported bool
	// verdictRecorded: its verdict has been taken into account.
	verdictRecorded bool
}

// isComplete reports whether the answer is here in full.
func (r *attemptResult) isComplete() bool { return r.body != nil }

// brokerFailed reports whether the broker answered that it failed.
func (r *attemptResult) brokerFailed() bool {
	return r.answer != nil && r.answer.Status >= http.StatusInternalServerError
}

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

// discardBody reads over a body that nobody wants.
func (a *attempt) discardBody() {
	body := takeBuffer()
	defer body.release()
	if a.answer.Length > maxDiscardedBytes || body.readAll(a.answer, a.answer.Length, maxDiscardedBytes) != nil {
		a.closeConn()
		return
	}
	a.releaseConn()
}

// invalidAnswer ends an attempt whose answer is none of the broker's.
func (a *attempt) invalidAnswer(why string) *attemptResult {
	return a.failed(upstream.InvalidAnswer.New("%s", why))
}

// notResumed ends an attempt to go on with a stream that the broker did not go on with.
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
	if errorx.IsOfType(err, upstream.InvalidAnswer) {
		a.call.proxy.counters.invalidAnswers.Add(1)
	}
	return &attemptResult{attempt: a, outcome: a.failedOutcome(err), err: err}
}

func (a *attempt) failedOutcome(err error) routing.Outcome {
	outcome := a.outcome(upstream.VerdictOf(err))
	outcome.TimedOut = errorx.IsOfType(err, upstream.TimedOut)
	if a.endedFromHere(err) {
		outcome.Canceled = true
		return outcome
	}
	outcome.ConnectFailed = errorx.IsOfType(err, upstream.ConnectFailed) || errorx.IsOfType(err, upstream.Unsent)
	// Both mean that the broker takes no more connections, as it takes no more requests when it is full.
	outcome.NotExecuted = errorx.IsOfType(err, upstream.Exhausted) || errorx.IsOfType(err, upstream.Rejected)
	return outcome
}

// endedFromHere reports whether an attempt failed because the client left, another attempt won, or the time for connecting was cut
// short by the request's deadline. None of them says anything of the broker.
func (a *attempt) endedFromHere(err error) bool {
	if a.wasCanceled() || a.context.Err() != nil {
		return true
	}
	return errorx.IsOfType(err, upstream.ConnectFailed) && a.call.now() >= a.call.intake.deadline
}

// brokenStreamOutcome describes an attempt whose stream ended midway.
func (a *attempt) brokenStreamOutcome(err error, clientGone bool) routing.Outcome {
	outcome := a.outcome(verdict.Ran)
	outcome.TimedOut = errorx.IsOfType(err, upstream.TimedOut)
	outcome.Canceled = clientGone
	return outcome
}

func (a *attempt) outcome(v verdict.Verdict) routing.Outcome {
	outcome := routing.Outcome{Verdict: v}
	if a.answer != nil {
		outcome.Status = a.answer.Status
		outcome.Load = serverLoad(a.answer.Header)
	}
	return outcome
}
