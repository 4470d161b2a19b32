package engine

import (
	"fmt"
	"math"
	"net/netip"

	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

const (
	heartbeatInterval = 2000.                   // ms between two heartbeats of discovery
	heartbeatTimeout  = 1.6 * heartbeatInterval // ms without a complete line after which a watch is reopened
	// An update that is missed because a watch hangs must be known within 6 s after the watch's
	// last line. The hang is found after 3.2 s at the latest. The remaining time must suffice for
	// two more watches that hang. Each of these is given a longer time than the one before, as many
	// aggregators may be asking discovery at once.
	watchOpenTimeout = 800.   // ms within which a new watch must send something
	minWatchBackoff  = 50.    // ms to wait after two consecutive watches were lost soon after opening; doubles with each further one
	maxWatchBackoff  = 300.   // ms; upper limit of the backoff
	minWatchDuration = 1000.  // ms; a watch lost sooner counts as lost soon after opening
	olderListTimeout = 6000.  // ms; an update of discovery is never later than this
	serverRetention  = 30000. // ms after which a server that is gone does not usually come back under its id
	removeRetryDelay = 1000.  // ms between attempts to remove a server that something still refers to
)

// watchSilent is the reason of a lost watch that has timed out.
const watchSilent = "silent"

// watch is one request to discovery, whose response streams the updates of the server list.
type watch struct {
	conn            transport.Conn
	addr            netip.AddrPort
	parser          protocol.Message
	lines           protocol.LineSplitter
	openedAt        float64 // when the connection was requested
	lastLineAt      float64 // when the latest line was complete; bytes that complete no line are no sign of life
	alive           bool    // it has sent what is due at once: the response head, or a line if the full list was asked for
	fullList        bool    // the full list was asked for, not only the changes since a version
	awaitsFirstList bool    // no list has been received on it yet
	closed          bool
}

// SubscribeToServers implements policy.Executor. There is a single watch, which is kept open all the time.
func (e *Engine) SubscribeToServers() { e.openWatch() }

// openWatch opens a watch unless one is open.
func (e *Engine) openWatch() {
	list := &e.serverList
	if list.watch != nil { // during a shutdown too: attempts go on until all searches are answered, and drains matter
		return
	}
	e.Counters.Watches++
	e.socketCount++
	watch := &watch{addr: list.addr, awaitsFirstList: true, openedAt: e.now, lastLineAt: e.now}
	watch.parser.ExpectResponse()
	watch.parser.SetBuffer(make([]byte, 0, protocol.MaxHead))
	watch.parser.BodySink = func(b []byte) error {
		return watch.lines.Feed(b, func(line []byte) error {
			if watch.closed {
				return nil
			}
			if e.markWatchAlive(watch); len(line) == 0 {
				return nil
			}
			return e.applyList(watch, line)
		})
	}
	watch.conn = e.network.Connect(list.addr)
	*e.endpoint(watch.conn) = endpoint{watch: watch}
	list.watch = watch
	e.armWatchTimer(watch)
}

// markWatchAlive notes that a watch has sent something in time.
func (e *Engine) markWatchAlive(watch *watch) {
	watch.lastLineAt = e.now
	if !watch.alive {
		watch.alive = true
		e.serverList.openTimeout = 0
	}
}

// watchTimeout returns how long, in ms, a new watch may take to send something.
func (e *Engine) watchTimeout() float64 {
	if e.config.pollsDiscovery {
		return heartbeatTimeout // requests queue there and wait for updates; giving one up early only lengthens the queue
	}
	return min(max(e.serverList.openTimeout, watchOpenTimeout), heartbeatTimeout)
}

// moveDiscovery changes the address of discovery. The watch at the former address stays open until
// the new one has sent its first list: it may still report a drain, and the new address may be slow
// to start.
func (e *Engine) moveDiscovery(to netip.AddrPort) {
	list := &e.serverList
	if to == list.addr {
		return
	}
	e.Counters.DiscoveryMoves++
	e.log.info("discovery moves", "from %v to %v, version %d", list.addr, to, list.version)
	list.addr, list.awaitsMovedList, list.olderListSince, list.openTimeout, list.consecutiveLosses = to, true, 0, 0, 0
	if watch := list.watch; watch != nil {
		if list.watch = nil; watch.awaitsFirstList && list.previousWatch != nil {
			e.closeWatch(watch) // it has sent nothing: the one before it is still more useful
		} else {
			e.closeWatch(list.previousWatch)
			list.previousWatch = watch
		}
	}
	e.openWatch()
}

// closeWatch closes a watch, if it is open.
func (e *Engine) closeWatch(watch *watch) {
	if watch != nil && !watch.closed {
		watch.closed = true
		*e.endpoint(watch.conn) = endpoint{}
		e.close(watch.conn)
	}
}

// armWatchTimer schedules the check that drops a watch which has timed out, or which sends nothing
// after it was opened.
func (e *Engine) armWatchTimer(watch *watch) {
	list := &e.serverList
	timeout := heartbeatTimeout
	if !watch.alive {
		timeout = e.watchTimeout()
	}
	at := watch.lastLineAt + timeout
	e.timers.add(at, func(e *Engine) {
		switch {
		case watch.closed:
		case !watch.alive && e.now > at+stallThreshold: // the aggregator itself was stalled: what was sent meanwhile may be unread
			watch.lastLineAt = e.now - timeout/2
			e.armWatchTimer(watch)
		case watch.alive && e.now < watch.lastLineAt+heartbeatTimeout, !watch.alive && e.now < watch.lastLineAt+timeout:
			e.armWatchTimer(watch)
		default:
			if watch == list.watch {
				if !watch.alive {
					list.openTimeout = min(2*timeout, heartbeatTimeout)
				}
				list.mayHaveMissed = true
			}
			e.dropWatch(watch, watchSilent)
		}
	})
}

// dropWatch closes a watch; why is the reason for the log.
func (e *Engine) dropWatch(watch *watch, why string) {
	e.closeWatch(watch)
	e.watchLost(watch, why)
}

// watchLost handles the end of a watch and schedules the next one; why is the reason for the log.
func (e *Engine) watchLost(watch *watch, why string) {
	list := &e.serverList
	watch.closed = true
	if list.previousWatch == watch {
		list.previousWatch = nil // the watch at the new address is open already
	}
	if list.watch != watch {
		return
	}
	list.watch = nil
	e.Counters.WatchesLost++
	e.log.warn("watch lost", "%s, version %d", why, list.version)
	e.policy.DiscoveryFailed()
	// The next watch is opened at once, because updates sent meanwhile matter. Only if consecutive
	// watches are lost soon after they were opened is there a delay. A polled discovery is on
	// another machine and ends each of its responses, and the requests of all aggregators add up
	// there: it is always asked after a delay.
	if list.consecutiveLosses++; why == watchSilent || e.now >= watch.openedAt+minWatchDuration {
		list.consecutiveLosses = 0
	}
	if e.config.pollsDiscovery {
		e.afterFunc(maxWatchBackoff, func(e *Engine) { e.openWatch() })
		return
	}
	if list.consecutiveLosses < 2 {
		e.openWatch()
		return
	}
	e.afterFunc(min(minWatchBackoff*math.Pow(2, float64(list.consecutiveLosses-2)), maxWatchBackoff), func(e *Engine) { e.openWatch() })
}

// watchOpened sends the request of a watch whose connection is established.
func (e *Engine) watchOpened(watch *watch) {
	list := &e.serverList
	after := list.version
	if watch.fullList = list.olderListSince > 0 || !list.hasList || list.awaitsMovedList || list.mayHaveMissed; watch.fullList {
		after = 0
	}
	e.writeBuffer = protocol.AppendWatchRequest(e.writeBuffer[:0], watch.addr.String(), after)
	e.Counters.BytesOut += int64(len(e.writeBuffer))
	e.network.Write(watch.conn, e.writeBuffer)
}

// watchBytes reads the response of a watch from received bytes.
func (e *Engine) watchBytes(watch *watch, b []byte) {
	for len(b) > 0 && !watch.closed {
		used, step, err := watch.parser.Feed(b)
		b = b[used:]
		switch {
		case err == nil && step == protocol.HeadComplete && watch.parser.Status() != 200:
			err = fmt.Errorf("discovery at %v answered with status %d", watch.addr, watch.parser.Status())
		case err == nil && step == protocol.HeadComplete && !watch.fullList:
			e.markWatchAlive(watch) // if nothing has changed, nothing else is due before the first heartbeat
		case err == nil && step == protocol.Complete:
			e.dropWatch(watch, "ended")
			return
		}
		if err != nil {
			e.Counters.BadLists++
			e.dropWatch(watch, err.Error())
			return
		}
	}
}
