package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/verdict"
)

// gapTargetRoute is a route of streams with a target of 400 ms for the gaps between events.
var gapTargetRoute = &config.Route{Name: "exact", Kind: config.KindStreaming, TimeoutMs: 15000, TargetLatencyMs: 400, MaxAttempts: 1,
	Sticky: true, GapTargetMs: 400}

// The step time of a broker is learned from each stream of this proxy, and about a quarter of the streams
// are reported to the other proxies.
func TestStepTimeIsLearnedAndReported(t *testing.T) {
	f := newFixture(t, instances(1))
	notified := 0
	const streams = 200
	for range streams {
		q := f.prompt(gapTargetRoute, 7)
		a := f.mustBegin(q)
		f.now += 30 * ms
		f.AnswerStarted(f.now, a.Request, a.Number, nil)
		f.now += 300 * ms
		outcome := Outcome{Verdict: verdict.Ran, Answered: true, Status: 200, Gaps: EventGaps{Count: 10, Typical: 25 * ms, Max: 90 * ms}}
		decision := f.AttemptEnded(f.now, a.Request, a.Number, outcome, false)
		f.End(f.now, a.Request)
		if seen := decision.StepTimeReport; seen != nil {
			notified++
			assert.DeepEqual(t, *seen, StepTimeReport{Instance: "i00", EventInterval: 25 * ms})
		}
	}
	assert.Assert(t, notified > streams/8 && notified < streams/2, "%d of %d streams were reported", notified, streams)
	assert.Equal(t, f.Router.brokers["i00"].StepTime(), 25.0)
}

// A gap that is longer than its route's target is recorded with the longest prompt that its broker was sent
// meanwhile.
func TestLongGapsByCause(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   int           // tokens of the other prompt
		before time.Duration // from the other prompt to the stream
		gap    time.Duration
		cause  LateCause
	}{
		{"in time", 9000, 0, 390 * ms, ""},
		{"a long prompt was sent", 9000, 0, 450 * ms, LateByLongPrefill},
		{"a long prompt was being prefilled", 9000, 300 * ms, 450 * ms, LateByLongPrefill},
		{"a short prompt was sent", 900, 0, 450 * ms, LateByUnexplainedGap},
		{"a long prompt long before", 9000, 3 * time.Second, 450 * ms, LateByUnexplainedGap},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(1))
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i00", PrefillTokens: c.sent})
			f.now += c.before
			short := f.prompt(gapTargetRoute, 7)
			short.Parts = short.Parts[1:]
			short.TokensIn = 400
			a := f.mustBegin(short)
			f.now += 300 * ms
			f.AnswerStarted(f.now, a.Request, a.Number, nil)
			f.now += time.Second
			f.AttemptEnded(f.now, a.Request, a.Number, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200,
				Gaps: EventGaps{Count: 20, Typical: 20 * ms, Max: c.gap}}, false)
			f.End(f.now, a.Request)
			if c.cause == "" {
				assert.Equal(t, len(f.LateAnswers()), 0)
				return
			}
			late := f.LateAnswers()
			assert.Equal(t, len(late), 1)
			assert.Equal(t, late[0].Cause, c.cause)
			assert.Equal(t, late[0].MaxGap, c.gap)
			assert.Equal(t, late[0].LongestOtherPrompt > 0, c.cause == LateByLongPrefill)
			assert.Equal(t, f.Counters().Late[c.cause], uint64(1))
		})
	}
}

// The cause of a late first event follows from the estimate at the send. Only the newest late answers are
// kept.
func TestLateFirstEvents(t *testing.T) {
	f := newFixture(t, instances(1))
	lateCause := func(prefillTokens, ahead int) LateCause {
		if ahead > 0 {
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i00", PrefillTokens: ahead})
		}
		q := f.prompt(gapTargetRoute, f.Router.options.Random.Uint64())
		q.TokensIn = prefillTokens
		q.Parts = []prompt.Part{{ID: f.Router.options.Random.Uint64(), Tokens: prefillTokens}}
		a := f.mustBegin(q)
		f.now += time.Second
		f.answerNow(a)
		f.now += 10 * time.Second
		list := f.LateAnswers()
		return list[len(list)-1].Cause
	}
	assert.Equal(t, lateCause(600, 0), LateUnexpected)
	assert.Equal(t, lateCause(40000, 0), LateByPrefill)
	assert.Equal(t, lateCause(600, 400000), LateByBacklog)
	for range 2 * maxRecentLate {
		lateCause(600, 0)
	}
	assert.Equal(t, len(f.LateAnswers()), maxRecentLate)
	total := uint64(0)
	for _, count := range f.Counters().Late {
		total += count
	}
	assert.Equal(t, total, uint64(3+2*maxRecentLate))
}
