package engine

import (
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
)

// serverList is the list of servers and the watch that keeps it.
type serverList struct {
	addr          netip.AddrPort
	epoch         float64   // Unix time in milliseconds when the clock was 0
	servers       []*server // nil: its index is free
	freeIndices   []int
	indexOf       map[string]int
	ready         int
	version       int64 // as its address numbers it
	received      bool
	olderSince    float64 // since when watches begin with an older list, or 0
	watch         *watch
	previousWatch *watch  // at the address before, read until the new one has sent its list
	moved         bool    // that is still to come: its versions need not go on from the other's
	mayHaveMissed bool    // a watch timed out: what it missed may be any change since, so all is asked for
	openTimeout   float64 // how long the next watch may take to tell something
	lostInARow    int     // watches lost in a row, none of which lasted
}

// server is one of the list; its index is the policy's.
type server struct {
	id            string
	addr          netip.AddrPort
	position      int
	state         policy.State
	notReadySince float64 // when the list first had it draining or gone
	goneSince     float64 // when the list first had it gone
	conns         []*serverConn
	planned       []*attempt
	listed        bool
}

// applyList takes a full list or changes to it. What is not understood changes nothing. An older
// version never takes a newer one's place, unless discovery, asked for everything, goes on saying
// so: then it counts anew. Another address counts anew at once: what it reports counts soon after a
// move, whatever its versions are.
func (e *Engine) applyList(watch *watch, line []byte) error {
	list := &e.list
	version, full, err := protocol.ReadList(line, nil)
	if err != nil {
		return err
	}
	first := watch.awaitsFirstList
	watch.awaitsFirstList = false
	if list.moved && watch == list.watch {
		list.moved, list.received = false, false
		e.log.info("discovery moved", "to %v, version %d after %d, whole %v", watch.addr, version, list.version, full)
		e.closeWatch(list.previousWatch)
		list.previousWatch = nil
	}
	if list.received && version < list.version {
		e.Count.OldLists++
		if !full || !first {
			return nil
		}
		if !e.olderInsisted() {
			return badRequest("a list older than the one held")
		}
	}
	list.olderSince = 0
	if watch == list.watch {
		list.mayHaveMissed = false
	}
	list.received, list.version = true, version
	e.Count.Lists++
	e.applyServers(line, full)
	return nil
}

// olderInsisted tells whether discovery has said an older list for long enough.
func (e *Engine) olderInsisted() bool {
	if e.list.olderSince == 0 {
		e.list.olderSince = e.now
	}
	return e.now >= e.list.olderSince+olderListTimeout
}

// applyServers takes the servers of a list; those that a full one doesn't name are gone.
func (e *Engine) applyServers(line []byte, full bool) {
	for _, srv := range e.list.servers {
		if srv != nil {
			srv.listed = false
		}
	}
	protocol.ReadList(line, e.applyServer)
	if !full {
		return
	}
	for index, srv := range e.list.servers {
		if srv != nil && !srv.listed && srv.state != policy.Gone {
			e.setServerState(index, policy.Gone, 0, 0, 0)
		}
	}
}

// applyServer takes one entry of a list.
func (e *Engine) applyServer(id, addr, zoneName []byte, position int, state uint8, size, startedAt float64) {
	list := &e.list
	index, found := list.indexOf[string(id)]
	address, err := netip.ParseAddrPort(string(addr))
	newState := policy.State(state)
	if err != nil && newState != policy.Gone {
		e.Count.BadLists++
		e.log.warn("bad address", "of %q: %v", id, err)
		if found {
			list.servers[index].listed = true // what is not understood changes nothing
		}
		return
	}
	if newState == policy.Gone && !found {
		return
	}
	if !found {
		index = list.add(string(id))
	}
	zone, named := e.config.zones[string(zoneName)]
	if !named {
		zone = unknownZone
	}
	srv := list.servers[index]
	srv.listed = true
	if newState != policy.Gone {
		srv.addr, srv.position = address, position
	}
	if startedAt > 0 {
		startedAt = math.Max(startedAt-list.epoch, 0)
	}
	e.setServerState(index, newState, zone, size, startedAt)
}

const unknownZone = -1

// add gives a new id its index.
func (list *serverList) add(id string) (at int) {
	srv := &server{id: id, state: policy.Gone}
	if n := len(list.freeIndices); n > 0 {
		at, list.freeIndices = list.freeIndices[n-1], list.freeIndices[:n-1]
		list.servers[at] = srv
	} else {
		at = len(list.servers)
		list.servers = append(list.servers, srv)
	}
	list.indexOf[id] = at
	return at
}

// removeServer forgets a server that has been gone for long, once nothing refers to it: servers are
// replaced under ever new ids, and neither this list nor the policy's may grow with them.
func (e *Engine) removeServer(at int, srv *server) {
	list := &e.list
	if list.servers[at] != srv || srv.state != policy.Gone {
		return
	}
	if e.now < srv.goneSince+serverRetention {
		return // it came back and went again: a later look is due
	}
	e.Close(at)
	if len(srv.conns) > 0 || len(srv.planned) > 0 || !e.policy.RemoveServer(at) {
		e.after(removeRetryDelay, func(e *Engine) { e.removeServer(at, srv) })
		return
	}
	for _, front := range e.fronts {
		front.ServerRemoved(at)
	}
	delete(list.indexOf, srv.id)
	list.servers[at] = nil
	list.freeIndices = append(list.freeIndices, at)
}

// setServerState notifies the policy and the fronts of one server's state.
func (e *Engine) setServerState(index int, state policy.State, zone int, size, startedAt float64) {
	srv := e.list.servers[index]
	wasReady := srv.state == policy.Ready
	if wasReady {
		e.list.ready--
	}
	if state == policy.Ready {
		e.list.ready++
	} else if wasReady {
		e.startGrace(index, srv)
	}
	if state == policy.Gone && srv.state != policy.Gone {
		srv.goneSince = e.now
		e.after(serverRetention, func(e *Engine) { e.removeServer(index, srv) })
	}
	srv.state = state
	for _, front := range e.fronts {
		front.Server(index, srv.id, srv.addr, state)
	}
	e.policy.Server(index, zone, srv.position, state, size, startedAt)
}

// startGrace has what has not begun at a server that is no longer ready kept from beginning once
// the share of the stated grace is over.
func (e *Engine) startGrace(index int, srv *server) {
	since := e.now
	srv.notReadySince = since
	e.after(graceShare*e.config.drainGrace, func(e *Engine) {
		if srv.notReadySince == since && srv.state != policy.Ready {
			e.retractBatches(srv)
			for _, front := range e.fronts {
				front.GraceEnded(index)
			}
		}
	})
}

// retractBatches keeps frames from beginning at a server that wants nothing new.
func (e *Engine) retractBatches(srv *server) {
	for _, conn := range srv.conns {
		if e.retractBatch(conn) {
			e.writeNextBatch(conn)
		}
	}
}
