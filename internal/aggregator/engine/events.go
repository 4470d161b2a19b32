package engine

import (
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

// Notifications from outside the loop.
const (
	Terminate = iota
	Report
	MoveDiscovery // to the address that Discovery holds
	ReloadFronts  // the settings of the fronts
	RunPosted     // something waits in the post
)

// Notified implements transport.Handler: a notification of another goroutine.
func (e *Engine) Notified(what int32) {
	switch what {
	case Terminate:
		e.terminate()
	case Report:
		e.Print("asked for")
	case MoveDiscovery:
		if to := e.Discovery.Load(); to != nil {
			e.moveDiscovery(*to)
		}
	case RunPosted:
		for {
			select {
			case do := <-e.posted:
				do()
				continue
			default:
			}
			break
		}
	case ReloadFronts:
		for _, front := range e.fronts {
			front.Reload()
		}
	}
}

// Opened implements transport.Handler: a connection that was asked for is up.
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

// Bytes implements transport.Handler: bytes came on a connection, at a time.
func (e *Engine) Bytes(c transport.Conn, b []byte, came float64) {
	e.Count.BytesIn += int64(len(b))
	if client := e.endpoint(c).client; client != nil {
		e.clientBytes(client, b, came)
	} else if conn := e.endpoint(c).conn; conn != nil {
		e.serverConnBytes(conn, b)
	} else if watch := e.endpoint(c).watch; watch != nil {
		e.watchBytes(watch, b)
	} else if handler := e.endpoint(c).handler; handler != nil {
		handler.Bytes(b, came)
	}
	e.deliverResults()
}

// Written implements transport.Handler: the system has taken what was written on a connection up to
// there.
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

// Closed implements transport.Handler: a connection is gone, and what was written behind upTo never
// left.
func (e *Engine) Closed(c transport.Conn, upTo int64) {
	e.sockets--
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

// close drops a connection from this side.
func (e *Engine) close(c transport.Conn) {
	if c == e.closedConn {
		return // the other side was first, and handling that failed
	}
	e.sockets--
	e.network.Close(c)
}

// Panicked errors what a failed event concerns, and nothing else where that is known.
func (e *Engine) Panicked(c transport.Conn, what any, stack []byte) {
	e.Count.Panics++
	defer func() { e.closedConn = noConn }()
	e.log.fail(what, stack)
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
		e.network.Arm(e.now + roundRetryDelay) // the round was cut short: what it would have armed is not known
		for _, entry := range e.entries {
			if entry.search != nil && !entry.search.ended {
				e.endSearch(entry.search, 500, 0, nil)
				e.endedSearches = append(e.endedSearches, entry.search)
			}
		}
	}
}
