package engine

import (
	"math"
	"net/netip"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/protocol"
	"kestrelspread/internal/transport"
)

const (
	beat    = 2000.
	silence = 1.6 * beat // without a beat for so long, a watch is opened anew
	// What a silent watch misses counts as told 6 s after it fell silent, and it is found out after 3.2 s at the latest: what
	// is left has to do for two further ones that hang. Each hangs longer than the last, as many brokers may be asking.
	opens    = 800. // a watch that is opened has told something within so long
	askFirst = 50.  // after two that were lost at once the next waits, then twice as long each time
	askAgain = 300. // up to so long
	lasted   = 1000.
	insists  = 6000.  // so late at most comes what discovery has to tell
	forgets  = 30000. // after so long no server that is gone is spoken of again under its id, as a rule
	askForgo = 1000.  // and while something refers to it, it is looked at again so often
)

// catalog is the list of servers and the watch that keeps it.
type catalog struct {
	addr    netip.AddrPort
	epoch   float64   // Unix time in milliseconds when the clock was 0
	servers []*server // nil: its index is free
	free    []int
	index   map[string]int
	ready   int
	version int64 // of the address that told it
	told    bool
	older   float64 // since when watches begin with an older list, or 0
	watch   *watch
	past    *watch  // at the address before, heard until the new one has told its list
	anew    bool    // that is still to come: its versions need not go on from the other's
	missed  bool    // a watch fell silent: what it missed may be any change since, so all is asked for
	opens   float64 // how long the next watch may take to tell something
	lost    int     // watches lost in a row, none of which lasted
}

// watch is one open question to discovery.
type watch struct {
	conn  transport.Conn
	addr  netip.AddrPort
	in    protocol.HTTP
	lines protocol.Lines
	began float64
	heard float64 // when the latest line was whole: bytes that make none are no news, however long they trickle
	lives bool    // it has told what is due at once: its head, or a line where all was asked for
	whole bool    // all was asked for
	first bool    // no list has come on it yet
	gone  bool
}

// server is one of the list; its index is the module's.
type server struct {
	id      string
	addr    netip.AddrPort
	cell    int
	state   policy.State
	since   float64 // told to be draining or gone
	gone    float64 // told to be gone
	lanes   []*lane
	planned []*sub
	seen    bool
}

// Subscribe is the module's wish for news; there is one watch, kept open all the time.
func (r *Router) Subscribe() { r.watch() }

func (r *Router) watch() {
	k := &r.catalog
	if k.watch != nil { // while leaving too: sub-requests go on until all is answered, and drains count as told
		return
	}
	r.Count.Watches++
	r.sockets++
	w := &watch{addr: k.addr, first: true, began: r.now, heard: r.now}
	w.in.Response()
	w.in.Store(make([]byte, 0, protocol.MaxHead))
	w.in.Stream = func(b []byte) error {
		return w.lines.Feed(b, func(line []byte) error {
			if w.gone {
				return nil
			}
			if r.alive(w); len(line) == 0 {
				return nil
			}
			return r.list(w, line)
		})
	}
	w.conn = r.net.Connect(k.addr)
	*r.peer(w.conn) = peer{watch: w}
	k.watch = w
	r.listen(w)
}

// alive: a watch has told something in time.
func (r *Router) alive(w *watch) {
	w.heard = r.now
	if !w.lives {
		w.lives = true
		r.catalog.opens = 0
	}
}

// patience with a watch that has told nothing yet.
func (r *Router) patience() float64 {
	if r.rules.asked {
		return silence // calls wait there, in turn and for news, and one given up too soon makes the turn longer
	}
	return min(max(r.catalog.opens, opens), silence)
}

// move has another address tell the list from now on. The one before is heard until then: it may still tell of a
// drain, and the new one may be slow to come up.
func (r *Router) move(to netip.AddrPort) {
	k := &r.catalog
	if to == k.addr {
		return
	}
	r.Count.Moves++
	r.log.info("discovery moves", "from %v to %v, version %d", k.addr, to, k.version)
	k.addr, k.anew, k.older, k.opens, k.lost = to, true, 0, 0, 0
	if w := k.watch; w != nil {
		if k.watch = nil; w.first && k.past != nil {
			r.hangUp(w) // it has told nothing: the one before it is still the better
		} else {
			r.hangUp(k.past)
			k.past = w
		}
	}
	r.watch()
}

