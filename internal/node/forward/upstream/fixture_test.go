package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
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

// openAndIdle returns the open connections of a pool, and the idle ones among them.
func openAndIdle(pool *Pool) (open, idle int) {
	count := pool.Connections()
	return count.Open, count.Idle
}
