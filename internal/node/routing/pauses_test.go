package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/verdict"
)

// exactRoute is a route of streams whose events may pause for 400 ms.
var exactRoute = &config.Route{Name: "exact", Kind: config.KindStreaming, TimeoutMs: 15000, TargetLatencyMs: 400, MaxAttempts: 1,
	Sticky: true, GapAimMs: 400}

// streamSeen tells a world of streams of other proxies at a broker.
func (w *world) streamSeen(instance string, times int, usual, longest time.Duration) {
	for range times {
		w.PeerStream(w.now, StreamSeen{Instance: instance, Usual: usual, Longest: longest, Lasted: 2 * time.Second})
	}
}

// pacedWorld has brokers of which the first `slow` take half as long again, as streams have shown.
func pacedWorld(t *testing.T, brokers, slow int) *world {
	w := newWorld(t, instances(brokers))
	for i, instance := range instances(brokers) {
		usual := 20 * ms
		if i < slow {
			usual = 30 * ms
		}
		w.streamSeen(instance.ID, 2*stepsTrusted, usual, 100*ms)
	}
	w.Router.pool(service).refresh(w.now)
	return w
}

func TestPaceOfBrokers(t *testing.T) {
	w := pacedWorld(t, 9, 3)
	p := w.Router.pool(service)
	for i, instance := range instances(9) {
		slowness := p.slowness(w.Router.brokers[instance.ID])
		assert.Equal(t, slowness > 1.4, i < 3, "%s %f", instance.ID, slowness)
		assert.Assert(t, i < 3 || slowness == 1)
	}
	one := w.Router.brokers["i08"]
	w.streamSeen("i08", 1, 2*time.Second, 2*time.Second)
	assert.Equal(t, p.slowness(one), 1.0, "a single stream that met reading all along moves it little")
	w.streamSeen("i08", 30, 40*ms, 100*ms)
	assert.Assert(t, p.slowness(one) > 1.5, "what many streams show is believed")
}

func TestPaceNeedsSeveralBrokersAndStreams(t *testing.T) {
	w := newWorld(t, instances(9))
	p := w.Router.pool(service)
	w.streamSeen("i00", 20, 90*ms, 100*ms)
	w.streamSeen("i01", 20, 20*ms, 100*ms)
	w.now += time.Second
	p.refresh(w.now)
	assert.Equal(t, p.slowness(w.Router.brokers["i00"]), 1.0)
}

func TestOwnStreamsAreLearntAndSomeAreTold(t *testing.T) {
	w := newWorld(t, instances(1))
	told := 0
	const streams = 200
	for range streams {
		q := w.prompt(exactRoute, 7)
		a := w.begin(q)
		w.now += 30 * ms
		w.Started(w.now, a.Request, a.Number, nil)
		w.now += 300 * ms
		outcome := Outcome{Verdict: verdict.Ran, Answered: true, Status: 200, Pauses: Pauses{Count: 10, Usual: 25 * ms, Longest: 90 * ms}}
		decision := w.Finished(w.now, a.Request, a.Number, outcome, false)
		w.End(w.now, a.Request)
		if seen := decision.StreamSeen; seen != nil {
			told++
			assert.DeepEqual(t, *seen, StreamSeen{Instance: "i00", Usual: 25 * ms, Longest: 90 * ms, Lasted: 330 * ms})
		}
	}
	assert.Assert(t, told > streams/8 && told < streams/2, "%d", told)
	assert.Equal(t, w.Router.brokers["i00"].step, 25.0)
}

// longPauses teaches that prompts of 12,000 tokens and more make streams pause for 500 ms, and others for 150 ms.
func longPauses(w *world) {
	for range 20 {
		w.streamSeen("i00", 1, 20*ms, 150*ms)
		w.now += 3 * time.Second
		w.PeerSent(w.now, Sent{Instance: "i01", Unread: 12000})
		w.now += time.Second
		w.streamSeen("i01", 1, 20*ms, 500*ms)
		w.now += 3 * time.Second
	}
	w.now += 30 * time.Second
	w.Router.pool(service).pauses.came(w.now, exactRoute)
}

func TestPausesAreLearntByTheSizeOfPrompts(t *testing.T) {
	w := newWorld(t, instances(4))
	p, b := w.Router.pool(service), w.Router.brokers["i02"]
	assert.Equal(t, p.pauseRisk(b, 20000, 400), 0.0, "nothing is known")
	longPauses(w)
	assert.Equal(t, p.pauseRisk(b, 1000, 400), 0.0)
	assert.Equal(t, p.pauseRisk(b, 5000, 400), 0.0)
	assert.Equal(t, p.pauseRisk(b, 12000, 400), 1.0)
	assert.Equal(t, p.pauseRisk(b, 30000, 400), 1.0, "longer ones count as much at least")
	assert.Equal(t, p.pauseRisk(b, 12000, 0), 0.0, "the route allows any pause")
	assert.Equal(t, p.pauseRisk(b, 12000, 1000), 0.0)
}

// Streams start where no long prompt was sent lately, and long prompts go where one was, or where few streams run.
func TestStreamsAndLongPromptsKeepApart(t *testing.T) {
	for _, disabled := range []Mechanism{0, PauseRisk} {
		w := newWorld(t, instances(6))
		w.Router.options.Disabled = disabled
		longPauses(w)
		for _, instance := range instances(6) {
			w.ObserveLoad(w.now, instance.ID, Load{Running: 8, Slots: 64})
		}
		for range 3 {
			w.PeerSent(w.now, Sent{Instance: "i03", Unread: 12000})
		}
		w.now += 900 * ms // it has read them
		for _, instance := range instances(6) {
			w.ObserveLoad(w.now, instance.ID, Load{Running: 8, Slots: 64})
		}
		streams, long := 0, 0
		for range 40 {
			short := w.prompt(exactRoute, w.Router.options.Random.Uint64())
			short.TokensOut = 300
			a := w.begin(short)
			if a.Instance.ID == "i03" {
				streams++
			}
			w.Finished(w.now, a.Request, a.Number, outcomeFull, false)
			w.End(w.now, a.Request)
			w.Router.brokers[a.Instance.ID].fullUntil = 0
			w.now += 50 * ms // its prompt is read
		}
		q := w.prompt(exactRoute, 99)
		q.TokensIn = 14000
		if w.begin(q).Instance.ID == "i03" {
			long++
		}
		if disabled == 0 {
			assert.Equal(t, streams, 0)
			assert.Equal(t, long, 1)
		} else {
			assert.Assert(t, streams > 0)
		}
	}
}