func (r *Router) hangUp(w *watch) {
	if w != nil && !w.gone {
		w.gone = true
		*r.peer(w.conn) = peer{}
		r.close(w.conn)
	}
}

// listen gives a watch up that has fallen silent, or that tells nothing once it is opened.
func (r *Router) listen(w *watch) {
	k := &r.catalog
	patience := silence
	if !w.lives {
		patience = r.patience()
	}
	at := w.heard + patience
	r.timers.add(at, func(r *Router) {
		switch {
		case w.gone:
		case !w.lives && r.now > at+stalled: // this broker stood still: what it was told meanwhile may be unread yet
			w.heard = r.now - patience/2
			r.listen(w)
		case w.lives && r.now < w.heard+silence, !w.lives && r.now < w.heard+patience:
			r.listen(w)
		default:
			if w == k.watch {
				if !w.lives {
					k.opens = min(2*patience, silence)
				}
				k.missed = true
			}
			r.dropWatch(w, "silent")
		}
	})
}

func (r *Router) dropWatch(w *watch, why string) {
	r.hangUp(w)
	r.watchLost(w, why)
}

func (r *Router) watchLost(w *watch, why string) {
	k := &r.catalog
	w.gone = true
	if k.past == w {
		k.past = nil // as a move has it
	}
	if k.watch != w {
		return
	}
	k.watch = nil
	r.Count.WatchesLost++
	r.log.warn("watch lost", "%s, version %d", why, k.version)
	r.port.DiscoveryFailed()
	// The next is opened at once: what is told meanwhile counts. Only those that keep on ending at once are asked less often,
	// and discovery that has to be asked is not on this machine: it ends its answers, and what all ask of it adds up.
	if k.lost++; why == "silent" || r.now >= w.began+lasted {
		k.lost = 0
	}
	if r.rules.asked {
		r.after(askAgain, func(r *Router) { r.watch() })
		return
	}
	if k.lost < 2 {
		r.watch()
		return
	}
	r.after(min(askFirst*math.Pow(2, float64(k.lost-2)), askAgain), func(r *Router) { r.watch() })
}

func (r *Router) watchOpened(w *watch) {
	k := &r.catalog
	after := k.version
	if w.whole = k.older > 0 || !k.told || k.anew || k.missed; w.whole {
		after = 0
	}
	r.scratch = protocol.AppendWatch(r.scratch[:0], w.addr.String(), after)
	r.Count.BytesOut += int64(len(r.scratch))
	r.net.Write(w.conn, r.scratch)
}

func (r *Router) watchBytes(w *watch, b []byte) {
	for len(b) > 0 && !w.gone {
		used, step, err := w.in.Feed(b)
		b = b[used:]
		switch {
		case err == nil && step == protocol.Headed && w.in.Status() != 200:
			err = badRequest("a status other than 200")
		case err == nil && step == protocol.Headed && !w.whole:
			r.alive(w) // where nothing has changed, nothing else is due before the first beat
		case err == nil && step == protocol.Done:
			r.dropWatch(w, "ended")
			return
		}
		if err != nil {
			r.Count.BadLists++
			r.dropWatch(w, err.Error())
			return
		}
	}
}

