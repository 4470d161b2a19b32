package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedDials makes the pool's dials wait until release is closed or sent to, and announces each.
type blockedDials struct {
	started chan struct{}
	release chan struct{}
}

func blockDials(pool *Pool) *blockedDials {
	blocked := &blockedDials{started: make(chan struct{}, 100), release: make(chan struct{})}
	connect := pool.connect
	pool.connect = func(ctx context.Context, address string) (net.Conn, error) {
		blocked.started <- struct{}{}
		select {
		case <-blocked.release:
			return connect(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return blocked
}

// TestConnectWaitFollowsConnectTimes of all brokers together.
func TestConnectWaitFollowsConnectTimes(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name  string
		times []time.Duration
		want  func(patience time.Duration) bool
	}{
		{"nothing known", nil, func(p time.Duration) bool { return p == 300*ms }},
		{"one is no measure", repeat(ms, 1), func(p time.Duration) bool { return p > 250*ms }},
		{"fast: the minimum", repeat(ms, 40), func(p time.Duration) bool { return p == 60*ms }},
		{"other regions", repeat(20*ms, 60), func(p time.Duration) bool { return p > 150*ms && p < 170*ms }},
		{"fast, one opening packet lost", append(repeat(ms, 40), time.Second), func(p time.Duration) bool { return p < 80*ms }},
		{"became slow", append(repeat(ms, 40), repeat(200*ms, 20)...), func(p time.Duration) bool { return p == time.Second }},
		{"and fast again", append(repeat(900*ms, 20), repeat(ms, 60)...), func(p time.Duration) bool { return p == 60*ms }},
	} {
		times := NewPool(Options{}).connectTimes
		for _, took := range test.times {
			times.observe(took)
		}
		assert.Assert(t, test.want(times.waitLimit()), "%s: %v", test.name, times.waitLimit())
	}
}

func repeat(took time.Duration, count int) []time.Duration {
	list := make([]time.Duration, count)
	for i := range list {
		list[i] = took
	}
	return list
}

// TestConnectWaitGrowsWithAttempts, up to the bound on connecting: the request may have no other broker.
func TestConnectWaitGrowsWithAttempts(t *testing.T) {
	pool := newPool(t, Options{InitialConnectWait: 80 * time.Millisecond})
	for earlier, want := range []time.Duration{80, 160, 320, 640, 1000, 1000} {
		assert.Equal(t, pool.connectWait(earlier), want*time.Millisecond)
	}
	assert.Equal(t, pool.connectWait(1000), time.Second)
}

// TestLateConnectionIsKept for the next request, since new connections are expensive.
func TestLateConnectionIsKept(t *testing.T) {
	p := newPeer(t, ok(""))
	for _, test := range []struct {
		name string
		get  func(*Pool) error
	}{
		{"the patience ended", func(pool *Pool) error {
			_, err := pool.Get(t.Context(), p.target("i-1"), soon())
			return err
		}},
		{"the time given ended", func(pool *Pool) error {
			_, err := pool.Get(t.Context(), p.target("i-1"), time.Now())
			return err
		}},
		{"the client left", func(pool *Pool) error {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := pool.Get(ctx, p.target("i-1"), soon())
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := newPool(t, Options{InitialConnectWait: time.Millisecond, MinConnectWait: time.Millisecond, ConnectTimeout: testTimeout})
			blocked := blockDials(pool)
			assert.Assert(t, errors.Is(test.get(pool), ErrConnectFailed))
			open, idle := openAndIdle(pool)
			assert.Equal(t, open, 1, "one that is still opened counts")
			assert.Equal(t, idle, 0)
			close(blocked.release)
			awaitIdle(t, pool)
			exchange(t, pool, p.target("i-1"))
			assert.Equal(t, pool.Counters.Opened.Load(), uint64(1))
			assert.Equal(t, pool.Counters.Reused.Load(), uint64(1))
		})
	}
}

// awaitIdle waits until a connection is at rest.
func awaitIdle(t *testing.T, pool *Pool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	limit := time.After(testTimeout)
	for {
		if _, idle := openAndIdle(pool); idle > 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("no connection came to rest")
		}
	}
}

// TestConnectionThatNeverComesIsForgotten: it counts until its time is over.
func TestConnectionThatNeverComesIsForgotten(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{InitialConnectWait: time.Millisecond, MinConnectWait: time.Millisecond, ConnectTimeout: 20 * time.Millisecond})
	blockDials(pool)
	_, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.Assert(t, errors.Is(err, ErrConnectFailed))
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	limit := time.After(testTimeout)
	for {
		if open, _ := openAndIdle(pool); open == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("the connection still counts")
		}
	}
}

// TestClosedPoolKeepsNoLateConnection.
func TestClosedPoolKeepsNoLateConnection(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{InitialConnectWait: time.Millisecond, MinConnectWait: time.Millisecond, ConnectTimeout: testTimeout})
	blocked := blockDials(pool)
	_, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.Assert(t, errors.Is(err, ErrConnectFailed))
	pool.Close()
	close(blocked.release)
	socket := <-p.sockets
	_, err = socket.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection is closed")
	_, idle := openAndIdle(pool)
	assert.Equal(t, idle, 0)
}

// TestSuspendedProcessWaitsOnceMore: the time in which it did not run says nothing about the broker.
func TestSuspendedProcessWaitsOnceMore(t *testing.T) {
	pool := newPool(t, Options{ConnectTimeout: 2 * time.Hour})
	result := make(chan dialResult, 1)
	d := &dial{pool: pool, startedAt: time.Now().Add(-time.Hour), result: result}
	go func() { result <- dialResult{conn: &Conn{}} }()
	conn, err := d.await(t.Context(), testTimeout, soon())
	assert.NilError(t, err)
	assert.Assert(t, conn != nil)
}
