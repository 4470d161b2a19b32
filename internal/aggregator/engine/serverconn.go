package engine

import (
	"errors"
	"net/netip"
	"sort"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// serverConn is a connection to a server. A batch on it takes a stream until all of its attempts
// have ended.
type serverConn struct {
	handle        transport.Conn
	server        int
	addr          netip.AddrPort
	open          bool
	closed        bool
	frames        protocol.FrameSplitter
	batches       int
	queued        []*batch            // none of their bytes is given to the network
	attempts      map[string]*attempt // by the id that is written; those cancelled stay, so that a late reply finds them
	inFlight      int                 // that wait for a reply
	writeOffset   int64
	writtenOffset int64
	frameStart    int64  // where the last batch began
	lastBatch     *batch // it, as long as the network may have taken none of it
	writtenAfter  []byte // what was written after it
	usedAt        float64
	probeSentAt   float64 // when one was sent, or 0
	idleTimer     *timer
	frameTimer    *timer // while a frame is incomplete
}

// connectServer opens a connection to a server, if there is a descriptor for it.
func (e *Engine) connectServer(server int) *serverConn {
	if e.sockets >= e.config.maxDescriptors-spareSockets && !e.evictClient() {
		e.Count.NoSocket++
		return nil
	}
	srv := e.list.servers[server]
	e.Count.Connects++
	e.sockets++
	conn := &serverConn{server: server, addr: srv.addr, attempts: map[string]*attempt{}, usedAt: e.now}
	conn.handle = e.network.Connect(srv.addr)
	*e.endpoint(conn.handle) = endpoint{conn: conn}
	srv.conns = append(srv.conns, conn)
	e.after(e.config.connectTimeout, func(e *Engine) {
		if !conn.closed && !conn.open {
			e.Count.ConnectTimeouts++
			e.dropServerConn(conn)
		}
	})
	return conn
}

// serverConnOpened writes what was queued for a connection that was being opened.
func (e *Engine) serverConnOpened(conn *serverConn) {
	conn.open = true
	conn.usedAt = e.now
	e.armIdleTimer(conn)
	if conn.probeSentAt > 0 {
		e.scratch = protocol.AppendShortFrame(e.scratch[:0], e.config.probeType, "")
		e.writeToServer(conn, e.scratch)
	}
	e.writeNextBatch(conn)
}

const idleShare = 0.8 // of the stated idle time-out

// armIdleTimer closes a connection before it has been idle for so long that its server may close it
// unseen.
func (e *Engine) armIdleTimer(conn *serverConn) {
	timeout := idleShare * e.config.connIdleTimeout
	conn.idleTimer = e.timers.add(conn.usedAt+timeout, func(e *Engine) {
		if conn.inFlight == 0 && e.now >= conn.usedAt+timeout {
			e.Count.IdleClosed++
			e.dropServerConn(conn)
			return
		}
		if conn.inFlight > 0 {
			conn.usedAt = e.now
		}
		e.armIdleTimer(conn)
	})
}

// writeToServer writes a frame, and keeps it as long as a batch before it may be retracted.
func (e *Engine) writeToServer(conn *serverConn, b []byte) {
	if conn.lastBatch != nil {
		conn.writtenAfter = append(conn.writtenAfter, b...)
	}
	conn.writeOffset += int64(len(b))
	conn.usedAt = e.now
	e.Count.BytesOut += int64(len(b))
	e.network.Write(conn.handle, b)
}

// Close implements policy.Out: it closes the idle connections to a server.
func (e *Engine) Close(server int) {
	srv := e.list.servers[server]
	for _, conn := range append([]*serverConn(nil), srv.conns...) {
		if conn.open && conn.inFlight == 0 && conn.probeSentAt == 0 {
			e.dropServerConn(conn)
		}
	}
}

// dropServerConn closes a connection from this side.
func (e *Engine) dropServerConn(conn *serverConn) {
	e.close(conn.handle)
	e.serverConnClosed(conn)
}

// serverConnClosed ends the attempts in flight: those whose frame was written to its end may have
// run, the rest never did.
func (e *Engine) serverConnClosed(conn *serverConn) {
	conn.closed = true
	e.timers.drop(conn.idleTimer)
	e.timers.drop(conn.frameTimer)
	*e.endpoint(conn.handle) = endpoint{}
	srv := e.list.servers[conn.server]
	for i, other := range srv.conns {
		if other == conn {
			srv.conns = append(srv.conns[:i], srv.conns[i+1:]...)
			break
		}
	}
	if conn.frames.HasStorage() {
		e.pool.Put(conn.frames.SetStorage(nil))
	}
	if conn.open && conn.inFlight > 0 {
		e.Count.Broken++
	}
	e.resendUnbegun(conn)
	if conn.probeSentAt > 0 {
		e.probeEnded(conn.server, false, conn.probeSentAt, nil)
		conn.probeSentAt = 0
	}
}

// resendUnbegun ends the attempts of a closed connection, or sends them over another. What never
// began on a connection that was up is no sign of a server that cannot be reached: its connection
// may have been dropped for a reply that nobody understood. Once, it goes over another.
func (e *Engine) resendUnbegun(conn *serverConn) {
	srv := e.list.servers[conn.server]
	var unbegun []*attempt
	for _, attempt := range conn.attemptsInOrder() {
		switch {
		case attempt.state == stateSent && attempt.frameEnd <= conn.writtenOffset:
			e.endAttempt(attempt, policy.Reset, nil)
		case conn.open && !attempt.moved && srv.state == policy.Ready && attempt.deadline > e.now:
			unbegun = append(unbegun, attempt)
		default:
			e.endAttempt(attempt, policy.ConnectFailed, nil)
		}
	}
	for len(unbegun) > 0 {
		n := min(e.config.maxBatch, len(unbegun))
		for _, attempt := range unbegun[:n] {
			e.Count.Moved++
			e.timers.drop(attempt.timer)
			attempt.moved = true
		}
		e.assignConn(conn.server, &batch{attempts: unbegun[:n:n]})
		unbegun = unbegun[n:]
	}
}

// attemptsInOrder gives a connection's attempts in the order in which they were sent, which a map
// does not keep.
func (conn *serverConn) attemptsInOrder() []*attempt {
	list := make([]*attempt, 0, len(conn.attempts))
	for _, attempt := range conn.attempts {
		if attempt.state != stateEnded {
			list = append(list, attempt)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.request.index != b.request.index {
			return a.request.index < b.request.index
		}
		return a.number < b.number
	})
	return list
}

// serverConnBytes reads replies. An incomplete frame gets a buffer of its own; where there is none,
// or where the frame is unsound, the connection is dropped.
func (e *Engine) serverConnBytes(conn *serverConn, b []byte) {
	conn.usedAt = e.now
	shared, framesBefore := !conn.frames.HasStorage(), e.Count.Frames
	if shared {
		conn.frames.SetStorage(e.sharedBuffer)
	}
	err := conn.frames.Feed(b, func(letter byte, rest []byte) error { return e.handleFrame(conn, letter, rest) })
	switch {
	case err != nil:
		e.Count.BadFrames++
		e.log.warn("bad frame", "from %s: %v", conn.addr, err)
	case !conn.frames.Incomplete():
		e.timers.drop(conn.frameTimer)
		if buf := conn.frames.SetStorage(nil); !shared {
			e.pool.Put(buf)
		}
		return
	default:
		if shared || e.Count.Frames > framesBefore {
			e.armFrameTimer(conn)
		}
		if !shared || e.storeFrame(conn) {
			return
		}
	}
	if shared {
		conn.frames.SetStorage(nil)
	}
	e.dropServerConn(conn)
}

// armFrameTimer drops the connection if the frame that has begun doesn't end: a length that is too
// long makes one frame of all that follows, and nothing is answered there any more.
func (e *Engine) armFrameTimer(conn *serverConn) {
	e.timers.drop(conn.frameTimer)
	conn.frameTimer = e.after(frameTimeout, func(e *Engine) {
		e.Count.BadFrames++
		e.log.warn("bad frame", "from %s: half of one, and no more", conn.addr)
		e.dropServerConn(conn)
	})
}

// storeFrame gives an incomplete frame a buffer of its own, if there is one.
func (e *Engine) storeFrame(conn *serverConn) bool {
	buf := e.pool.Get()
	if buf == nil {
		e.Count.NoBuffer++
		return false
	}
	conn.frames.MoveStorage(buf)
	return true
}

const frameTimeout = 300 // ms; a frame that has begun ends within so long: servers write it at once

var errUnknownFrame = errors.New("an unknown letter")

// handleFrame reads one frame of a server's.
func (e *Engine) handleFrame(conn *serverConn, frameType byte, rest []byte) error {
	e.Count.Frames++
	switch frameType {
	case protocol.FrameReply:
		return e.handleReply(conn, rest)
	case protocol.FrameAlive, protocol.FrameLoad:
		if conn.probeSentAt == 0 {
			return nil // it came after its end
		}
		ok := string(rest) != "ERROR"
		var report []float64
		if ok && frameType == protocol.FrameLoad {
			report, _ = e.parseReport(rest)
		}
		e.probeEnded(conn.server, ok, conn.probeSentAt, report)
		conn.probeSentAt = 0
		return nil
	case protocol.FrameError:
		return errors.New("refused: " + string(rest[:min(len(rest), 100)]))
	}
	return errUnknownFrame
}

// handleReply ends the attempt that a reply is for.
func (e *Engine) handleReply(conn *serverConn, rest []byte) error {
	id, end, report, value, err := protocol.ReadReply(rest)
	if err != nil {
		return err
	}
	attempt := conn.attempts[string(id)]
	if attempt == nil || attempt.state == stateQueued {
		return errors.New("an unknown id")
	}
	values, _ := e.parseReport(report) // one that can't be read is none: the answer beside it is good
	delete(conn.attempts, string(id))
	if attempt.state != stateSent {
		e.Count.LateReplies++
		return nil
	}
	how := policy.Answered
	switch end {
	case protocol.ReplyError:
		how = policy.Errored
	case protocol.ReplyRejected:
		how = policy.Rejected
	default:
		if req := attempt.request; !req.hasValue {
			req.hasValue, req.value = true, append([]byte(nil), value...)
		}
	}
	e.endAttempt(attempt, how, values)
	return nil
}

// parseReport puts a report's values in the order of the settings; one that misses any is none.
func (e *Engine) parseReport(report []byte) (values []float64, err error) {
	seen := 0
	err = protocol.ReadReport(report, func(name []byte, v float64) {
		if i, known := e.config.reportFields[string(name)]; known {
			if values == nil {
				values = make([]float64, e.config.reportSize)
			}
			values[i] = v
			seen |= 1 << i
		}
	})
	if err != nil || seen != 1<<e.config.reportSize-1 {
		return nil, err
	}
	return values, nil
}
