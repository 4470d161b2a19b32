package engine

import (
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
)

// batch is what one round sends to one server: one frame, one stream of its connection.
type batch struct {
	conn     *serverConn
	attempts []*attempt
	open     int // attempts that have not ended
}

// sendBatches makes batches of what the policy sent in this round.
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

// chooseConn is the newest connection that is open and has capacity, else one that is being opened;
// nil: none. No connection carries one id twice: a reply that comes late would be taken for the
// other's.
func (e *Engine) chooseConn(srv *server, batch *batch) (best *serverConn) {
	for _, conn := range srv.conns {
		if conn.addr != srv.addr || conn.batches >= e.config.streamsPerConn || conn.frames.Incomplete() ||
			conn.carries(batch) {
			continue
		}
		if best == nil || conn.open || !best.open {
			best = conn
		}
	}
	return best
}

// carries tells whether an id of the batch is in use on the connection.
func (conn *serverConn) carries(batch *batch) bool {
	for _, attempt := range batch.attempts {
		if conn.attempts[attempt.request.id] != nil {
			return true
		}
	}
	return false
}

// writeNextBatch gives the network one frame, once the one before it is written: until then its
// attempts can be retracted.
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
		frame := protocol.BeginRequestFrame(e.scratch[:0])
		for _, attempt := range batch.attempts {
			if attempt.state == stateQueued {
				req := attempt.request
				frame = protocol.AppendShardRequest(frame, req.id, req.shard, attempt.deadline-e.now, req.search.token, req.search.query)
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

// retractBatch takes a frame back of which the network has taken nothing yet: its attempts are
// queued again, and writeNextBatch drops those that must not begin any more. A connection that
// takes nothing may take it all at any later time, long after the client has left or the server
// began to drain.
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

// dropExpired ends what must not be sent any more: attempts past their begin deadline, those of
// searches that have ended, whether their clients had an answer or have left, and all of them once
// their server has been draining or gone for as long as new work may still begin. It tells whether
// none is left.
func (e *Engine) dropExpired(conn *serverConn, batch *batch) bool {
	srv := e.list.servers[conn.server]
	late := srv.state != policy.Ready && e.now >= srv.notReadySince+graceShare*e.config.drainGrace
	left := false
	for _, attempt := range batch.attempts {
		if attempt.state == stateQueued && (late || e.now > attempt.beginDeadline || attempt.request.search.ended) {
			delete(conn.attempts, attempt.request.id) // no reply can come, and the connection may last for long
			e.endAttempt(attempt, policy.NeverSent, nil)
		}
		left = left || attempt.state == stateQueued
	}
	return !left
}

const graceShare = 0.8 // of the stated drain grace; the network may take the rest

// dropStalledFrames keeps frames from beginning for a search whose client has left while the
// network had taken some bytes of them: they can't be retracted, and an attempt begins with its
// frame's last byte, whenever that goes out. A connection that goes on standing still in the middle
// of one is dropped; what is queued behind it goes over another.
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

const stalledFrameTimeout = 200 // ms, of the 300 within which nothing of such a search begins any more
