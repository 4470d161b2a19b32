package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/verdict"
)

// testTimeout bounds every wait of the tests; a passing test never waits it out.
const testTimeout = 20 * time.Second

func soon() time.Time { return time.Now().Add(testTimeout) }

// peer is the other end of connections. It answers each request by its script.
type peer struct {
	listener net.Listener
	conns    atomic.Int32
	sockets  chan *net.TCPConn
}

func newPeer(t *testing.T, script func(socket *net.TCPConn, request *http.Request)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &peer{listener: listener, sockets: make(chan *net.TCPConn, 1000)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			p.sockets <- socket.(*net.TCPConn)
			go serve(socket.(*net.TCPConn), script)
		}
	}()
	return p
}

func serve(socket *net.TCPConn, script func(*net.TCPConn, *http.Request)) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		script(socket, request)
	}
}

func (p *peer) target(id string) Target {
	return Target{InstanceID: id, Address: p.listener.Addr().String()}
}

// ok answers with extra header lines.
func ok(headers string) func(*net.TCPConn, *http.Request) {
	return func(socket *net.TCPConn, request *http.Request) {
		fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok",
			HeaderRequestID, request.Header.Get(HeaderRequestID), headers)
	}
}

func newPool(t *testing.T, options Options) *Pool {
	pool := NewPool(options)
	t.Cleanup(pool.Close)
	return pool
}

// exchange makes one request and reads the whole answer.
func exchange(t *testing.T, pool *Pool, target Target) *Conn {
	t.Helper()
	conn, err := pool.Get(t.Context(), target, soon())
	assert.NilError(t, err)
	finish(t, conn)
	return conn
}

func finish(t *testing.T, conn *Conn) {
	t.Helper()
	assert.NilError(t, conn.Send(request("r1"), nil, soon()))
	answer, err := conn.ReadHead("GET", "r1")
	assert.NilError(t, err)
	body, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	answer.Done()
}

func request(id string) []byte {
	return []byte("GET / HTTP/1.1\r\nHost: h\r\n" + HeaderRequestID + ": " + id + "\r\n\r\n")
}

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

// TestMostRecentlyUsedConnectionIsReused, so that those not needed come to rest and are closed.
func TestMostRecentlyUsedConnectionIsReused(t *testing.T) {
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

// TestIdleTimeFollowsKeepAlive by what the broker says of Keep-Alive.
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

// TestExpiredConnectionIsNotUsed: such a connection isn't used any more, nor kept.
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

// TestIdleTimeIsLearnedWithoutKeepAlive from connections found closed.
func TestIdleTimeIsLearnedWithoutKeepAlive(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	held, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	conn := exchange(t, pool, p.target("i-1"))
	conn.idleSince = time.Now().Add(-600 * time.Millisecond)
	<-p.sockets
	socket := <-p.sockets
	socket.Close()
	awaitClosed(t, conn)
	exchange(t, pool, p.target("i-1"))
	assert.Equal(t, pool.Counters.Stale.Load(), uint64(1))
	learned := held.host.learnedIdleTime
	assert.Assert(t, learned >= 300*time.Millisecond && learned < time.Second, "%v", learned)
	held.Close()
}

// awaitClosed waits until the end of the connection has come, without taking it.
func awaitClosed(t *testing.T, conn *Conn) {
	t.Helper()
	var probe [1]byte
	err := conn.raw.Read(func(descriptor uintptr) bool {
		count, _, err := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK)
		return count == 0 && err == nil
	})
	assert.NilError(t, err)
}

// TestConnectionsBelongToTheInstance, not to its address, which another broker may have later.
// TestBrokenKeptConnectionClosesOlderIdleOnes that have rested since before, and against no others.
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
	assert.Assert(t, errorx.IsOfType(err, Exhausted))
	assert.Equal(t, VerdictOf(err), verdict.NotRun)
	finish(t, first)
	finish(t, second)
	open, idle := openAndIdle(pool)
	assert.Equal(t, open, 1)
	assert.Equal(t, idle, 1)
}

// TestClosedPoolKeepsNoConnection.
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

