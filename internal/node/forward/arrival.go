package forward

import (
	"net/http"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// arrival is what came of a flight: an answer for the client, or a failure that outcome describes.
type arrival struct {
	flight  *flight
	outcome routing.Outcome
	err     error
	// answer is set where there is one for the client. Its body is whole in body, or comes from events, or, where neither
	// is set, from the answer itself.
	answer *upstream.Answer
	body   *buffer
	events *eventReader
	// prefix is what was read of an answer that turned out to be large.
	prefix *buffer
	// concluded: the router has been told of the end of the attempt.
	concluded bool
	// noted: its verdict has been taken into account.
	noted bool
}

// whole reports whether the answer is here in full.
func (a *arrival) whole() bool { return a.body != nil }

// brokerFailed reports whether the broker answered that it failed.
func (a *arrival) brokerFailed() bool {
	return a.answer != nil && a.answer.Status >= http.StatusInternalServerError
}

func (a *arrival) release() {
	a.body.release()
	a.prefix.release()
	a.body, a.prefix = nil, nil
	if a.events != nil {
		a.events.release()
		a.events = nil
	}
}

// turnedAway ends an attempt that the broker did not run.
func (f *flight) turnedAway() *arrival {
	outcome := f.outcome(verdict.NotRun)
	outcome.Misdirected = f.answer.Status == http.StatusMisdirectedRequest
	outcome.NotExecuted = len(f.answer.Header[headerNotExecuted]) > 0
	outcome.RetryAfter = parseSeconds(first(f.answer.Header, headerRetryAfter))
	f.skipBody()
	return &arrival{flight: f, outcome: outcome}
}

// maxIgnoredBytes bounds the body of an answer that is read only to keep its connection.
const maxIgnoredBytes = 4 << 10

// skipBody reads over a body that nobody wants.
func (f *flight) skipBody() {
	body := takeBuffer()
	defer body.release()
	if f.answer.Length > maxIgnoredBytes || body.readAll(f.answer, f.answer.Length, maxIgnoredBytes) != nil {
		f.drop()
		return
	}
	f.giveBack()
}

// garbled ends an attempt whose answer is none of the broker's.
func (f *flight) garbled(why string) *arrival { return f.failed(upstream.Garbled.New("%s", why)) }

// notResumed ends an attempt to go on with a stream that the broker did not go on with.
func (f *flight) notResumed() *arrival {
	outcome := f.outcome(verdict.Ran)
	f.skipBody()
	return &arrival{flight: f, outcome: outcome}
}

// withheld ends an attempt that was not sent.
func (f *flight) withheld() *arrival {
	return &arrival{flight: f, outcome: routing.Outcome{Verdict: verdict.NotRun, Canceled: true}}
}

// failed ends an attempt by an error of the exchange.
func (f *flight) failed(err error) *arrival {
	f.drop()
	if f.events != nil {
		f.events.release()
	}
	if errorx.IsOfType(err, upstream.Garbled) {
		f.call.proxy.counters.garbled.Add(1)
	}
	return &arrival{flight: f, outcome: f.failedOutcome(err), err: err}
}

func (f *flight) failedOutcome(err error) routing.Outcome {
	outcome := f.outcome(upstream.VerdictOf(err))
	outcome.TimedOut = errorx.IsOfType(err, upstream.TimedOut)
	if f.calledOff(err) {
		outcome.Canceled = true
		return outcome
	}
	outcome.ConnectFailed = errorx.IsOfType(err, upstream.ConnectFailed) || errorx.IsOfType(err, upstream.Unsent)
	// Both mean that the broker takes no more connections, as it takes no more requests when it is full.
	outcome.NotExecuted = errorx.IsOfType(err, upstream.Exhausted) || errorx.IsOfType(err, upstream.Rejected)
	return outcome
}

// calledOff reports whether an attempt failed because the client left, another attempt won, or the time for connecting was cut
// short by the request's deadline. None of them says anything of the broker.
func (f *flight) calledOff(err error) bool {
	if f.wasCanceled() || f.context.Err() != nil {
		return true
	}
	return errorx.IsOfType(err, upstream.ConnectFailed) && f.call.now() >= f.call.intake.deadline
}

// cutOutcome describes an attempt whose stream ended midway.
func (f *flight) cutOutcome(err error, clientGone bool) routing.Outcome {
	outcome := f.outcome(verdict.Ran)
	outcome.TimedOut = errorx.IsOfType(err, upstream.TimedOut)
	outcome.Canceled = clientGone
	return outcome
}

func (f *flight) outcome(v verdict.Verdict) routing.Outcome {
	outcome := routing.Outcome{Verdict: v}
	if f.answer != nil {
		outcome.Status = f.answer.Status
		outcome.Load = serverLoad(f.answer.Header)
	}
	return outcome
}
