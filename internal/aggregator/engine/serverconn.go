package engine

import (
	"errors"
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/must"
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
	attempts      map[string]*attempt // by the id that is written; those called off stay, so that a late reply finds them
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

// batch is what one round sends to one server: one frame, one place.
type batch struct {
	conn     *serverConn
	attempts []*attempt
	open     int
}

type attemptState uint8

const (
	statePlanned attemptState = iota // in this round
	stateQueued                      // for its connection, or for the frame before it
	stateSent                        // in a frame
	stateEnded
)

// attempt is one sub-request of a part.
type attempt struct {
	request       *shardRequest
	number        int
	server        int
	deadline      float64
	beginDeadline float64 // no later may it begin
	sentAt        float64 // when the module sent it, and when its outcome was known
	endedAt       float64
	kind          attemptKind
	cancelled     bool
	state         attemptState
	batch         *batch
	frameEnd      int64 // where its frame ends on the lane
	timer         *timer
	moved         bool // to another connection, when the first broke before it had begun
}

// Send implements policy.Out: one more sub-request of a part goes to a server.
func (e *Engine) Send(at, server int, within, begin float64) {
	req := e.entries[at].request
	attempt := &attempt{request: req, number: len(req.attempts), server: server, deadline: req.search.deadline, beginDeadline: math.Inf(1), sentAt: e.now, kind: req.nextKind()}
	e.Count.AttemptsAsked++
	if begin != 0 {
		attempt.beginDeadline = e.now + begin
	}
	req.attempts = append(req.attempts, attempt)
	if within != 0 {
		attempt.deadline = min(req.search.deadline, e.now+within)
	}
	srv := e.list.servers[server]
	holds := ((srv.position-req.shard)%e.config.positions+e.config.positions)%e.config.positions < e.config.replicas
	must.Hold(holds, "a part goes to a server that holds its shard")
	if !holds || req.search.ended || attempt.deadline <= e.now {
		e.endAttempt(attempt, policy.NeverSent, nil)
		return
	}
	if req.search.carrier != nil {
		e.startCarried(attempt)
		return
	}
	if len(srv.planned) == 0 {
		e.sending = append(e.sending, server)
	}
	srv.planned = append(srv.planned, attempt)
}

// sendBatches makes calls of what the module sent in this round.
func (e *Engine) sendBatches() {
	for _, i := range e.sending {
		srv := e.list.servers[i]
		for len(srv.planned) > 0 {
			n := min(e.config.maxBatch, len(srv.planned))
			batch := &batch{attempts: append([]*attempt(nil), srv.planned[:n]...)}
			srv.planned = append(srv.planned[:0], srv.planned[n:]...)
			e.assignConn(i, batch)
		}
	}
	e.sending = e.sending[:0]
}

// assignConn gives a batch its connection and writes it once that is up and free.
func (e *Engine) assignConn(server int, batch *batch) {
	conn := e.chooseConn(e.list.servers[server], batch)
	if conn == nil {
		conn = e.connectServer(server)
	}
	if conn == nil {
		for _, attempt := range batch.attempts {
			e.endAttempt(attempt, policy.ConnectFailed, nil)
		}
		return
	}
	batch.conn, batch.open = conn, len(batch.attempts)
	conn.batches++
	conn.inFlight += len(batch.attempts)
	conn.queued = append(conn.queued, batch)
	for _, attempt := range batch.attempts {
		attempt.batch, attempt.state = batch, stateQueued
		conn.attempts[attempt.request.id] = attempt
		attempt.timer = e.timers.add(attempt.deadline, func(e *Engine) { e.attemptTimedOut(attempt) })
	}
	e.writeNextBatch(conn)
}

// chooseConn is the newest connection that is open and has capacity, else one that is being opened; nil: none.
// No connection carries one id twice: a reply that comes late would be taken for the other's.
func (e *Engine) chooseConn(srv *server, batch *batch) (best *serverConn) {
	for _, conn := range srv.conns {
		if conn.addr != srv.addr || conn.batches >= e.config.streamsPerConn || conn.frames.Holding() ||
			conn.carries(batch) {
			continue
		}
		if best == nil || conn.open || !best.open {
			best = conn
		}
	}
	return best
}

func (conn *serverConn) carries(batch *batch) bool {
	for _, attempt := range batch.attempts {
		if conn.attempts[attempt.request.id] != nil {
			return true
		}
	}
	return false
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

// writeNextBatch gives the network one frame, once the one before it is written: until then its parts can be taken back.
func (e *Engine) writeNextBatch(conn *serverConn) {
	if !conn.open || conn.closed || conn.writeOffset > conn.writtenOffset {
		return
	}
	for len(conn.queued) > 0 {
		batch := conn.queued[0]
		conn.queued = append(conn.queued[:0], conn.queued[1:]...)
		if e.dropExpired(conn, batch) {
			continue
		}
		frame := protocol.AppendCall(e.scratch[:0])
		for _, attempt := range batch.attempts {
			if attempt.state == stateQueued {
				frame = protocol.AppendPart(frame, attempt.request.id, attempt.request.shard, attempt.deadline-e.now, attempt.request.search.token, attempt.request.search.query)
			}
		}
		e.scratch = protocol.EndFrame(frame, 0)
		e.Count.Batches++
		conn.frameStart, conn.lastBatch = conn.writeOffset, nil
		e.writeToServer(conn, e.scratch)
		conn.lastBatch, conn.writtenAfter = batch, conn.writtenAfter[:0]
		for _, attempt := range batch.attempts {
			if attempt.state == stateQueued {
				attempt.state, attempt.frameEnd = stateSent, conn.writeOffset
				e.Count.Sent++
			}
		}
		e.turnRequested = e.turnRequested || len(conn.queued) > 0
		return
	}
}

// retractBatch takes a frame back of which the network has taken nothing yet: its parts wait again, and pump drops those that
// must not begin any more. A connection that takes nothing may take it all at any later time, long after whoever asked
// has gone or the server was told to be left alone.
func (e *Engine) retractBatch(conn *serverConn) bool {
	last := conn.lastBatch
	if last == nil || conn.closed || !e.network.Retract(conn.handle, conn.frameStart) {
		return false
	}
	e.Count.Retracted++
	e.Count.BytesOut -= conn.writeOffset - conn.frameStart
	conn.writeOffset, conn.lastBatch = conn.frameStart, nil
	for _, attempt := range last.attempts {
		if attempt.batch == last && attempt.state == stateSent {
			attempt.state = stateQueued
			e.Count.Sent--
		}
	}
	conn.queued = append([]*batch{last}, conn.queued...)
	if len(conn.writtenAfter) > 0 {
		e.writeToServer(conn, conn.writtenAfter)
		conn.writtenAfter = conn.writtenAfter[:0]
	}
	return true
}

// dropExpired ends what must not be sent any more: parts taken back, parts of searches that are over, whether their clients
// had an answer or have left, and all of them once their server has been draining or gone for as long as new work may
// still begin.
func (e *Engine) dropExpired(conn *serverConn, batch *batch) bool {
	srv := e.list.servers[conn.server]
	late := srv.state != policy.Ready && e.now >= srv.notReadySince+graceShare*e.config.drainGrace
	left := false
	for _, attempt := range batch.attempts {
		if attempt.state == stateQueued && (late || e.now > attempt.beginDeadline || attempt.request.search.ended) {
			delete(conn.attempts, attempt.request.id) // no reply can come: kept, it would be held as long as the connection lasts
			e.endAttempt(attempt, policy.NeverSent, nil)
		}
		left = left || attempt.state == stateQueued
	}
	return !left
}

const graceShare = 0.8 // the network may take the rest

// dropStalledFrames keeps frames from beginning for a search whose client has left while the network had taken a part of them: that can't
// be taken back, and a sub-request begins with its frame's last byte, whenever that goes out. A connection that goes on standing
// still in the middle of one is dropped; what waits behind it goes over another.
func (e *Engine) dropStalledFrames(search *search) {
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			if attempt.batch == nil || attempt.state != stateSent || attempt.frameEnd <= attempt.batch.conn.writtenOffset {
				continue
			}
			conn, end := attempt.batch.conn, attempt.frameEnd
			e.after(stalledFrameTimeout, func(e *Engine) {
				if !conn.closed && end > conn.writtenOffset {
					e.Count.Retracted++
					e.dropServerConn(conn)
				}
			})
		}
	}
}

