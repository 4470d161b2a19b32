package engine

import (
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

// Notifications that other goroutines send to the loop.
const (
	Terminate       = iota // begin the shutdown
	ReportCounters         // log the counters
	MoveDiscovery          // discovery has moved to the address that was stored in the engine
	ReloadFrontends        // apply the new settings of the front ends
	RunPosted              // run the functions that were passed to Engine.Post
)

// Notified implements transport.Handler. It handles a notification from another goroutine.
func (e *Engine) Notified(what int32) {
	switch what {
	case Terminate:
		e.terminate()
	case ReportCounters:
		e.LogCounters("asked for")
	case MoveDiscovery:
		if to := e.DiscoveryAddr.Load(); to != nil {
			e.moveDiscovery(*to)
		}
	case RunPosted:
		for {
			select {
			case do := <-e.postedFuncs:
				do()
				continue
			default:
			}
			break
		}
	case ReloadFrontends:
		for _, frontend := range e.frontends {
			frontend.ReloadSettings()
		}
	}
}

// Opened implements transport.Handler. A connection that was requested is established.
func (e *Engine) Opened(c transport.Conn) {
	if conn := e.endpoint(c).conn; conn != nil {
		e.serverConnOpened(conn)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.watchOpened(watch)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Opened()
	}
	e.deliverResults()
}

// Received implements transport.Handler. It handles bytes that were received at the given time.
func (e *Engine) Received(c transport.Conn, b []byte, receivedAt float64) {
	e.Counters.BytesIn += int64(len(b))
	if client := e.endpoint(c).client; client != nil {
		e.clientBytes(client, b, receivedAt)
	} else if conn := e.endpoint(c).conn; conn != nil {
		e.serverConnBytes(conn, b)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.watchBytes(watch, b)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Received(b, receivedAt)
	}
	e.deliverResults()
}

// Written implements transport.Handler. The operating system has accepted what was written before
// the offset upTo.
func (e *Engine) Written(c transport.Conn, upTo int64) {
	if client := e.endpoint(c).client; client != nil {
		client.writtenOffset = upTo
	} else if conn := e.endpoint(c).conn; conn != nil {
		if conn.writtenOffset = upTo; upTo > conn.frameStart {
			conn.lastBatch, conn.writtenAfter = nil, conn.writtenAfter[:0]
		}
		e.writeNextBatch(conn)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Written(upTo)
		e.deliverResults()
	}
}

// Closed implements transport.Handler. A connection is closed; what was written from the offset
// upTo on was never sent.
func (e *Engine) Closed(c transport.Conn, upTo int64) {
	e.socketCount--
	e.closedConn = c
	if client := e.endpoint(c).client; client != nil {
		e.clientClosed(client)
	} else if conn := e.endpoint(c).conn; conn != nil {
		conn.writtenOffset = upTo
		e.serverConnClosed(conn)
	} else if watch := e.endpoint(c).watch; watch != nil {
		*e.endpoint(c) = endpoint{}
		e.watchLost(watch, "closed")
	} else if handler := e.endpoint(c).handler; handler != nil {
		e.handlerClosed(c, handler, upTo)
	}
	e.deliverResults()
	e.resumeAccepting()
	e.closedConn = noConn
}

// close closes a connection immediately.
func (e *Engine) close(c transport.Conn) {
	if c == e.closedConn {
		return // the peer closed it in this event, and handling that event failed
	}
	e.socketCount--
	e.network.Close(c)
}

// Panicked implements transport.Handler. The handling of an event has panicked. If it was an event of
// a connection, that connection is closed, after an answer with status 500 if a client waits for one
// on it, and nothing else is affected. Otherwise all open searches fail.
func (e *Engine) Panicked(c transport.Conn, what any, stack []byte) {
	e.Counters.Panics++
	defer func() { e.closedConn = noConn }()
	e.log.logPanic(what, stack)
	if invariant.Debug {
		panic(what)
	}
	if client := e.endpoint(c).client; client != nil {
		if search := client.search; search != nil {
			e.endSearch(search, 500, 0, nil)
			e.endedSearches = append(e.endedSearches, search)
		}
		if c == e.closedConn {
			e.clientClosed(client)
		} else {
			e.finishClient(client)
		}
	} else if conn := e.endpoint(c).conn; conn != nil {
		e.close(c)
		e.serverConnClosed(conn)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.dropWatch(watch, "failed")
	} else if handler := e.endpoint(c).handler; handler != nil {
		e.close(c)
		e.handlerClosed(c, handler, 0)
	} else {
		e.network.SetTimer(e.now + roundRetryDelay) // the round was cut short, so the timer it would have set is unknown
		for _, entry := range e.entries {
			if entry.search != nil && !entry.search.ended {
				e.endSearch(entry.search, 500, 0, nil)
				e.endedSearches = append(e.endedSearches, entry.search)
			}
		}
	}
}
