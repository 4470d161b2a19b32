package brokerstate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBacklogShrinksWithTime(t *testing.T) {
	const perMillisecond = 50
	var q backlog
	assert.Equal(t, q.add(0, 5000, perMillisecond, nil), 5000.0)
	assert.Equal(t, q.remaining(), 5000.0)
	q.advance(40*ms, perMillisecond, nil)
	assert.Equal(t, q.remaining(), 3000.0)
	assert.Equal(t, q.add(60*ms, 1000, perMillisecond, nil), 6000.0)
	assert.Equal(t, q.remaining(), 3000.0)
	q.advance(time.Minute, perMillisecond, nil)
	assert.Equal(t, q.remaining(), 0.0)
	assert.Equal(t, q.add(time.Minute, 700, perMillisecond, nil), 6700.0, "idle time doesn't count for a later prompt")
	assert.Equal(t, q.remaining(), 700.0)
}

// A request of this proxy without its first token shows that the broker is slower than estimated. A
// request with its first token shows that everything before it was read.
func TestBacklogFollowsOwnRequests(t *testing.T) {
	const perMillisecond = 50
	var q backlog
	first := &Call{BacklogEnd: q.add(0, 5000, perMillisecond, nil)}
	q.add(0, 2000, perMillisecond, first)
	q.advance(time.Second, perMillisecond, first)
	assert.Equal(t, q.remaining(), 2000.0+minRemainingTokens)
	q.completeUpTo(first.BacklogEnd)
	assert.Equal(t, q.remaining(), 2000.0)
	q.completeUpTo(1000)
	assert.Equal(t, q.remaining(), 2000.0, "the front never moves back")
}

// The time per token is the slope of latencies over the tokens read before them, whatever fixed
// time and noise are added to each answer.
func TestPrefillTimeEstimate(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 8))
	for _, c := range []struct{ perToken, fixed, noise, want float64 }{
		{0.018, 30, 20, 0.018},
		{0.031, 80, 40, 0.031},
		{5, 10, 0, maxTimePerToken},
		{0, 10, 0, minTimePerToken},
	} {
		var p prefillTimeEstimator
		assert.Equal(t, p.perToken(), assumedTimePerToken)
		for range 400 {
			tokens := 200 + 9000*random.Float64()
			p.addSample(tokens, c.fixed+c.perToken*tokens+c.noise*random.Float64())
		}
		assert.Assert(t, math.Abs(p.perToken()-c.want) <= 0.1*c.want, "estimated %v ms a token, want %v", p.perToken(), c.want)
	}
	var same prefillTimeEstimator
	for range 400 {
		same.addSample(1000, 50)
	}
	assert.Assert(t, math.Abs(same.perToken()-assumedTimePerToken) < 1e-6, "equal samples tell nothing about the slope")
}

// About ten answers are enough for a usable estimate.
func TestPrefillTimeEstimateConvergesQuickly(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 8))
	var p prefillTimeEstimator
	for range 12 {
		tokens := 200 + 9000*random.Float64()
		p.addSample(tokens, 60+0.05*tokens+60*random.Float64())
	}
	assert.Assert(t, p.known())
	assert.Assert(t, math.Abs(p.perToken()-0.05) < 0.01, "estimated %v ms a token", p.perToken())
}

// The estimate follows a change within a few hundred answers.
func TestPrefillTimeEstimateFollowsChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 8))
	var p prefillTimeEstimator
	for i := range 3000 {
		perToken := 0.02
		if i >= 1500 {
			perToken = 0.06
		}
		tokens := 200 + 9000*random.Float64()
		p.addSample(tokens, 20+perToken*tokens)
	}
	assert.Assert(t, math.Abs(p.perToken()-0.06) < 0.003)
}
