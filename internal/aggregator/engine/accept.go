package engine

import (
	"kestrelspread/internal/transport"
)

const (
	minServerDescriptors = 16   // descriptors reserved for connections to servers
	acceptRetryDelay     = 100  // ms between attempts to resume accepting when out of descriptors
	evictShare           = 0.25 // share of the connections allowed that is evicted each time
	minIdleBeforeEvict   = 2000 // ms; after this much idle time another search is less likely to be on its way
	minUnusedBeforeEvict = 250  // ms; a client that connects for a search sends it at once
)

// Accepted implements transport.Handler. It registers a client that has connected.
func (e *Engine) Accepted(conn transport.Conn) {
	e.Counters.Accepted++
	e.socketCount++
	if door := e.network.ListenerIndex(conn); door > 0 {
		e.frontends[door-1].Accepted(conn)
		return
	}
	e.clientCount++
	client := &client{conn: conn, requestBegunAt: e.now, lastReceivedAt: e.now, idleSince: e.now}
	*e.endpoint(conn) = endpoint{client: client}
	e.silentClients = append(compactIdle(e.silentClients, e.clientCount), idleClient{client, e.now})
	e.armClientTimer(client)
	if e.clientCount >= e.maxClients() {
		e.suspendAccepting("%d client connections", e.clientCount)
	}
}

// maxClients returns how many client connections of HTTP may be open. It leaves two descriptors for each
// server, and half as many as its own for each further front end.
func (e *Engine) maxClients() int {
	serverDescriptors := min(max(minServerDescriptors, 2*len(e.serverList.indexOf)), e.config.maxDescriptors/2)
	available := e.config.maxDescriptors - reservedSockets - serverDescriptors
	return max(2*available/(2+len(e.frontends)), 1)
}

// AcceptFailed implements transport.Handler. No descriptor was left for a client.
func (e *Engine) AcceptFailed() { e.suspendAccepting("no descriptor, %d held", e.socketCount) }

// suspendAccepting suspends accepting. Clients that have connected but are not accepted wait, idle
// ones are evicted, and connections are closed after their answers until there is capacity. A
// connection that was just accepted is never closed to make room for another: its search is on its
// way.
func (e *Engine) suspendAccepting(format string, args ...any) {
	if !e.accepting || e.listenersClosed {
		return
	}
	e.accepting = false
	e.Counters.AcceptPauses++
	e.log.warn("accepting paused", format, args...)
	e.network.SetAccepting(false)
	e.evictClients()
}

// evictClients evicts some idle clients and tries again after acceptRetryDelay while accepting is
// suspended.
func (e *Engine) evictClients() {
	e.outOfDescriptors = true
	for range max(int(evictShare*float64(e.maxClients())), 1) {
		if !e.evictClient() {
			break
		}
		e.outOfDescriptors = false
	}
	if !e.outOfDescriptors {
		e.resumeAccepting()
	}
	if e.accepting || e.evictionScheduled {
		return // one scheduled retry is enough, however often accepting is suspended and resumed
	}
	e.evictionScheduled = true
	e.afterFunc(acceptRetryDelay, func(e *Engine) {
		e.evictionScheduled = false
		if e.resumeAccepting(); !e.accepting && !e.listenersClosed {
			e.evictClients()
		}
	})
}

// resumeAccepting resumes accepting if there is capacity.
func (e *Engine) resumeAccepting() {
	if !e.accepting && !e.listenersClosed && e.clientCount < e.maxClients() {
		e.accepting, e.outOfDescriptors = true, false
		e.network.SetAccepting(true)
	}
}

// evictClient closes the connection of one idle client and reports whether there was one. Clients
// that have never sent anything go first.
func (e *Engine) evictClient() bool {
	client := e.takeIdleClient(&e.silentClients, minUnusedBeforeEvict)
	if client == nil {
		client = e.takeIdleClient(&e.idleClients, minIdleBeforeEvict)
	}
	if client == nil {
		return false
	}
	e.Counters.Evicted++
	e.close(client.conn)
	e.clientClosed(client)
	return true
}

// idleClient is an entry of a queue of idle clients. It is stale if the client has been active
// since.
type idleClient struct {
	client    *client
	idleSince float64
}

// stillIdle reports whether the client has been idle since the entry was added.
func (idle idleClient) stillIdle() bool {
	return idle.client.idleSince == idle.idleSince && idle.client.idle()
}

// markIdle appends a client to the queue of eviction candidates.
func (e *Engine) markIdle(client *client) {
	client.idleSince = e.now
	e.idleClients = append(compactIdle(e.idleClients, e.clientCount), idleClient{client, e.now})
}

// compactIdle removes stale entries from a queue that has become long.
func compactIdle(queue []idleClient, clients int) []idleClient {
	if len(queue) <= 64 || len(queue) <= 4*clients {
		return queue
	}
	kept := queue[:0]
	for _, idle := range queue {
		if idle.stillIdle() {
			kept = append(kept, idle)
		}
	}
	clear(queue[len(kept):])
	return kept
}

// takeIdleClient removes and returns the first client of a queue that has been idle for minIdleTime and
// has no unwritten answer, or returns nil.
func (e *Engine) takeIdleClient(queue *[]idleClient, minIdleTime float64) *client {
	for len(*queue) > 0 {
		idle := (*queue)[0]
		if idle.stillIdle() && e.now < idle.idleSince+minIdleTime {
			return nil
		}
		*queue = (*queue)[1:]
		if idle.stillIdle() && idle.client.writeOffset == idle.client.writtenOffset {
			return idle.client
		}
	}
	return nil
}