// TestSocketOptions: a cut says nothing, so the kernel has to find it out.
func TestSocketOptions(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	defer conn.Close()
	for _, test := range []struct{ level, option, want int }{
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 1000},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3},
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
	} {
		var value int
		var failure error
		assert.NilError(t, conn.raw.Control(func(descriptor uintptr) {
			value, failure = unix.GetsockoptInt(int(descriptor), test.level, test.option)
		}))
		assert.NilError(t, failure)
		assert.Equal(t, value, test.want, "%v", test)
	}
}

// hungAddress is an address that takes no connection and refuses none: the queue of its listener is full.
func hungAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { syscall.Close(descriptor) })
	assert.NilError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(descriptor, 0))
	name, err := syscall.Getsockname(descriptor)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { filler.Close() })
	return address
}

// TestConnectIsGivenUpAtDeadline: a connection that does not come up is given up at the time given, or when the client leaves.
func TestConnectIsGivenUpAtDeadline(t *testing.T) {
	target := Target{InstanceID: "i-1", Address: hungAddress(t)}
	pool := newPool(t, Options{ConnectTimeout: time.Hour})
	_, err := pool.Get(t.Context(), target, time.Now().Add(5*time.Millisecond))
	assert.Assert(t, errorx.IsOfType(err, ConnectFailed))
	assert.Equal(t, VerdictOf(err), verdict.NotRun)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = pool.Get(ctx, target, soon())
	assert.Assert(t, errorx.IsOfType(err, ConnectFailed))

	pool = newPool(t, Options{ConnectTimeout: 5 * time.Millisecond})
	_, err = pool.Get(t.Context(), target, soon())
	assert.Assert(t, errorx.IsOfType(err, ConnectFailed))
	open, _ := openAndIdle(pool)
	assert.Equal(t, open, 0)
	assert.Equal(t, pool.Counters.Failed.Load(), uint64(1))
}

// TestAwaitResetTellsResetFromOpen: a new connection that is reset, or that speaks first, is told from one that stays.
func TestAwaitResetTellsResetFromOpen(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	good, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	assert.NilError(t, good.AwaitReset(soon()))
	finish(t, good)
	again, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	assert.NilError(t, again.AwaitReset(soon()), "a kept connection needs no wait")
	again.Close()
	<-p.sockets

	pool = newPool(t, Options{ResetWait: testTimeout})

	for _, end := range []func(*net.TCPConn){
		func(socket *net.TCPConn) { socket.SetLinger(0); socket.Close() },
		func(socket *net.TCPConn) { socket.Close() },
		func(socket *net.TCPConn) { io.WriteString(socket, "HTTP/1.1 200 OK\r\n") },
	} {
		conn, err := pool.Get(t.Context(), p.target("i-2"), soon())
		assert.NilError(t, err)
		end(<-p.sockets)
		err = conn.AwaitReset(soon())
		assert.Assert(t, errorx.IsOfType(err, Rejected), "%v", err)
		assert.Equal(t, VerdictOf(err), verdict.NotRun)
		conn.Close()
	}
}

// TestUnsentRequestHasNotRun: a connection that took no byte leaves the request not run.
func TestUnsentRequestHasNotRun(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	for _, body := range []string{"", strings.Repeat("a", 20<<10)} {
		conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
		assert.NilError(t, err)
		conn.Interrupt()
		err = conn.Send(request("r1"), []byte(body), soon())
		assert.Assert(t, errorx.IsOfType(err, Unsent), "%v", err)
		assert.Equal(t, VerdictOf(err), verdict.NotRun)
		conn.Close()
	}
}