const stalledFrameTimeout = 200 // of the 0.3 s within which nothing of such a search begins any more

func (e *Engine) writeToServer(conn *serverConn, b []byte) {
	if conn.lastBatch != nil {
		conn.writtenAfter = append(conn.writtenAfter, b...)
	}
	conn.writeOffset += int64(len(b))
	conn.usedAt = e.now
	e.Count.BytesOut += int64(len(b))
	e.network.Write(conn.handle, b)
}

// endAttempt ends a sub-request; the module hears of it when it is not calling.
func (e *Engine) endAttempt(attempt *attempt, how policy.Outcome, report []float64) {
	if attempt.state == stateEnded {
		return
	}
	attempt.state = stateEnded
	attempt.endedAt, attempt.cancelled = e.now, how == policy.Cancelled
	e.timers.drop(attempt.timer)
	attempt.timer = nil
	if batch := attempt.batch; batch != nil {
		batch.conn.inFlight--
		if batch.open--; batch.open == 0 {
			batch.conn.batches--
		}
	}
	e.outcomes = append(e.outcomes, attemptResult{attempt, how, report})
}

// Cancel implements policy.Out: a sub-request is called off.
func (e *Engine) Cancel(at, no int) {
	req := e.entries[at].request
	if must.Hold(no < len(req.attempts), "only what was sent is called off"); no < len(req.attempts) {
		e.cancelAttempt(req.attempts[no], policy.Cancelled)
	}
}

