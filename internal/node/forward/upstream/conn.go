package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// MaxJoinedBytes is the size up to which a body is copied behind its head, so that a single write
// sends both.
const MaxJoinedBytes = 8 << 10

// Conn is a connection to a broker, which carries one request at a time. Its methods must be called
// by one goroutine at a time, except for Interrupt and SetWaitLimit.
type Conn struct {
	pool   *Pool
	host   *host
	socket net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	source limitedReader

	reused         bool // carried a request before this one
	connectTime    time.Duration
	answersRead    int // since it was opened
	sentAt         time.Time
	answersAtSend  int  // answersRead when the last request was sent
	desynchronized bool // must not be kept: bytes arrived that belong to no request
	keepAlive      time.Duration
	idleSince      time.Time
	usableUntil    time.Time

	closed atomic.Bool
	// awaiting: a request was sent, and its answer is not complete.
	awaiting atomic.Bool

	mutex           sync.Mutex
	requestDeadline time.Time // by SetDeadline
	waitLimit       time.Time // by SetWaitLimit
	appliedDeadline time.Time
}

// newConn wraps a socket that has just connected.
func newConn(pool *Pool, h *host, socket net.Conn) (*Conn, error) {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	conn := &Conn{pool: pool, host: h, socket: socket, raw: raw}
	conn.source.socket = socket
	conn.reader = bufio.NewReaderSize(&conn.source, readBufferBytes)
	return conn, nil
}

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// isQuiet reports whether the connection is open and has received nothing. Nothing is due on an
// idle connection: bytes that arrive there belong to no request.
func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		c.pool.Counters.Surplus.Add(1)
		return false
	}
	var probe [1]byte
	var count int
	var failure error
	err := c.raw.Read(func(descriptor uintptr) bool {
		count, failure = syscall.Read(int(descriptor), probe[:])
		return true
	})
	if count > 0 {
		c.pool.Counters.Surplus.Add(1)
	}
	return err == nil && errors.Is(failure, syscall.EAGAIN)
}

// AwaitReset waits, on a new connection, for as long as a broker with too many connections takes to
// reset it: one round trip, which connecting took too. A request that is sent before such a reset
// arrives may have run, as far as anybody can tell; after the error Rejected nothing was sent. It
// is meant for requests that must not be repeated.
func (c *Conn) AwaitReset(deadline time.Time) error {
	if c.reused {
		return nil
	}
	wait := min(c.connectTime, maxRoundTrip) + c.pool.options.ResetWait
	if limit := time.Now().Add(wait); limit.Before(deadline) {
		deadline = limit
	}
	err := c.Await(deadline)
	if errors.Is(err, ErrTimedOut) {
		return nil
	}
	if err == nil {
		return fmt.Errorf("%w: bytes came before a request was sent", ErrRejected)
	}
	return failure(ErrRejected, "new connection", err)
}

// maxRoundTrip bounds what AwaitReset takes for a round trip, as connecting may also take long
// because a packet was lost.
const maxRoundTrip = 10 * time.Millisecond

// Send writes a request once, until the deadline at the latest. The error is ErrUnsent where the
// connection took no byte of it, else ErrSentInPart.
func (c *Conn) Send(head, body []byte, deadline time.Time) error {
	c.SetDeadline(deadline)
	c.sentAt, c.answersAtSend = time.Now(), c.answersRead
	c.awaiting.Store(true)
	written, err := c.write(head, body)
	if err == nil {
		return nil
	}
	if written == 0 {
		return failure(ErrUnsent, "request", err)
	}
	return failure(ErrSentInPart, fmt.Sprintf("request: %d bytes left", written), err)
}

// write writes head and body, and returns how many bytes the connection took.
func (c *Conn) write(head, body []byte) (int64, error) {
	if len(body) <= MaxJoinedBytes {
		written, err := c.socket.Write(append(head, body...))
		return int64(written), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(c.socket)
}

// Await waits until an unread byte has arrived. At the deadline it returns ErrTimedOut, after which
// the connection can still be used: a broker that takes long is no fault.
func (c *Conn) Await(deadline time.Time) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	c.SetDeadline(deadline)
	if _, err := c.reader.Peek(1); err != nil {
		c.observeBreak(err)
		return readError(err)
	}
	return nil
}

// observeBreak records why nothing more arrives. Where the other end broke a reused connection
// before any answer, connections that have been idle since before are likely to be dead too: the
// broker, or something between, has forgotten them.
func (c *Conn) observeBreak(err error) {
	causedHere := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if c.reused && !causedHere && c.answersRead == c.answersAtSend {
		c.pool.closeIdleSince(c.host, c.sentAt)
	}
}

// SetDeadline bounds reads and writes from now on.
func (c *Conn) SetDeadline(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestDeadline = deadline
	c.applyDeadline()
}

// Interrupt ends reads and writes in progress by closing the socket.
func (c *Conn) Interrupt() {
	c.discardGivenUp()
	c.socket.Close()
}

// discardGivenUp has the close of the socket reset the connection if its request was given up. The
// kernel would go on sending what it still holds of it, and a broker that was cut off would get it
// after the cut, when it may have left (RULES.md, DRAIN). A connection without a request is closed in
// order.
func (c *Conn) discardGivenUp() {
	if tcp, ok := c.socket.(*net.TCPConn); ok && c.awaiting.Load() {
		tcp.SetLinger(0) // fails only where the socket is closed
	}
}

// SetWaitLimit bounds reads and writes in addition to SetDeadline; the earlier one holds.
func (c *Conn) SetWaitLimit(limit time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waitLimit = limit
	c.applyDeadline()
}

// clearDeadlines removes the bounds of one request, so that no timer of an idle connection fires.
func (c *Conn) clearDeadlines() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestDeadline, c.waitLimit = time.Time{}, time.Time{}
	c.applyDeadline()
}

// applyDeadline sets one deadline for both directions, which needs a single timer. The mutex must
// be held.
func (c *Conn) applyDeadline() {
	deadline := c.requestDeadline
	if !c.waitLimit.IsZero() && (deadline.IsZero() || c.waitLimit.Before(deadline)) {
		deadline = c.waitLimit
	}
	if deadline.Equal(c.appliedDeadline) {
		return
	}
	c.appliedDeadline = deadline
	c.socket.SetDeadline(deadline) // fails only where the socket is closed, which the next read or write tells
}

// Close closes the connection and frees its place in the pool. Calls after the first do nothing.
func (c *Conn) Close() {
	if c.closeSocket() {
		c.pool.release(c.host)
	}
}

// closeSocket closes the socket, and reports whether this call was the first to do so.
func (c *Conn) closeSocket() bool {
	if !c.closed.CompareAndSwap(false, true) {
		return false
	}
	c.discardGivenUp()
	c.socket.Close()
	return true
}

// readError tells a deadline that passed from a connection that broke.
func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return failure(ErrTimedOut, "answer", err)
	}
	return failure(ErrBroken, "answer", err)
}

// errHeadTooLarge says that the head of an answer exceeds Options.MaxHeadBytes.
var errHeadTooLarge = errors.New("head of an answer is too large")

// limitedReader reads from the socket and bounds the size of an answer's head.
type limitedReader struct {
	socket    net.Conn
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (s *limitedReader) Read(buffer []byte) (int, error) {
	if !s.limited {
		return s.socket.Read(buffer)
	}
	if s.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := s.socket.Read(buffer)
	s.remaining -= count
	return count, err
}

var _ io.Reader = (*limitedReader)(nil)
