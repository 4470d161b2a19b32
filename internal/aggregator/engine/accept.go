package engine

import (
	"kestrelspread/internal/transport"
)

const (
	minServerDescriptors = 16   // descriptors that are kept for servers
	acceptRetryDelay     = 100  // ms; out of descriptors, accepting is tried again after so long
	evictShare           = 0.25 // of the connections that may be, closed each time
	minIdleBeforeEvict   = 2000 // ms; idle for so long, another search is less likely to be on the way
	minUnusedBeforeEvict = 250  // ms; who connects to ask asks at once
)

// Accepted implements transport.Handler: a client has connected.
func (e *Engine) Accepted(conn transport.Conn) {
	e.Count.Accepted++
	e.sockets++
	if door := e.network.Door(conn); door > 0 {
		e.fronts[door-1].Accepted(conn)
		return
	}
	e.clients++
	client := &client{conn: conn, requestBegunAt: e.now, lastReceivedAt: e.now, idleSince: e.now}
	*e.endpoint(conn) = endpoint{client: client}
	e.silentClients = append(compactIdle(e.silentClients, e.clients), idleClient{client, e.now})
	e.armClientTimer(client)
	if e.clients >= e.maxClients() {
		e.suspendAccepting("%d client connections", e.clients)
	}
}

// maxClients leaves descriptors for servers, two for each.
func (e *Engine) maxClients() int {
	serverDescriptors := min(max(minServerDescriptors, 2*len(e.list.indexOf)), e.config.maxDescriptors/2)
	return max(e.config.maxDescriptors-spareSockets-serverDescriptors, 1)
}

// AcceptFailed implements transport.Handler: no descriptor was left for a client.
func (e *Engine) AcceptFailed() { e.suspendAccepting("no descriptor, %d held", e.sockets) }

// suspendAccepting stops accepting: clients that have connected and are not accepted wait, idle ones
// are evicted, and answers end their connections until there is capacity. A connection just
// accepted is never closed for another: its search is in transit.
func (e *Engine) suspendAccepting(why string, args ...any) {
	if !e.accepting || e.listenersClosed {
		return
	}
	e.accepting = false
	e.Count.Paused++
	e.log.warn("accepting paused", why, args...)
	e.network.Accept(false)
	e.evictClients()
}

// evictClients closes some idle connections at once, or tries again soon.
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
	if e.accepting || e.evicting {
		return // one who looks again is enough, however often accepting starts and stops
	}
	e.evicting = true
	e.after(acceptRetryDelay, func(e *Engine) {
		e.evicting = false
		if e.resumeAccepting(); !e.accepting && !e.listenersClosed {
			e.evictClients()
		}
	})
}

func (e *Engine) resumeAccepting() {
	if !e.accepting && !e.listenersClosed && e.clients < e.maxClients() {
		e.accepting, e.outOfDescriptors = true, false
		e.network.Accept(true)
	}
}

// evictClient frees a descriptor at once: who has never said anything goes first.
func (e *Engine) evictClient() bool {
	client := e.firstIdle(&e.silentClients, minUnusedBeforeEvict)
	if client == nil {
		client = e.firstIdle(&e.idleClients, minIdleBeforeEvict)
	}
	if client == nil {
		return false
	}
	e.Count.Evicted++
	e.close(client.conn)
	e.clientClosed(client)
	return true
}

type idleClient struct {
	client *client
	since  float64
}

func (idle idleClient) still() bool { return idle.client.idleSince == idle.since && idle.client.idle() }

// markIdle puts a connection last in the order of eviction.
func (e *Engine) markIdle(client *client) {
	client.idleSince = e.now
	e.idleClients = append(compactIdle(e.idleClients, e.clients), idleClient{client, e.now})
}

// compactIdle drops those of a list that rest no more, once there are many.
func compactIdle(list []idleClient, clients int) []idleClient {
	if len(list) <= 64 || len(list) <= 4*clients {
		return list
	}
	kept := list[:0]
	for _, idle := range list {
		if idle.still() {
			kept = append(kept, idle)
		}
	}
	clear(list[len(kept):])
	return kept
}

// firstIdle takes out the first of a list that has rested for so long, if there is one.
func (e *Engine) firstIdle(list *[]idleClient, minIdleTime float64) *client {
	for len(*list) > 0 {
		idle := (*list)[0]
		if idle.still() && e.now < idle.since+minIdleTime {
			return nil
		}
		*list = (*list)[1:]
		if idle.still() && idle.client.writeOffset == idle.client.writtenOffset {
			return idle.client
		}
	}
	return nil
}
