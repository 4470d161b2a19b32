package brokerstate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/retrybudget"
)

func newEjector(disabled mechanism.Set) *Ejector {
	return NewEjector(mechanism.NewSwitches(disabled), rand.New(rand.NewPCG(1, 2)), time.Second, &retrybudget.ProxyCount{})
}

// sendCall records a call to a broker.
func sendCall(b *Broker, now core.Time) *Call {
	c := &Call{Broker: b, SentAt: now, Scale: 1, Arrived: true}
	b.AddCall(c)
	return c
}

// A broker whose call gets no answer times out. The timeout is longer if no other broker answers,
// and doesn't count the time in which this process was suspended.
func TestCallWithoutAnswerTimesOut(t *testing.T) {
	const sent = 20 * time.Second
	timeout := time.Duration(defaultTimeout) * ms
	for _, c := range []struct {
		name         string
		after        time.Duration
		othersAnswer bool
		itAnswers    bool
		resumed      bool
		want         bool
	}{
		{"soon", timeout, true, false, false, false},
		{"long, others answer", timeout + ms, true, false, false, true},
		{"long, nobody answers", timeout + ms, false, false, false, false},
		{"very long, nobody answers", noOtherAnswersFactor*timeout + ms, false, false, false, true},
		{"it has answered another call", timeout + ms, true, true, false, false},
		{"this process was suspended", timeout + ms, true, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, e := newPool(2), newEjector(0)
			sendCall(p.Brokers[0], sent)
			if c.othersAnswer {
				e.RecordAnswer(sent+ms, p, p.Brokers[1])
			}
			if c.itAnswers {
				e.RecordAnswer(sent+ms, p, p.Brokers[0])
			}
			now := sent + c.after
			if c.resumed {
				e.ProcessResumed(now - ms)
			}
			assert.Equal(t, e.TimedOut(now, p, p.Brokers[0]), c.want)
		})
	}
}

// The interval between failing probes grows up to a bound. An answer readmits the broker, unless it
// was ejected for failing too many calls.
func TestProbesBackOff(t *testing.T) {
	p, e := newPool(1), newEjector(0)
	b := p.Brokers[0]
	now := 20 * time.Second
	e.RecordFailure(now, sendCall(b, now), FaultConnect)
	assert.Equal(t, b.Health.Reason(), Unreachable)
	assert.Equal(t, e.Ejections(), uint64(1))
	last := b.Health.backoff
	for range 6 {
		now = b.Health.ProbeAt()
		probe := sendCall(b, now)
		b.Health.BeginProbe(probe)
		assert.Assert(t, !b.Health.ProbeDue(now), "one probe at a time")
		e.RecordFailure(now, probe, FaultConnect)
		assert.Equal(t, b.Health.backoff, min(2*last, maxProbeBackoff))
		wait := b.Health.ProbeAt() - now
		assert.Assert(t, wait >= b.Health.backoff*3/4 && wait <= b.Health.backoff*5/4)
		last = b.Health.backoff
	}
	assert.Equal(t, e.Ejections(), uint64(1))
	e.RecordAnswer(now, p, b)
	assert.Assert(t, !b.Health.Ejected())
}

// A broker that fails too large a share of its calls is ejected until a call succeeds.
func TestFailingBrokerMustSucceed(t *testing.T) {
	for _, c := range []struct {
		successes, failures int
		ejected             bool
	}{{0, 1, false}, {0, 2, true}, {4, 2, true}, {5, 2, false}} {
		p, e := newPool(1), newEjector(0)
		b := p.Brokers[0]
		const now = 20 * time.Second
		for range c.successes {
			b.Health.RecordSuccess(now)
		}
		for range c.failures {
			e.RecordFailure(now, sendCall(b, now), FaultFailure)
		}
		assert.Equal(t, b.Health.Ejected(), c.ejected, "%d failures, %d successes", c.failures, c.successes)
		if c.ejected {
			e.RecordAnswer(now, p, b)
			assert.Assert(t, b.Health.Ejected(), "an answer alone doesn't count as a success")
			b.Health.RecordSuccess(now)
			assert.Assert(t, !b.Health.Ejected())
		}
	}
}

func TestNoEjectionWhereItIsDisabled(t *testing.T) {
	p, e := newPool(1), newEjector(mechanism.OutlierEjection)
	e.Eject(time.Second, p.Brokers[0], Unreachable)
	assert.Assert(t, !p.Brokers[0].Health.Ejected())
}
