package links

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// relay is one connection through a link.
type relay struct {
	link  *Link
	conns [2]net.Conn // 0: from the source, 1: to the target
	reset bool        // both ends; guarded by link.mutex
}

// ends selects the ends of a relay to reset.
type ends uint8

const (
	bothEnds ends = iota
	targetEnd
)

// resetConns resets both ends, or the target's alone. link.mutex must be held.
func (r *relay) resetConns(which ends) {
	if which == bothEnds {
		resetConn(r.conns[0])
		r.reset = true
	}
	resetConn(r.conns[1])
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// dialTimeout bounds the connection to the target, on loopback.
const dialTimeout = 5 * time.Second

// serve relays a connection to its end. If the target refuses, the connection is reset: the link has accepted it by then.
func (l *Link) serve(source net.Conn) {
	target, err := net.DialTimeout("tcp4", l.target, dialTimeout)
	if err != nil {
		resetConn(source)
		return
	}
	r := &relay{link: l, conns: [2]net.Conn{source, target}}
	l.mutex.Lock()
	if l.closed || l.connectMode == ConnectRefused {
		r.resetConns(bothEnds)
		l.mutex.Unlock()
		return
	}
	l.relays[r] = true
	l.connectionCount++
	l.mutex.Unlock()
	var directions sync.WaitGroup
	for direction := range 2 {
		directions.Go(func() { r.forward(direction) })
	}
	directions.Wait()
	l.mutex.Lock()
	delete(l.relays, r)
	l.mutex.Unlock()
	source.Close()
	target.Close()
}

// chunk is what one read returned, and when that arrives.
type chunk struct {
	data      []byte
	deliverAt time.Time
	err       error
}

const (
	chunkSize         = 16 << 10
	maxChunksInFlight = 64 // in one direction: about what the windows of a connection would hold
)

// forward relays one direction. The reader gives each chunk its time of arrival, and the writer waits for it, so that a delay does
// not limit the rate.
func (r *relay) forward(direction int) {
	chunks := make(chan chunk, maxChunksInFlight)
	go r.readChunks(direction, chunks)
	ended := false
	for c := range chunks {
		if ended {
			continue // the reader ends once its connection does
		}
		if wait := time.Until(c.deliverAt); wait > 0 {
			time.Sleep(wait)
		}
		ended = !r.deliver(direction, c)
	}
}

// readChunks reads one direction to its end, and schedules each chunk by the conditions at that moment.
func (r *relay) readChunks(direction int, chunks chan<- chunk) {
	defer close(chunks)
	previous := time.Now()
	for {
		data := make([]byte, chunkSize)
		n, err := r.conns[direction].Read(data)
		extraMs, rateKBps := r.link.drawDelay(direction, n)
		deliverAt := time.Now().Add(milliseconds(extraMs))
		if deliverAt.Before(previous) {
			deliverAt = previous
		}
		if rateKBps > 0 {
			deliverAt = deliverAt.Add(milliseconds(float64(n) / rateKBps))
		}
		previous = deliverAt
		chunks <- chunk{data[:n], deliverAt, err}
		if err != nil {
			return
		}
	}
}

// drawDelay counts bytes that were read, and draws their delay. The rate is 0 if it is not limited.
func (l *Link) drawDelay(direction, bytes int) (extraMs, rateKBps float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	conditions := l.conditions[direction]
	extraMs = conditions.DelayMs + conditions.JitterMs*l.random.Float64()
	if conditions.LossRate > 0 && l.random.Float64() < conditions.LossRate {
		if conditions.RetransmitMs == 0 {
			conditions.RetransmitMs = defaultRetransmitMs
		}
		extraMs += conditions.RetransmitMs
	}
	l.byteCount[direction] += int64(bytes)
	return extraMs, conditions.RateKBps
}

// milliseconds is a duration of so many milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// deliver writes a chunk once no partition blocks it. It passes on the end of the stream, or a reset. false: the direction has
// ended, and further chunks are discarded.
func (r *relay) deliver(direction int, c chunk) bool {
	source, destination := r.conns[direction], r.conns[1-direction]
	if r.awaitUnblocked(direction) {
		source.Close()
		return false
	}
	if len(c.data) > 0 {
		if _, err := destination.Write(c.data); err != nil {
			// The destination is gone: the source is notified as by a network, with a reset, unless that is lost as well.
			r.link.mutex.Lock()
			if !r.link.conditions[1-direction].Partitioned {
				r.resetConns(bothEnds)
			}
			r.link.mutex.Unlock()
			return false
		}
	}
	switch {
	case c.err == nil:
	case errors.Is(c.err, io.EOF):
		if tcp, ok := destination.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
	case errors.Is(c.err, syscall.ECONNRESET):
		r.link.mutex.Lock()
		r.resetConns(bothEnds)
		r.link.mutex.Unlock()
	default:
		destination.Close()
	}
	return true
}

// awaitUnblocked waits while a partition blocks the direction, and reports whether the connection has ended by then.
func (r *relay) awaitUnblocked(direction int) (ended bool) {
	l := r.link
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.conditions[direction].Partitioned && !r.reset && !l.closed {
		l.changed.Wait()
	}
	return r.reset || l.closed
}
