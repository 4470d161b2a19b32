package agent

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/settings"
)

// The platform needs two seconds to notice a shutdown. The time from the last accepted request until
// requests are aborted must be as long as possible, and the node must have ended before the grace is
// over.
func TestStopTimesLeaveTimeToFinishWithinGrace(t *testing.T) {
	table := map[time.Duration]stopTimes{
		8 * time.Second:  {refuseAfter: 2500 * time.Millisecond, closeAfter: 3600 * time.Millisecond, abortAfter: 7400 * time.Millisecond},
		30 * time.Second: {refuseAfter: 2500 * time.Millisecond, closeAfter: 13500 * time.Millisecond, abortAfter: 29400 * time.Millisecond},
		2 * time.Second:  {refuseAfter: 700 * time.Millisecond, closeAfter: 900 * time.Millisecond, abortAfter: 1760 * time.Millisecond},
	}
	for grace, want := range table {
		assert.Equal(t, stopTimesOf(grace), want)
	}
}

func TestServersAreClosedWhereALaterOneCannotListen(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	loaded := &settings.Settings{}
	loaded.NodeName = "node-1"
	loaded.Listen.Control = freeAddress(t)
	loaded.Listen.Readiness = freeAddress(t)
	loaded.Listen.Front = taken.Addr().String()

	_, err = New(loaded, Options{}, slog.New(slog.DiscardHandler)).startServers()
	assert.ErrorContains(t, err, "listen for clients")
	for _, address := range []string{loaded.Listen.Control, loaded.Listen.Readiness} {
		again, err := listenSoon(address)
		assert.NilError(t, err)
		assert.NilError(t, again.Close())
	}
}

// freeAddress returns an address of this machine that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// listenSoon listens at an address; a server that was closed before it began to serve closes its
// listener only then, so that it tries for a while.
func listenSoon(address string) (listener net.Listener, err error) {
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}
