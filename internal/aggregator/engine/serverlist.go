package engine

import (
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
)

// serverList is the list of servers, with the state of the watch by which discovery keeps it up to
// date.
type serverList struct {
	addr              netip.AddrPort // address of discovery
	epoch             float64        // Unix time in milliseconds at which the loop's clock was 0
	servers           []*server      // by index; nil: the index is free
	freeIndices       []int
	indexOf           map[string]int // by server id
	readyCount        int            // servers in state policy.Ready
	version           int64          // latest version, as numbered by the current address
	hasList           bool           // a list has been received from the current address
	olderListSince    float64        // since when new watches have begun with an older list; 0: they have not
	watch             *watch         // nil while none is open
	previousWatch     *watch         // at the previous address; read until the new address has sent its first list
	awaitsMovedList   bool           // the address has changed and has not sent a list yet; its versions are independent of the former ones
	mayHaveMissed     bool           // a watch timed out, so any update since may be missing: the next watch asks for the full list
	openTimeout       float64        // ms that the next watch may take to send anything; 0: watchOpenTimeout
	consecutiveLosses int            // consecutive watches that were lost soon after they were opened
}

// server is one server of the list. Its index is the one that the policy uses.
type server struct {
	id            string
	addr          netip.AddrPort
	position      int // on the ring of positions
	state         policy.ServerStatus
	notReadySince float64       // when it stopped being ready
	goneSince     float64       // when the list first reported it as gone
	conns         []*serverConn // open or being opened, oldest first
	planned       []*attempt    // attempts of this round that are not in a batch yet
	listed        bool          // named in the list that is being applied
}

// applyList applies a full list or a list of changes. Malformed lists and entries change nothing. A
// list with an older version is ignored, unless each new watch, which asks for the full list then,
// has begun with an older one for olderListTimeout: discovery has restarted its versions. After a
// move to another address, the first list from there is applied whatever its version, because what
// it reports must take effect soon after the move.
func (e *Engine) applyList(watch *watch, line []byte) error {
	list := &e.serverList
	version, full, err := protocol.ParseServerList(line, nil)
	if err != nil {
		return err
	}
	first := watch.awaitsFirstList
	watch.awaitsFirstList = false
	if list.awaitsMovedList && watch == list.watch {
		list.awaitsMovedList, list.hasList = false, false
		e.log.info("discovery moved", "to %v, version %d after %d, full list: %v", watch.addr, version, list.version, full)
		e.closeWatch(list.previousWatch)
		list.previousWatch = nil
	}
	if list.hasList && version < list.version {
		e.Counters.OldLists++
		if !full || !first {
			return nil
		}
		if !e.olderListAccepted() {
			return badRequest("a list older than the one held")
		}
	}
	list.olderListSince = 0
	if watch == list.watch {
		list.mayHaveMissed = false
	}
	list.hasList, list.version = true, version
	e.Counters.Lists++
	e.applyServers(line, full)
	return nil
}

// olderListAccepted reports whether new watches have begun with an older list for olderListTimeout.
func (e *Engine) olderListAccepted() bool {
	if e.serverList.olderListSince == 0 {
		e.serverList.olderListSince = e.now
	}
	return e.now >= e.serverList.olderListSince+olderListTimeout
}

// applyServers applies the entries of a list. Servers that a full list doesn't name are gone.
func (e *Engine) applyServers(line []byte, full bool) {
	for _, srv := range e.serverList.servers {
		if srv != nil {
			srv.listed = false
		}
	}
	protocol.ParseServerList(line, e.applyServer)
	if !full {
		return
	}
	for index, srv := range e.serverList.servers {
		if srv != nil && !srv.listed && srv.state != policy.Gone {
			e.setServerState(index, policy.Gone, 0, 0, 0)
		}
	}
}

// applyServer applies one entry of a list.
func (e *Engine) applyServer(id, addr, zoneName []byte, position int, state uint8, size, startedAt float64) {
	list := &e.serverList
	index, found := list.indexOf[string(id)]
	address, err := netip.ParseAddrPort(string(addr))
	newState := policy.ServerStatus(state)
	if err != nil && newState != policy.Gone {
		e.Counters.BadLists++
		e.log.warn("bad address", "of %q: %v", id, err)
		if found {
			list.servers[index].listed = true // a malformed entry changes nothing
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

const unknownZone = -1 // zone of a server whose zone the settings do not name

// add adds a server under a new id and returns its index.
func (list *serverList) add(id string) (index int) {
	srv := &server{id: id, state: policy.Gone}
	if n := len(list.freeIndices); n > 0 {
		index, list.freeIndices = list.freeIndices[n-1], list.freeIndices[:n-1]
		list.servers[index] = srv
	} else {
		index = len(list.servers)
		list.servers = append(list.servers, srv)
	}
	list.indexOf[id] = index
	return index
}

// removeServer removes a server that has been gone for serverRetention, once nothing refers to it.
// Servers are replaced under ever new ids, so without this the list and the policy's state would
// grow without bound.
func (e *Engine) removeServer(index int, srv *server) {
	list := &e.serverList
	if list.servers[index] != srv || srv.state != policy.Gone {
		return
	}
	if e.now < srv.goneSince+serverRetention {
		return // it came back and went again: a later call is scheduled
	}
	e.CloseIdleConnections(index)
	if len(srv.conns) > 0 || len(srv.planned) > 0 || !e.policy.RemoveServer(index) {
		e.afterFunc(removeRetryDelay, func(e *Engine) { e.removeServer(index, srv) })
		return
	}
	for _, frontend := range e.frontends {
		frontend.ServerRemoved(index)
	}
	delete(list.indexOf, srv.id)
	list.servers[index] = nil
	list.freeIndices = append(list.freeIndices, index)
}

// setServerState sets a server's state and reports it to the policy and the front ends.
func (e *Engine) setServerState(index int, state policy.ServerStatus, zone int, size, startedAt float64) {
	srv := e.serverList.servers[index]
	wasReady := srv.state == policy.Ready
	if wasReady {
		e.serverList.readyCount--
	}
	if state == policy.Ready {
		e.serverList.readyCount++
	} else if wasReady {
		e.startDrainGrace(index, srv)
	}
	if state == policy.Gone && srv.state != policy.Gone {
		srv.goneSince = e.now
		e.afterFunc(serverRetention, func(e *Engine) { e.removeServer(index, srv) })
	}
	srv.state = state
	for _, frontend := range e.frontends {
		frontend.ServerUpdated(index, srv.id, srv.addr, state)
	}
	e.policy.UpdateServer(index, zone, srv.position, state, size, startedAt)
}

// startDrainGrace starts the drain grace of a server that is no longer ready. When drainGraceShare of it has
// passed, attempts that have not begun at the server are kept from beginning.
func (e *Engine) startDrainGrace(index int, srv *server) {
	since := e.now
	srv.notReadySince = since
	e.afterFunc(drainGraceShare*e.config.drainGrace, func(e *Engine) {
		if srv.notReadySince == since && srv.state != policy.Ready {
			e.retractBatches(srv)
			for _, frontend := range e.frontends {
				frontend.DrainGraceEnded(index)
			}
		}
	})
}

// retractBatches retracts the frames that the network has not begun to send to a server which is
// draining or gone: what has not begun there must not begin any more.
func (e *Engine) retractBatches(srv *server) {
	for _, conn := range srv.conns {
		if e.retractBatch(conn) {
			e.writeNextBatch(conn)
		}
	}
}