func (e *Engine) attemptTimedOut(attempt *attempt) {
	if attempt.state != stateEnded {
		e.cancelAttempt(attempt, policy.TimedOut)
	}
}

// cancelAttempt stops waiting: what has not begun is not sent, what has is called off. Its id stays on the
// connection.
func (e *Engine) cancelAttempt(attempt *attempt, how policy.Outcome) {
	if c := attempt.request.search.carrier; c != nil && attempt.state == stateSent {
		e.Count.Cancelled++
		c.Cancel(attempt)
		e.endAttempt(attempt, how, nil)
		return
	}
	switch attempt.state {
	case statePlanned:
		srv := e.list.servers[attempt.server]
		for i, other := range srv.planned {
			if other == attempt {
				srv.planned = append(srv.planned[:i], srv.planned[i+1:]...)
				break
			}
		}
	case stateQueued:
		delete(attempt.batch.conn.attempts, attempt.request.id)
	case stateSent:
		conn := attempt.batch.conn
		if attempt.batch == conn.lastBatch && e.retractBatch(conn) {
			delete(conn.attempts, attempt.request.id)
			e.endAttempt(attempt, how, nil)
			e.writeNextBatch(conn)
			return
		}
		if !conn.closed {
			e.Count.Cancelled++
			e.scratch = protocol.AppendShort(e.scratch[:0], protocol.Abandon, attempt.request.id)
			e.writeToServer(conn, e.scratch)
			e.timers.add(attempt.request.search.deadline+lateReplyTimeout, func(_ *Engine) {
				if conn.attempts[attempt.request.id] == attempt {
					delete(conn.attempts, attempt.request.id)
				}
			})
		}
	}
	e.endAttempt(attempt, how, nil)
}

const lateReplyTimeout = 10000 // after its search's time, no reply comes to what was called off

// Probe implements policy.Out: a server that is set aside is probed over a connection of its own.
func (e *Engine) Probe(server int) {
	conn := e.connectServer(server) // what is open may be what does not answer
	sent := e.now
	if conn == nil {
		e.probeEnded(server, false, sent, nil)
		return
	}
	e.Count.Probes++
	conn.probeSentAt = sent
	e.after(e.config.connectTimeout, func(e *Engine) {
		if conn.probeSentAt == sent && !conn.closed {
			if conn.probeSentAt = 0; conn.inFlight == 0 {
				e.dropServerConn(conn)
			}
			e.probeEnded(server, false, sent, nil)
		}
	})
}

func (e *Engine) probeEnded(server int, ok bool, sent float64, report []float64) {
	if !ok {
		e.Count.ProbesFailed++
	}
	e.probeResults = append(e.probeResults, probeResult{server, ok, sent, report})
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
