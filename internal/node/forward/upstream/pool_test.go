package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/verdict"
)

// TestTransportRepeats pins why http.Transport isn't used: it sends a GET a second time by itself.
func TestTransportRepeats(t *testing.T) {
	var arrivals atomic.Int32
	p := newPeer(t, func(socket *net.TCPConn, request *http.Request) {
		if arrivals.Add(1) == 2 {
			socket.Close()
			return
		}
		ok("")(socket, request)
	})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 2 {
		response, err := client.Get("http://" + p.listener.Addr().String() + "/")
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Body.Close()
	}
	assert.Equal(t, int(arrivals.Load()), 3)
}

// TestLastUsedConnectionIsReused, so that surplus ones become idle and are closed.
func TestLastUsedConnectionIsReused(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	var conns []*Conn
	for range 3 {
		conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		finish(t, conn)
	}
	for range 5 {
		assert.Equal(t, exchange(t, pool, p.target("i-1")), conns[2])
	}
	open, idle := openAndIdle(pool)
	assert.Equal(t, open, 3)
	assert.Equal(t, idle, 3)
}

// TestIdleTimeFollowsKeepAlive of the broker.
func TestIdleTimeFollowsKeepAlive(t *testing.T) {
	for _, test := range []struct {
		headers string
		want    time.Duration
	}{
		{"", DefaultUnstatedIdleTime},
		{"Keep-Alive: timeout=5\r\n", 5*time.Second - DefaultKeepAliveMargin},
		{"Keep-Alive: timeout=1, max=3\r\n", time.Second - DefaultKeepAliveMargin},
		{"Keep-Alive: max=3 , Timeout = \"7\"\r\n", 7*time.Second - DefaultKeepAliveMargin},
		{"Keep-Alive: timeout=600\r\n", DefaultIdleTime},
		{"Keep-Alive: timeout=0\r\n", DefaultUnstatedIdleTime},
		{"Keep-Alive: timeout=soon\r\n", DefaultUnstatedIdleTime},
	} {
		p := newPeer(t, ok(test.headers))
		pool := newPool(t, Options{})
		conn := exchange(t, pool, p.target("i-1"))
		assert.Equal(t, conn.usableUntil.Sub(conn.idleSince), test.want, test.headers)
	}
}

// TestExpiredConnectionIsNotUsed any more, nor kept.
func TestExpiredConnectionIsNotUsed(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	old := exchange(t, pool, p.target("i-1"))
	old.usableUntil = time.Now()
	assert.Assert(t, exchange(t, pool, p.target("i-1")) != old)
	open, _ := openAndIdle(pool)
	assert.Equal(t, open, 1)
	assert.Equal(t, pool.Counters.Stale.Load(), uint64(0))
}

// TestSweepClosesExpiredConnections, without any request.
func TestSweepClosesExpiredConnections(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	first, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	second, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	finish(t, first)
	finish(t, second)
	first.usableUntil = time.Now()
	pool.sweep()
	open, idle := openAndIdle(pool)
	assert.Equal(t, open, 1)
	assert.Equal(t, idle, 1)
	assert.Assert(t, pool.sweeping)
	second.usableUntil = time.Now()
	pool.sweep()
	open, idle = openAndIdle(pool)
	assert.Equal(t, open, 0)
	assert.Equal(t, idle, 0)
	assert.Assert(t, !pool.sweeping, "no timer runs where there is nothing to close")
	assert.Equal(t, len(pool.hosts), 0)
}

// TestIdleTimeIsLearnedWithoutKeepAlive: from connections found closed.
func TestIdleTimeIsLearnedWithoutKeepAlive(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	inUse, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	conn := exchange(t, pool, p.target("i-1"))
	conn.idleSince = time.Now().Add(-600 * time.Millisecond)
	<-p.sockets
	socket := <-p.sockets
	socket.Close()
	awaitClosed(t, conn)
	exchange(t, pool, p.target("i-1"))
	assert.Equal(t, pool.Counters.Stale.Load(), uint64(1))
	learned := inUse.host.learnedIdleTime
	assert.Assert(t, learned >= 300*time.Millisecond && learned < time.Second, "%v", learned)
	inUse.Close()
}

// TestBrokenKeptConnectionClosesOlderIdleOnes: those that have been idle since before its request, and no
// others.
func TestBrokenKeptConnectionClosesOlderIdleOnes(t *testing.T) {
	arrived := make(chan struct{}, 100)
	p := newPeer(t, func(socket *net.TCPConn, request *http.Request) {
		if request.Header.Get(HeaderRequestID) == "r1" {
			ok("")(socket, request)
			return
		}
		arrived <- struct{}{}
	})
	for _, test := range []struct {
		name    string
		kept    bool // the connection carried a request before
		end     func(conn *Conn, socket *net.TCPConn)
		resting int // connections of before that are still kept
	}{
		{"reset", true, func(_ *Conn, socket *net.TCPConn) { socket.SetLinger(0); socket.Close() }, 0},
		{"closed", true, func(_ *Conn, socket *net.TCPConn) { socket.Close() }, 0},
		{"called off", true, func(conn *Conn, _ *net.TCPConn) { conn.Interrupt() }, 1},
		{"no answer in time", true, func(conn *Conn, _ *net.TCPConn) { conn.SetWaitLimit(time.Now()) }, 1},
		{"a new one, reset", false, func(_ *Conn, socket *net.TCPConn) { socket.SetLinger(0); socket.Close() }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := newPool(t, Options{})
			target := p.target("i-1")
			resting, err := pool.Get(t.Context(), target, soon())
			assert.NilError(t, err)
			<-p.sockets
			breaking, err := pool.Get(t.Context(), target, soon())
			assert.NilError(t, err)
			socket := <-p.sockets
			if test.kept {
				finish(t, breaking)
				breaking, err = pool.Get(t.Context(), target, soon())
				assert.NilError(t, err)
			}
			finish(t, resting)
			assert.NilError(t, breaking.Send(request("r2"), nil, soon()))
			<-arrived
			later, err := pool.open(t.Context(), target, soon())
			assert.NilError(t, err)
			<-p.sockets
			finish(t, later)
			test.end(breaking, socket)
			assert.Assert(t, breaking.Await(soon()) != nil)
			breaking.Close()
			_, idle := openAndIdle(pool)
			assert.Equal(t, idle, test.resting+1)
		})
	}
}

