package engine

import (
	"errors"
	"fmt"
	"net/netip"
	"sort"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// serverConn is a connection to a server. A batch takes one of its streams until all attempts of
// the batch have ended.
type serverConn struct {
	id            transport.Conn
	server        int // index of the server
	addr          netip.AddrPort
	established   bool // the connection is established
	closed        bool
	frames        protocol.FrameSplitter
	openBatches   int                 // batches with an attempt that has not ended
	queued        []*batch            // not passed to the network yet
	attempts      map[string]*attempt // by request id; cancelled ones stay, so that late replies are recognised
	inFlight      int                 // attempts that have not ended
	writeOffset   int64               // bytes passed to the network
	writtenOffset int64               // bytes that the operating system has accepted
	frameStart    int64               // offset at which the frame of the last batch begins
	lastBatch     *batch              // the last batch that was written; nil once the network has taken any of it
	writtenAfter  []byte              // bytes written after the frame of lastBatch
	lastUsedAt    float64             // when it was last used
	probeSentAt   float64             // when the health check on it was requested; 0: none is pending
	idleTimer     *timer
	frameTimer    *timer // set while a received frame is incomplete
}

// connectServer opens a connection to a server. It returns nil if no descriptor is available.
func (e *Engine) connectServer(server int) *serverConn {
	if e.socketCount >= e.config.maxDescriptors-reservedSockets && !e.evictClient() {
		e.Counters.NoSocket++
		return nil
	}
	srv := e.serverList.servers[server]
	e.Counters.ConnsRequested++
	e.socketCount++
	conn := &serverConn{server: server, addr: srv.addr, attempts: map[string]*attempt{}, lastUsedAt: e.now}
	conn.id = e.network.Connect(srv.addr)
	*e.endpoint(conn.id) = endpoint{conn: conn}
	srv.conns = append(srv.conns, conn)
	e.afterFunc(e.config.connectTimeout, func(e *Engine) {
		if !conn.closed && !conn.established {
			e.Counters.ConnectTimeouts++
			e.dropServerConn(conn)
		}
	})
	return conn
}

// serverConnOpened writes what was queued while the connection was being opened.
func (e *Engine) serverConnOpened(conn *serverConn) {
	conn.established = true
	conn.lastUsedAt = e.now
	e.armIdleTimer(conn)
	if conn.probeSentAt > 0 {
		e.writeBuffer = protocol.AppendFrame(e.writeBuffer[:0], e.config.probeType, "")
		e.writeToServer(conn, e.writeBuffer)
	}
	e.writeNextBatch(conn)
}

const idleTimeoutShare = 0.8 // of the configured idle timeout

// armIdleTimer schedules the closing of an idle connection, before the server's idle timeout could
// close it unnoticed.
func (e *Engine) armIdleTimer(conn *serverConn) {
	timeout := idleTimeoutShare * e.config.connIdleTimeout
	conn.idleTimer = e.timers.add(conn.lastUsedAt+timeout, func(e *Engine) {
		if conn.inFlight == 0 && e.now >= conn.lastUsedAt+timeout {
			e.Counters.IdleServerConnsClosed++
			e.dropServerConn(conn)
			return
		}
		if conn.inFlight > 0 {
			conn.lastUsedAt = e.now
		}
		e.armIdleTimer(conn)
	})
}

// writeToServer writes a frame. It keeps a copy as long as the batch written before it may be
// retracted.
func (e *Engine) writeToServer(conn *serverConn, b []byte) {
	if conn.lastBatch != nil {
		conn.writtenAfter = append(conn.writtenAfter, b...)
	}
	conn.writeOffset += int64(len(b))
	conn.lastUsedAt = e.now
	e.Counters.BytesOut += int64(len(b))
	e.network.Write(conn.id, b)
}

// CloseIdleConnections implements policy.Executor. It closes the idle connections to a server.
func (e *Engine) CloseIdleConnections(server int) {
	srv := e.serverList.servers[server]
	for _, conn := range append([]*serverConn(nil), srv.conns...) {
		if conn.established && conn.inFlight == 0 && conn.probeSentAt == 0 {
			e.dropServerConn(conn)
		}
	}
}

// dropServerConn closes a connection immediately and ends its attempts.
func (e *Engine) dropServerConn(conn *serverConn) {
	e.close(conn.id)
	e.serverConnClosed(conn)
}

// serverConnClosed releases a closed connection and ends its attempts: those whose frame was
// written completely may have run, the others have not.
func (e *Engine) serverConnClosed(conn *serverConn) {
	conn.closed = true
	e.timers.cancel(conn.idleTimer)
	e.timers.cancel(conn.frameTimer)
	*e.endpoint(conn.id) = endpoint{}
	srv := e.serverList.servers[conn.server]
	for i, other := range srv.conns {
		if other == conn {
			srv.conns = append(srv.conns[:i], srv.conns[i+1:]...)
			break
		}
	}
	if conn.frames.HasBuffer() {
		e.pool.Put(conn.frames.SetBuffer(nil))
	}
	if conn.established && conn.inFlight > 0 {
		e.Counters.ServerConnsBroken++
	}
	e.resendUnbegun(conn)
	if conn.probeSentAt > 0 {
		e.probeEnded(conn.server, false, conn.probeSentAt, nil)
		conn.probeSentAt = 0
	}
}

// resendUnbegun ends the attempts of a closed connection, or sends them over another one. An
// attempt that had not begun on an established connection does not show that the server is
// unreachable: the connection may have been dropped because of a malformed reply. So it is sent
// once more over another connection.
func (e *Engine) resendUnbegun(conn *serverConn) {
	srv := e.serverList.servers[conn.server]
	var unbegun []*attempt
	for _, attempt := range conn.attemptsInOrder() {
		switch {
		case attempt.state == stateSent && attempt.frameEnd <= conn.writtenOffset:
			e.endAttempt(attempt, policy.ConnectionReset, nil)
		case conn.established && !attempt.alreadyMoved && srv.state == policy.Ready && attempt.deadline > e.now:
			unbegun = append(unbegun, attempt)
		default:
			e.endAttempt(attempt, policy.ConnectFailed, nil)
		}
	}
	for len(unbegun) > 0 {
		n := min(e.config.maxBatch, len(unbegun))
		for _, attempt := range unbegun[:n] {
			e.Counters.AttemptsMoved++
			e.timers.cancel(attempt.timer)
			attempt.alreadyMoved = true
		}
		e.assignConn(conn.server, &batch{attempts: unbegun[:n:n]})
		unbegun = unbegun[n:]
	}
}

// attemptsInOrder returns the attempts of a connection that have not ended. They are ordered by
// index and number, the order in which they were sent, because a map has no order.
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

// serverConnBytes reads replies from received bytes. An incomplete frame is moved to a buffer of
// its own; if none is free, or if a frame is malformed, the connection is dropped.
func (e *Engine) serverConnBytes(conn *serverConn, b []byte) {
	conn.lastUsedAt = e.now
	shared, framesBefore := !conn.frames.HasBuffer(), e.Counters.Frames
	if shared {
		conn.frames.SetBuffer(e.sharedBuffer)
	}
	err := conn.frames.Feed(b, func(frameType byte, payload []byte) error { return e.handleFrame(conn, frameType, payload) })
	switch {
	case err != nil:
		e.Counters.BadFrames++
		e.log.warn("bad frame", "from %s: %v", conn.addr, err)
	case !conn.frames.HasPartial():
		e.timers.cancel(conn.frameTimer)
		if buf := conn.frames.SetBuffer(nil); !shared {
			e.pool.Put(buf)
		}
		return
	default:
		if shared || e.Counters.Frames > framesBefore {
			e.armFrameTimer(conn)
		}
		if !shared || e.storeFrame(conn) {
			return
		}
	}
	if shared {
		conn.frames.SetBuffer(nil)
	}
	e.dropServerConn(conn)
}

// armFrameTimer drops the connection if the frame that has begun does not end in time. A length
// field that is too large makes the splitter take all that follows as one frame, so that no further
// reply would be recognised on the connection.
func (e *Engine) armFrameTimer(conn *serverConn) {
	e.timers.cancel(conn.frameTimer)
	conn.frameTimer = e.afterFunc(frameTimeout, func(e *Engine) {
		e.Counters.BadFrames++
		e.log.warn("bad frame", "from %s: the frame is incomplete after %d ms", conn.addr, frameTimeout)
		e.dropServerConn(conn)
	})
}

// storeFrame moves an incomplete frame to a buffer of its own and reports whether one was free.
func (e *Engine) storeFrame(conn *serverConn) bool {
	buf := e.pool.Get()
	if buf == nil {
		e.Counters.NoBuffer++
		return false
	}
	conn.frames.MoveToBuffer(buf)
	return true
}

const frameTimeout = 300 // ms from the first to the last byte of a frame; servers write a frame at once

// handleFrame handles one frame from a server. An error means that the connection must be dropped.
func (e *Engine) handleFrame(conn *serverConn, frameType byte, payload []byte) error {
	e.Counters.Frames++
	switch frameType {
	case protocol.FrameReply:
		return e.handleReply(conn, payload)
	case protocol.FrameHealthCheck, protocol.FrameLoadReport:
		if conn.probeSentAt == 0 {
			return nil // the health check has timed out
		}
		ok := string(payload) != "ERROR"
		var report []float64
		if ok && frameType == protocol.FrameLoadReport {
			report, _ = e.parseReport(payload)
		}
		e.probeEnded(conn.server, ok, conn.probeSentAt, report)
		conn.probeSentAt = 0
		return nil
	case protocol.FrameConnectionRefused:
		return errors.New("refused: " + string(payload[:min(len(payload), 100)]))
	}
	return fmt.Errorf("unknown frame type %q", frameType)
}

// handleReply ends the attempt that a reply belongs to.
func (e *Engine) handleReply(conn *serverConn, payload []byte) error {
	id, status, report, value, err := protocol.ParseReply(payload)
	if err != nil {
		return err
	}
	attempt := conn.attempts[string(id)]
	if attempt == nil || attempt.state == stateQueued {
		return fmt.Errorf("reply to unknown request id %q", id[:min(len(id), maxIDBytes)])
	}
	values, _ := e.parseReport(report) // a malformed report is ignored: the reply itself is valid
	delete(conn.attempts, string(id))
	if attempt.state != stateSent {
		e.Counters.LateReplies++
		return nil
	}
	outcome := policy.Answered
	switch status {
	case protocol.ReplyError:
		outcome = policy.Errored
	case protocol.ReplyRejected:
		outcome = policy.Rejected
	default:
		if req := attempt.request; !req.hasValue {
			req.hasValue, req.value = true, append([]byte(nil), value...)
		}
	}
	e.endAttempt(attempt, outcome, values)
	return nil
}

// parseReport returns the values of a load report in the order of the settings, or nil if any of
// them is missing.
func (e *Engine) parseReport(report []byte) (values []float64, err error) {
	seen := 0
	err = protocol.ParseLoadReport(report, func(name []byte, v float64) {
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
