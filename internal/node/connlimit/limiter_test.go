package connlimit

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closeRecorder records that it was closed.
type closeRecorder struct{ closed bool }

// Close implements io.Closer.
func (r *closeRecorder) Close() error {
	r.closed = true
	return nil
}

// testReuseTime is how long clients of the tests reuse connections.
const testReuseTime = 12 * time.Second

// fixture is a Limiter under a clock of the test.
type fixture struct {
	*Limiter
	at time.Time
}

func newFixture(limit int) *fixture {
	f := &fixture{Limiter: New(limit, func() time.Duration { return testReuseTime }), at: time.Unix(1, 0)}
	f.now = func() time.Time { return f.at }
	return f
}

// admit admits a connection, for which there must be a place, and brings it into a state.
func (f *fixture) admit(t *testing.T, state State, served bool) (*Conn, *closeRecorder) {
	t.Helper()
	assert.Assert(t, f.tryReserve())
	recorder := &closeRecorder{}
	c := f.add(recorder)
	if served {
		c.MarkServed()
	}
	c.SetState(state)
	return c, recorder
}

// TestThoseWhoWasteTheirPlaceGiveWayFirst, in the order that the package states, and requests that are being served never.
func TestThoseWhoWasteTheirPlaceGiveWayFirst(t *testing.T) {
	f := newFixture(6)
	var recorders []*closeRecorder
	for _, c := range []struct {
		state  State
		served bool
	}{{Idle, true}, {ReceivingBody, false}, {Idle, false}, {ReceivingHead, true}, {Silent, false}, {Serving, true}} {
		_, recorder := f.admit(t, c.state, c.served)
		recorders = append(recorders, recorder)
	}
	f.at = f.at.Add(testReuseTime)
	for next := 4; next >= 0; next-- {
		f.admit(t, Serving, true)
		assert.Assert(t, recorders[next].closed, "connection %d", next)
		assert.Assert(t, next == 0 || !recorders[next-1].closed)
	}
	assert.Assert(t, !f.tryReserve())
	open, evicted := f.Counts()
	assert.Equal(t, open, 6)
	assert.Equal(t, evicted, uint64(5))
}

// TestConnectionsThatMayBeReusedStay: a request of a client that was served may be on its way.
func TestConnectionsThatMayBeReusedStay(t *testing.T) {
	f := newFixture(1)
	c, recorder := f.admit(t, Idle, true)
	f.at = f.at.Add(testReuseTime - time.Millisecond)
	assert.Assert(t, !f.tryReserve())
	assert.Assert(t, !recorder.closed)
	c.Release()
	c.Release()
	assert.Assert(t, f.tryReserve())
}

// TestStateBeginsOnce: bytes that drip in don't renew the time of a head.
func TestStateBeginsOnce(t *testing.T) {
	f := newFixture(1)
	c, recorder := f.admit(t, ReceivingHead, false)
	f.at = f.at.Add(minHeadTime)
	c.SetState(ReceivingHead)
	assert.Assert(t, f.tryReserve())
	assert.Assert(t, recorder.closed)
}

// TestListenerEndsWhileItWaits for a place.
func TestListenerEndsWhileItWaits(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limiter := New(1, func() time.Duration { return testReuseTime })
	assert.Assert(t, limiter.tryReserve())
	listener := NewListener(plain, limiter)
	ended := make(chan error)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	assert.NilError(t, listener.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}