// list takes a whole list or changes to it. What is not understood changes nothing. An older version never
// takes a newer one's place, unless discovery, asked for everything, goes on saying so: then it counts anew. Another
// address counts anew at once: what it tells counts as told soon after a move, whatever its versions are.
func (r *Router) list(w *watch, line []byte) error {
	k := &r.catalog
	version, whole, err := protocol.List(line, nil)
	if err != nil {
		return err
	}
	first := w.first
	w.first = false
	if k.anew && w == k.watch {
		k.anew, k.told = false, false
		r.log.info("discovery moved", "to %v, version %d after %d, whole %v", w.addr, version, k.version, whole)
		r.hangUp(k.past)
		k.past = nil
	}
	if k.told && version < k.version {
		r.Count.OldLists++
		if !whole || !first {
			return nil
		}
		if k.older == 0 {
			k.older = r.now
		}
		if r.now < k.older+insists {
			return badRequest("a list older than the one held")
		}
	}
	k.older = 0
	if w == k.watch {
		k.missed = false
	}
	k.told, k.version = true, version
	r.Count.Lists++
	for _, v := range k.servers {
		if v != nil {
			v.seen = false
		}
	}
	protocol.List(line, func(id, addr, zone []byte, cell int, state uint8, weight, started float64) {
		at, found := k.index[string(id)]
		to, err := netip.ParseAddrPort(string(addr))
		as := policy.State(state)
		if err != nil && as != policy.Gone || as == policy.Gone && !found {
			if err != nil && as != policy.Gone {
				r.Count.BadLists++
				r.log.warn("bad address", "of %q: %v", id, err)
				if found {
					k.servers[at].seen = true // what is not understood changes nothing
				}
			}
			return
		}
		if !found {
			at = k.enter(string(id))
		}
		hall, named := r.rules.halls[string(zone)]
		if !named {
			hall = -1
		}
		v := k.servers[at]
		v.seen = true
		if as != policy.Gone {
			v.addr, v.cell = to, cell
		}
		if started > 0 {
			started = math.Max(started-k.epoch, 0)
		}
		r.state(at, as, hall, weight, started)
	})
	if whole {
		for i, v := range k.servers {
			if v != nil && !v.seen && v.state != policy.Gone {
				r.state(i, policy.Gone, 0, 0, 0)
			}
		}
	}
	return nil
}

// enter gives a new id its index.
func (k *catalog) enter(id string) (at int) {
	v := &server{id: id, state: policy.Gone}
	if n := len(k.free); n > 0 {
		at, k.free = k.free[n-1], k.free[:n-1]
		k.servers[at] = v
	} else {
		at = len(k.servers)
		k.servers = append(k.servers, v)
	}
	k.index[id] = at
	return at
}

// forgo forgets a server that has been gone for long, once nothing refers to it: servers are replaced under ever new
// ids, and neither this list nor the module's may grow with them.
func (r *Router) forgo(at int, v *server) {
	k := &r.catalog
	if k.servers[at] != v || v.state != policy.Gone {
		return
	}
	if r.now < v.gone+forgets {
		return // it came back and went again: a later look is on its way
	}
	r.Close(at)
	if len(v.lanes) > 0 || len(v.planned) > 0 || !r.port.RemoveServer(at) {
		r.after(askForgo, func(r *Router) { r.forgo(at, v) })
		return
	}
	for _, f := range r.fronts {
		f.Forgotten(at)
	}
	delete(k.index, v.id)
	k.servers[at] = nil
	k.free = append(k.free, at)
}

// hold keeps frames from beginning at a server that wants nothing new.
func (r *Router) hold(v *server) {
	for _, l := range v.lanes {
		if r.unbegin(l) {
			r.pump(l)
		}
	}
}

// state tells the module of one server.
func (r *Router) state(at int, as policy.State, hall int, weight, started float64) {
	v := r.catalog.servers[at]
	if v.state == policy.Ready {
		r.catalog.ready--
	}
	if as == policy.Ready {
		r.catalog.ready++
	} else if v.state == policy.Ready {
		v.since = r.now
		since := r.now
		r.after(graceShare*r.rules.grace, func(r *Router) {
			if v.since == since && v.state != policy.Ready {
				r.hold(v)
				for _, f := range r.fronts {
					f.Late(at)
				}
			}
		})
	}
	if as == policy.Gone && v.state != policy.Gone {
		v.gone = r.now
		r.after(forgets, func(r *Router) { r.forgo(at, v) })
	}
	v.state = as
	for _, f := range r.fronts {
		f.Server(at, v.id, v.addr, as)
	}
	r.port.Server(at, hall, v.cell, as, weight, started)
}
