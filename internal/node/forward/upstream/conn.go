package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// JoinedBytes is the size of a body up to which it is copied behind its head, so that one plain write sends both.
const JoinedBytes = 8 << 10

// Conn is a connection to a broker, which carries one request at a time. Its methods are called by one goroutine at a time;
// Interrupt and LimitWait may be called by others.
type Conn struct {
	pool   *Pool
	host   *host
	socket net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	source limitedSource

	reused       bool // carried a request before this one
	connectTime  time.Duration
	answers      int // answers read from it
	sentAt       time.Time
	sentAnswers  int  // answers read from it when the last request was sent
	doubtful     bool // not to be kept: bytes came that belong to no request
	keepAlive    time.Duration
	restingSince time.Time
	usableUntil  time.Time

	closed atomic.Bool

	mu        sync.Mutex
	wanted    time.Time // the deadline that the owner asked for
	waitLimit time.Time // the bound set by LimitWait
	effective time.Time
}

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

// quiet reports whether the connection is open and holds no byte. Nothing is due on a connection at rest: what comes there
// belongs to no request.
func (c *Conn) quiet() bool {
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

// Settle waits, on a new connection, for as long as a broker that has too many of them takes to reset it: one round trip, which
// is what connecting took. What is sent before that reset comes may have run, for all that anybody knows; after Rejected
// nothing was sent. It is meant for requests that must not be repeated.
func (c *Conn) Settle(until time.Time) error {
	if c.reused {
		return nil
	}
	wait := min(c.connectTime, maxRoundTrip) + c.pool.options.SettleTime
	if limit := time.Now().Add(wait); limit.Before(until) {
		until = limit
	}
	err := c.Await(until)
	if errorx.IsOfType(err, TimedOut) {
		return nil
	}
	if err == nil {
		return Rejected.New("bytes came before a request was sent")
	}
	return Rejected.Wrap(err, "new connection")
}

// maxRoundTrip bounds what Settle takes for a round trip: connecting may also take long because a packet was lost.
const maxRoundTrip = 10 * time.Millisecond

// Send writes a request once. The time bounds the writing. Where the connection took no byte, the error is Unsent.
func (c *Conn) Send(head, body []byte, until time.Time) error {
	c.SetDeadline(until)
	c.sentAt, c.sentAnswers = time.Now(), c.answers
	written, err := c.write(head, body)
	if err == nil {
		return nil
	}
	if written == 0 {
		return Unsent.Wrap(err, "request")
	}
	return SentInPart.Wrap(err, "request: %d bytes left", written)
}

func (c *Conn) write(head, body []byte) (int64, error) {
	if len(body) <= JoinedBytes {
		written, err := c.socket.Write(append(head, body...))
		return int64(written), err
	}
	buffers := net.Buffers{head, body}
	return buffers.WriteTo(c.socket)
}

// Await waits until a byte has come that was not read yet. A time that runs out gives TimedOut, after which the connection
// can be used on; silence alone is no failure.
func (c *Conn) Await(until time.Time) error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	c.SetDeadline(until)
	if _, err := c.reader.Peek(1); err != nil {
		c.noteBroken(err)
		return readFailure(err)
	}
	return nil
}

// noteBroken is told why nothing more comes. Where a kept connection was broken by its other end before any answer came, those
// that have rested since before are likely to end as it did: the broker, or something between, has forgotten them.
func (c *Conn) noteBroken(err error) {
	ours := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if c.reused && !ours && c.answers == c.sentAnswers {
		c.pool.closeRestingSince(c.host, c.sentAt)
	}
}

// SetDeadline bounds what is read and written from now on.
func (c *Conn) SetDeadline(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = until
	c.applyDeadline()
}

// Interrupt ends all that is under way on the connection.
func (c *Conn) Interrupt() { c.socket.Close() }

// LimitWait bounds all that is under way on the connection, beside SetDeadline.
func (c *Conn) LimitWait(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitLimit = until
	c.applyDeadline()
}

// clearDeadlines forgets the bounds of one request, so that no timer of a connection at rest fires.
func (c *Conn) clearDeadlines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted, c.waitLimit = time.Time{}, time.Time{}
	c.applyDeadline()
}

// applyDeadline sets one deadline for both directions, which takes one timer.
func (c *Conn) applyDeadline() {
	until := c.wanted
	if !c.waitLimit.IsZero() && (until.IsZero() || c.waitLimit.Before(until)) {
		until = c.waitLimit
	}
	if until.Equal(c.effective) {
		return
	}
	c.effective = until
	c.socket.SetDeadline(until) // fails only where the socket is closed, which the next read or write tells
}

// Close gives the connection up.
func (c *Conn) Close() {
	if c.closeSocket() {
		c.pool.release(c.host)
	}
}

// closeSocket closes the socket, and reports whether this call did so first.
func (c *Conn) closeSocket() bool {
	if !c.closed.CompareAndSwap(false, true) {
		return false
	}
	c.socket.Close()
	return true
}

// readFailure tells a deadline that passed from a connection that broke.
func readFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return TimedOut.Wrap(err, "answer")
	}
	return Cut.Wrap(err, "answer")
}

// errHeadTooLarge says that the head of an answer is larger than any broker sends.
var errHeadTooLarge = errors.New("head of an answer is too large")

// limitedSource reads from the socket and bounds what the head of an answer may take.
type limitedSource struct {
	socket  net.Conn
	limited bool
	left    int
}

func (s *limitedSource) Read(buffer []byte) (int, error) {
	if !s.limited {
		return s.socket.Read(buffer)
	}
	if s.left <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := s.socket.Read(buffer)
	s.left -= count
	return count, err
}

var _ io.Reader = (*limitedSource)(nil)