// TestConnectionsBelongToInstanceNotAddress: another broker may have the address later.
func TestConnectionsBelongToInstanceNotAddress(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	old := exchange(t, pool, p.target("i-1"))
	assert.Assert(t, exchange(t, pool, p.target("i-2")) != old)
	elsewhere := newPeer(t, ok(""))
	moved := exchange(t, pool, elsewhere.target("i-1"))
	assert.Assert(t, moved != old)
	assert.Assert(t, old.closed.Load())
}

func TestConnectionBoundsAreKept(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{MaxIdle: 1})
	target := p.target("i-1")
	target.MaxConnections = 2
	first, err := pool.Get(t.Context(), target, soon())
	assert.NilError(t, err)
	second, err := pool.Get(t.Context(), target, soon())
	assert.NilError(t, err)
	_, err = pool.Get(t.Context(), target, soon())
	assert.Assert(t, errors.Is(err, ErrExhausted))
	assert.Equal(t, VerdictOf(err), verdict.NotRun)
	finish(t, first)
	finish(t, second)
	open, idle := openAndIdle(pool)
	assert.Equal(t, open, 1)
	assert.Equal(t, idle, 1)
}

// TestClosedPoolKeepsNoConnection, neither idle ones nor those returned later.
func TestClosedPoolKeepsNoConnection(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	exchange(t, pool, p.target("i-1"))
	pool.Close()
	_, idle := openAndIdle(pool)
	assert.Equal(t, idle, 0)
	finish(t, conn)
	open, _ := openAndIdle(pool)
	assert.Equal(t, open, 0)
}

// TestConnectIsGivenUpAtDeadline, or when the client disconnects.
func TestConnectIsGivenUpAtDeadline(t *testing.T) {
	target := Target{InstanceID: "i-1", Address: hungAddress(t)}
	pool := newPool(t, Options{ConnectTimeout: time.Hour})
	_, err := pool.Get(t.Context(), target, time.Now().Add(5*time.Millisecond))
	assert.Assert(t, errors.Is(err, ErrConnectFailed))
	assert.Equal(t, VerdictOf(err), verdict.NotRun)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Get(ctx, target, soon())
	assert.Assert(t, errors.Is(err, ErrConnectFailed))

	pool = newPool(t, Options{ConnectTimeout: 5 * time.Millisecond})
	_, err = pool.Get(t.Context(), target, soon())
	assert.Assert(t, errors.Is(err, ErrConnectFailed))
	open, _ := openAndIdle(pool)
	assert.Equal(t, open, 0)
	assert.Equal(t, pool.Counters.Failed.Load(), uint64(1))
}

// TestManyAtOnce: requests from many goroutines each get their own answer.
func TestManyAtOnce(t *testing.T) {
	p := newPeer(t, ok("Keep-Alive: timeout=5\r\n"))
	pool := newPool(t, Options{MaxIdle: 4})
	done := make(chan error)
	const workers, requests = 16, 20
	for worker := range workers {
		go func() {
			var failure error
			for number := range requests {
				failure = once(pool, p.target(fmt.Sprintf("i-%d", worker%3)), fmt.Sprintf("r-%d-%d", worker, number))
				if failure != nil {
					break
				}
			}
			done <- failure
		}()
	}
	for range workers {
		assert.NilError(t, <-done)
	}
	open, idle := openAndIdle(pool)
	assert.Equal(t, open, idle)
	assert.Assert(t, idle <= 4)
}

// TestConnectionsToAllBrokersAreBounded: an idle one gives way to one that is needed; where all are in use none is opened.
func TestConnectionsToAllBrokersAreBounded(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{MaxOpen: 2})
	idle, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	_, err = pool.Get(t.Context(), p.target("i-2"), soon())
	assert.NilError(t, err)
	_, err = pool.Get(t.Context(), p.target("i-3"), soon())
	assert.ErrorIs(t, err, ErrExhausted)
	assert.Equal(t, VerdictOf(err), verdict.NotRun)
	finish(t, idle)
	_, err = pool.Get(t.Context(), p.target("i-3"), soon())
	assert.NilError(t, err)
	open, rested := openAndIdle(pool)
	assert.Equal(t, open, 2)
	assert.Equal(t, rested, 0)
}
