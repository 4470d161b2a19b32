package engine

import (
	"errors"
	"net/netip"
	"sort"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

// serverConn is a connection to a server. Calls on it take places until all of their parts are done.
type serverConn struct {
	handle        transport.Conn
	server        int
	addr          netip.AddrPort
	open          bool
	closed        bool
	frames        protocol.Frames
	batches       int
	queued        []*batch            // none of their bytes is given to the network
	attempts      map[string]*attempt // by the id that is written; those cancelled stay, so that a late reply finds them
	inFlight      int                 // that wait for a reply
	writeOffset   int64
	writtenOffset int64
	frameStart    int64  // where the last call began
	lastBatch     *batch // it, as long as the network may have taken none of it
	writtenAfter  []byte // what was told after it
	usedAt        float64
	probeSentAt   float64 // when one was sent, or 0
	idleTimer     *timer
	frameTimer    *timer // while a frame has come in part
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

func (e *Engine) serverConnOpened(conn *serverConn) {
	conn.open = true
	conn.usedAt = e.now
	e.armIdleTimer(conn)
	if conn.probeSentAt > 0 {
		e.scratch = protocol.AppendShort(e.scratch[:0], e.config.probeLetter, "")
		e.writeToServer(conn, e.scratch)
	}
	e.writeNextBatch(conn)
}

// armIdleTimer closes a connection before it has been idle for so long that its server may close it unseen.
func (e *Engine) armIdleTimer(conn *serverConn) {
	const share = 0.8
	conn.idleTimer = e.timers.add(conn.usedAt+share*e.config.connIdleTimeout, func(e *Engine) {
		switch {
		case conn.inFlight == 0 && e.now >= conn.usedAt+share*e.config.connIdleTimeout:
			e.Count.IdleClosed++
			e.dropServerConn(conn)
		default:
			if conn.inFlight > 0 {
				conn.usedAt = e.now
			}
			e.armIdleTimer(conn)
		}
	})
}

func (e *Engine) writeToServer(conn *serverConn, b []byte) {
	if conn.lastBatch != nil {
		conn.writtenAfter = append(conn.writtenAfter, b...)
	}
	conn.writeOffset += int64(len(b))
	conn.usedAt = e.now
	e.Count.BytesOut += int64(len(b))
	e.network.Write(conn.handle, b)
}

// Close closes the idle connections to a server.
func (e *Engine) Close(server int) {
	srv := e.list.servers[server]
	for _, conn := range append([]*serverConn(nil), srv.conns...) {
		if conn.open && conn.inFlight == 0 && conn.probeSentAt == 0 {
			e.dropServerConn(conn)
		}
	}
}

func (e *Engine) dropServerConn(conn *serverConn) {
	e.close(conn.handle)
	e.serverConnClosed(conn)
}

// serverConnClosed ends what was out: what was written whole may have run, the rest never did.
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
	if conn.frames.Stored() {
		e.pool.Put(conn.frames.Store(nil))
	}
	if conn.open && conn.inFlight > 0 {
		e.Count.Broken++
	}
	// What never began on a connection that was up is no sign of a server that cannot be reached: its connection may
	// have been dropped for a reply that nobody understood. Once, it goes over another.
	var again []*attempt
	for _, attempt := range conn.attemptsInOrder() {
		how := policy.ConnectFailed
		if attempt.state == stateSent && attempt.frameEnd <= conn.writtenOffset {
			how = policy.Reset
		} else if conn.open && !attempt.moved && srv.state == policy.Ready && attempt.deadline > e.now {
			again = append(again, attempt)
			continue
		}
		e.endAttempt(attempt, how, nil)
	}
	for len(again) > 0 {
		n := min(e.config.maxBatch, len(again))
		for _, attempt := range again[:n] {
			e.Count.Moved++
			e.timers.drop(attempt.timer)
			attempt.moved = true
		}
		e.assignConn(conn.server, &batch{attempts: again[:n:n]})
		again = again[n:]
	}
	if conn.probeSentAt > 0 {
		e.probeEnded(conn.server, false, conn.probeSentAt, nil)
		conn.probeSentAt = 0
	}
}

// attemptsInOrder gives a lane's attempts in the order in which they were sent, which a map does not keep.
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

// serverConnBytes reads replies.
func (e *Engine) serverConnBytes(conn *serverConn, b []byte) {
	conn.usedAt = e.now
	lent, before := !conn.frames.Stored(), e.Count.Frames
	if lent {
		conn.frames.Store(e.sharedBuffer)
	}
	err := conn.frames.Feed(b, func(letter byte, rest []byte) error { return e.handleFrame(conn, letter, rest) })
	switch {
	case err != nil:
		e.Count.BadFrames++
		e.log.warn("bad frame", "from %s: %v", conn.addr, err)
	case !conn.frames.Holding():
		e.timers.drop(conn.frameTimer)
		if was := conn.frames.Store(nil); !lent {
			e.pool.Put(was)
		}
		return
	default:
		if lent || e.Count.Frames > before {
			// A length that is too long makes one frame of all that follows: nothing is answered here any more.
			e.timers.drop(conn.frameTimer)
			conn.frameTimer = e.after(frameTimeout, func(e *Engine) {
				e.Count.BadFrames++
				e.log.warn("bad frame", "from %s: half of one, and no more", conn.addr)
				e.dropServerConn(conn)
			})
		}
		if !lent {
			return
		}
		if buf := e.pool.Get(); buf != nil {
			conn.frames.Move(buf)
			return
		}
		e.Count.NoBuffer++
	}
	if lent {
		conn.frames.Store(nil)
	}
	e.dropServerConn(conn)
}

const frameTimeout = 300 // a frame that has begun ends within so long: servers write it whole

var errUnknownLetter = errors.New("an unknown letter")

func (e *Engine) handleFrame(conn *serverConn, letter byte, rest []byte) error {
	e.Count.Frames++
	switch letter {
	case protocol.Reply:
		return e.handleReply(conn, rest)
	case protocol.Alive, protocol.Load:
		if conn.probeSentAt == 0 {
			return nil // it came after its end
		}
		ok := string(rest) != "ERROR"
		var report []float64
		if ok && letter == protocol.Load {
			report, _ = e.parseReport(rest)
		}
		e.probeEnded(conn.server, ok, conn.probeSentAt, report)
		conn.probeSentAt = 0
		return nil
	case protocol.Unusual:
		return errors.New("refused: " + string(rest[:min(len(rest), 100)]))
	}
	return errUnknownLetter
}

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
	if delete(conn.attempts, string(id)); attempt.state != stateSent {
		e.Count.LateReplies++
		return nil
	}
	how := policy.Answered
	switch end {
	case protocol.Errored:
		how = policy.Errored
	case protocol.TurnedAway:
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
