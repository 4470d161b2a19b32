package engine

import (
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
)

// batch is a group of attempts that one round sends to one server. It is written as one frame and
// takes one stream of its connection.
type batch struct {
	conn         *serverConn
	attempts     []*attempt
	openAttempts int // number of attempts that have not ended
}

// sendBatches groups the attempts that the policy sent in this round into batches and assigns each
// batch to a connection.
func (e *Engine) sendBatches() {
	for _, i := range e.serversToSend {
		srv := e.serverList.servers[i]
		for len(srv.planned) > 0 {
			n := min(e.config.maxBatch, len(srv.planned))
			batch := &batch{attempts: append([]*attempt(nil), srv.planned[:n]...)}
			srv.planned = append(srv.planned[:0], srv.planned[n:]...)
			e.assignConn(i, batch)
		}
	}
	e.serversToSend = e.serversToSend[:0]
}

// assignConn assigns a batch to a connection, opening one if needed. The batch is written once the
// connection is open and the frame before it is written.
func (e *Engine) assignConn(server int, batch *batch) {
	conn := e.chooseConn(e.serverList.servers[server], batch)
	if conn == nil {
		conn = e.connectServer(server)
	}
	if conn == nil {
		for _, attempt := range batch.attempts {
			e.endAttempt(attempt, policy.ConnectFailed, nil)
		}
		return
	}
	batch.conn, batch.openAttempts = conn, len(batch.attempts)
	conn.openBatches++
	conn.inFlight += len(batch.attempts)
	conn.queued = append(conn.queued, batch)
	for _, attempt := range batch.attempts {
		attempt.batch, attempt.state = batch, stateQueued
		conn.attempts[attempt.request.id] = attempt
		attempt.timer = e.timers.add(attempt.deadline, func(e *Engine) { e.attemptTimedOut(attempt) })
	}
	e.writeNextBatch(conn)
}

// chooseConn returns the newest open connection that has capacity, or else one that is being
// opened, or nil. A connection on which an id of the batch is in use is not chosen: a late reply to
// the earlier attempt would be taken for a reply to the new one.
func (e *Engine) chooseConn(srv *server, batch *batch) (best *serverConn) {
	for _, conn := range srv.conns {
		if conn.addr != srv.addr || conn.openBatches >= e.config.streamsPerConn || conn.frames.HasPartial() ||
			conn.hasAnyID(batch) {
			continue
		}
		if best == nil || conn.established || !best.established {
			best = conn
		}
	}
	return best
}

// hasAnyID reports whether an id of the batch is in use on the connection.
func (conn *serverConn) hasAnyID(batch *batch) bool {
	for _, attempt := range batch.attempts {
		if conn.attempts[attempt.request.id] != nil {
			return true
		}
	}
	return false
}

// writeNextBatch writes the frame of the next queued batch, if the frame before it is fully
// written. Until the network takes bytes of the frame, its attempts can be retracted.
func (e *Engine) writeNextBatch(conn *serverConn) {
	if !conn.established || conn.closed || conn.writeOffset > conn.writtenOffset {
		return
	}
	for len(conn.queued) > 0 {
		batch := conn.queued[0]
		conn.queued = append(conn.queued[:0], conn.queued[1:]...)
		if e.dropExpired(conn, batch) {
			continue
		}
		frame := protocol.BeginRequestFrame(e.writeBuffer[:0])
		for _, attempt := range batch.attempts {
			if attempt.state == stateQueued {
				req := attempt.request
				frame = protocol.AppendShardRequest(frame, req.id, req.shard, attempt.deadline-e.now, req.search.token, req.search.query)
			}
		}
		e.writeBuffer = protocol.EndFrame(frame, 0)
		e.Counters.Batches++
		conn.frameStart, conn.lastBatch = conn.writeOffset, nil
		e.writeToServer(conn, e.writeBuffer)
		conn.lastBatch, conn.writtenAfter = batch, conn.writtenAfter[:0]
		for _, attempt := range batch.attempts {
			if attempt.state == stateQueued {
				attempt.state, attempt.frameEnd = stateSent, conn.writeOffset
				e.Counters.AttemptsSent++
			}
		}
		e.turnRequested = e.turnRequested || len(conn.queued) > 0
		return
	}
}

// retractBatch retracts the last frame if the network has taken nothing of it, and reports whether
// it did. The frame's attempts are queued again, and writeNextBatch drops those that must not begin
// any more. Without this, a connection that is stalled could send the whole frame at any later
// time, long after the client has left or the server began to drain.
func (e *Engine) retractBatch(conn *serverConn) bool {
	last := conn.lastBatch
	if last == nil || conn.closed || !e.network.Retract(conn.id, conn.frameStart) {
		return false
	}
	e.Counters.FramesRetracted++
	e.Counters.BytesOut -= conn.writeOffset - conn.frameStart
	conn.writeOffset, conn.lastBatch = conn.frameStart, nil
	for _, attempt := range last.attempts {
		if attempt.batch == last && attempt.state == stateSent {
			attempt.state = stateQueued
			e.Counters.AttemptsSent--
		}
	}
	conn.queued = append([]*batch{last}, conn.queued...)
	if len(conn.writtenAfter) > 0 {
		e.writeToServer(conn, conn.writtenAfter)
		conn.writtenAfter = conn.writtenAfter[:0]
	}
	return true
}

// dropExpired ends the queued attempts of a batch that must not be sent any more, and reports
// whether none is left. These are attempts past their begin deadline; attempts of searches that
// have ended, either with an answer or because the client left; and all attempts if the server has
// been draining or gone for as long as new work may still begin there.
func (e *Engine) dropExpired(conn *serverConn, batch *batch) bool {
	srv := e.serverList.servers[conn.server]
	pastGrace := srv.state != policy.Ready && e.now >= srv.notReadySince+drainGraceShare*e.config.drainGrace
	left := false
	for _, attempt := range batch.attempts {
		if attempt.state == stateQueued && (pastGrace || e.now > attempt.beginDeadline || attempt.request.search.ended) {
			delete(conn.attempts, attempt.request.id) // no reply can come, and the connection may stay open for long
			e.endAttempt(attempt, policy.NeverSent, nil)
		}
		left = left || attempt.state == stateQueued
	}
	return !left
}

const drainGraceShare = 0.8 // of the configured drain grace; the network may take the rest

// dropStalledFrames deals with the partly sent frames of a search whose client has left. They can't
// be retracted, and an attempt begins when the last byte of its frame goes out, whenever that is.
// So a connection that stays stalled in the middle of such a frame is dropped; what is queued
// behind the frame is sent over another connection.
func (e *Engine) dropStalledFrames(search *search) {
	for _, req := range search.requests {
		for _, attempt := range req.attempts {
			if attempt.batch == nil || attempt.state != stateSent || attempt.frameEnd <= attempt.batch.conn.writtenOffset {
				continue
			}
			conn, end := attempt.batch.conn, attempt.frameEnd
			e.afterFunc(stalledFrameTimeout, func(e *Engine) {
				if !conn.closed && end > conn.writtenOffset {
					e.Counters.FramesRetracted++
					e.dropServerConn(conn)
				}
			})
		}
	}
}

const stalledFrameTimeout = 200 // ms; after 300 ms nothing of a search whose client has left may begin any more