// TestPartlySentRequestMayHaveRun: a peer that reads nothing holds the writer up; what it took may have run.
func TestPartlySentRequestMayHaveRun(t *testing.T) {
	pool := newPool(t, Options{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := pool.Get(t.Context(), Target{InstanceID: "i-1", Address: listener.Addr().String()}, soon())
	assert.NilError(t, err)
	defer conn.Close()
	err = conn.Send(request("r1"), make([]byte, 64<<20), time.Now().Add(20*time.Millisecond))
	assert.Assert(t, errorx.IsOfType(err, SentInPart), "%v", err)
	assert.Equal(t, VerdictOf(err), verdict.MayHaveRun)
}

// TestAwaitTimeoutKeepsConnection: after a wait that brought nothing the connection goes on.
func TestAwaitTimeoutKeepsConnection(t *testing.T) {
	proceed := make(chan struct{})
	p := newPeer(t, func(socket *net.TCPConn, request *http.Request) {
		<-proceed
		ok("")(socket, request)
	})
	pool := newPool(t, Options{})
	conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	assert.NilError(t, conn.Send(request("r1"), nil, soon()))
	for range 3 {
		err = conn.Await(time.Now().Add(time.Millisecond))
		assert.Assert(t, errorx.IsOfType(err, TimedOut), "%v", err)
	}
	close(proceed)
	assert.NilError(t, conn.Await(soon()))
	answer, err := conn.ReadHead("GET", "r1")
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.NilError(t, err)
	answer.Done()
	_, idle := openAndIdle(pool)
	assert.Equal(t, idle, 1)
}

// TestWaitLimitBoundsReadInProgress bounds a read that is under way, and is forgotten with the request.
func TestWaitLimitBoundsReadInProgress(t *testing.T) {
	received := make(chan struct{}, 1)
	p := newPeer(t, func(socket *net.TCPConn, request *http.Request) {
		if request.Header.Get(HeaderRequestID) == "silent" {
			received <- struct{}{}
			return
		}
		ok("")(socket, request)
	})
	pool := newPool(t, Options{})
	conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	conn.SetWaitLimit(time.Now().Add(time.Hour))
	finish(t, conn)
	conn.mutex.Lock()
	assert.Assert(t, conn.appliedDeadline.IsZero(), "no timer runs for a connection at rest")
	conn.mutex.Unlock()

	again, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	assert.Equal(t, again, conn)
	assert.NilError(t, conn.Send(request("silent"), nil, soon()))
	<-received
	conn.SetWaitLimit(time.Now().Add(time.Millisecond))
	err = conn.Await(soon())
	assert.Assert(t, errorx.IsOfType(err, TimedOut), "%v", err)
	conn.Close()
}

// TestInterrupt ends a read that is under way.
func TestInterrupt(t *testing.T) {
	received := make(chan struct{})
	p := newPeer(t, func(*net.TCPConn, *http.Request) { close(received) })
	pool := newPool(t, Options{})
	conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	assert.NilError(t, conn.Send(request("r1"), nil, soon()))
	go func() {
		<-received
		conn.Interrupt()
	}()
	err = conn.Await(soon())
	assert.Assert(t, errorx.IsOfType(err, Broken), "%v", err)
	assert.Equal(t, VerdictOf(err), verdict.MayHaveRun)
	conn.Close()
	conn.Close()
	open, _ := openAndIdle(pool)
	assert.Equal(t, open, 0)
}

// TestAnswerLeftUnread closes its connection: nobody knows what is still to come.
func TestAnswerLeftUnread(t *testing.T) {
	p := newPeer(t, ok(""))
	pool := newPool(t, Options{})
	conn, err := pool.Get(t.Context(), p.target("i-1"), soon())
	assert.NilError(t, err)
	assert.NilError(t, conn.Send(request("r1"), nil, soon()))
	answer, err := conn.ReadHead("GET", "r1")
	assert.NilError(t, err)
	answer.Done()
	open, _ := openAndIdle(pool)
	assert.Equal(t, open, 0)
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

func once(pool *Pool, target Target, id string) error {
	conn, err := pool.Get(context.Background(), target, soon())
	if err != nil {
		return err
	}
	if err := conn.Send(request(id), nil, soon()); err != nil {
		return err
	}
	answer, err := conn.ReadHead("GET", id)
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(answer); err != nil {
		return err
	}
	answer.Done()
	return nil
}

// openAndIdle counts the connections of a pool, and those of them at rest.
func openAndIdle(pool *Pool) (open, idle int) {
	count := pool.Connections()
	return count.Open, count.Idle
}
