package scenario

import (
	"fmt"
	"math"
	"strings"
	"time"

	"kestrelspread/internal/rig/links"
)

// take carries out one step of the schedule.
func (w *world) take(s Step) error {
	l, key := s.What, fmt.Sprint(s.Fault, ".", s.Party)
	if s.Ends {
		w.lock.Lock()
		u := w.undo[key]
		delete(w.undo, key)
		w.lock.Unlock()
		if u != nil {
			u()
		}
		return nil
	}
	var undo func()
	var err error
	v, b := w.server(s.Party), w.broker(s.Party)
	switch l.Do {
	case "lose":
		undo = w.lose(l)
	case "cut":
		f := links.Fault{Source: l.From, Destination: l.To}
		f.Forward.Partitioned, f.Reverse.Partitioned = l.Way != "back", l.Way != "there"
		w.lost(l.From, l.To, true)
		over := w.truth(f)
		lift := w.net.Inject(f)
		undo = func() {
			lift()
			over()
			w.lost(l.From, l.To, false)
		}
	case "links":
		undo = w.net.Inject(links.Fault{Source: l.From, Destination: l.To, Forward: l.Link, Reverse: l.Link})
	case "refuse":
		undo = w.net.Inject(links.Fault{Source: l.From, Destination: l.To, Connect: links.ConnectRefused})
	case "sleep-owner":
		undo, err = w.quorum.sleepOwner()
	case "reset":
		w.net.ResetConnections(l.From, l.To)
	case "half-open":
		w.net.MakeHalfOpen(l.From, l.To)
	case "load":
		w.lock.Lock()
		w.times = l.Times
		w.lock.Unlock()
		undo = func() {
			w.lock.Lock()
			w.times = 1
			w.lock.Unlock()
		}
	case "freeze-list", "late-list":
		w.lock.Lock()
		defer w.lock.Unlock()
		if v != nil && l.Do == "freeze-list" {
			w.frozen[v.Name] = true
			undo = func() {
				w.lock.Lock()
				delete(w.frozen, v.Name)
				w.lock.Unlock()
				w.tell(v, 0)
			}
		} else if b != nil {
			w.late[b.name] = l.Ms
			if l.Do == "freeze-list" {
				w.late[b.name] = math.Inf(1)
			}
			undo = func() {
				w.lock.Lock()
				delete(w.late, b.name)
				w.lock.Unlock()
				for _, s := range w.servers {
					w.tellOne(s, b, 0)
				}
			}
		}
		w.undo[key] = undo
		return nil
	default:
		switch {
		case v != nil:
			undo, err = w.hurt(v, l)
		case b != nil && l.Do == "lose-disk":
			undo, err = w.quorum.loseDisk(b)
		case b != nil:
			undo, err = b.hurt(l)
		default:
			err = fmt.Errorf("nobody is called %q", s.Party)
		}
	}
	if undo != nil {
		w.lock.Lock()
		w.undo[key] = undo
		w.lock.Unlock()
	}
	return err
}

// lost notes that what lies at a site can't be reached from elsewhere, for the bound and for false alarms.
func (w *world) lost(from, to string, on bool) {
	for at, s := range w.Sites {
		if name := "@" + s.Name; name != from && name != to || from == "*" && to == "*" {
			continue
		}
		if name := "@" + s.Name; name == to && from != "*" && len(w.Sites) > 2 && from != name {
			continue // a way between two sites: both serve their own
		}
		w.mark(at, on, true)
	}
}

func (w *world) mark(at int, on, cut bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case on && math.IsInf(w.lostNow[at], -1):
		w.lostNow[at], w.cutNow[at] = w.now(), cut
	case !on && !math.IsInf(w.lostNow[at], -1):
		w.lostEver = append(w.lostEver, span{at, w.lostNow[at], w.now(), w.cutNow[at]})
		w.lostNow[at] = math.Inf(-1)
	}
}

// lose takes a site's machines away without a word, and its brokers with them. They return cold.
func (w *world) lose(l Fault) func() {
	name := strings.TrimPrefix(l.On, "@")
	at := 0
	for i, s := range w.Sites {
		if s.Name == name {
			at = i
		}
	}
	w.mark(at, true, false)
	over := w.truth(links.Fault{Source: l.On})
	cut := links.Conditions{Partitioned: true}
	lift := w.net.Inject(links.Fault{Source: "*", Destination: l.On, Forward: cut, Reverse: cut})
	liftToo := w.net.Inject(links.Fault{Source: l.On, Destination: "*", Forward: cut, Reverse: cut})
	var mine []*server
	for _, s := range w.servers {
		if s.Site == at {
			mine = append(mine, s)
			s.station.Silent(true)
			w.change(s, "gone", w.List.Gone)
		}
	}
	for _, b := range w.brokers {
		if b.site == at {
			b.kill()
		}
	}
	return func() {
		for _, s := range mine {
			s.frames.Die()
		}
		w.net.ResetConnections("*", l.On)
		w.net.ResetConnections(l.On, "*")
		for _, s := range mine {
			w.rise(s, l.NewIDs)
		}
		lift()
		liftToo()
		over()
		w.mark(at, false, false)
		for _, b := range w.brokers {
			if b.site == at {
				b.startAgain()
			}
		}
	}
}

// rise has a server start anew: cold, and the list tells of it in time.
func (w *world) rise(s *server, newID bool) {
	if err := s.frames.Rise(); err != nil {
		w.opt.Say("%s does not rise: %v", s.Name, err)
		return
	}
	s.station.Silent(false)
	s.station.Start()
	w.lock.Lock()
	old := *s
	s.started = w.now()
	if newID {
		s.serial++
		s.id = fmt.Sprintf("%s-%d", s.Name, s.serial)
	}
	w.lock.Unlock()
	if newID {
		for _, b := range w.brokers {
			gone := w.entry(&old, b.at)
			gone.Lifecycle = "gone"
			b.agent.tell(gone)
		}
	}
	w.change(s, "ready", w.List.Back)
}

// change has the list tell of a server after a time.
func (w *world) change(s *server, state string, after float64) {
	w.lock.Lock()
	s.state = state
	s.gen++
	gen := s.gen
	w.lock.Unlock()
	time.AfterFunc(time.Duration(after*1e6), func() {
		w.lock.Lock()
		mine := s.gen == gen && !w.frozen[s.Name]
		w.lock.Unlock()
		if mine {
			w.tell(s, 0)
		}
	})
}

func (w *world) tell(s *server, more float64) {
	for _, b := range w.brokers {
		w.tellOne(s, b, more)
	}
}

func (w *world) tellOne(s *server, b *process, more float64) {
	w.lock.Lock()
	e, late := w.entry(s, b.at), w.late[b.name]+more
	w.lock.Unlock()
	switch {
	case math.IsInf(late, 1):
	case late > 0:
		time.AfterFunc(time.Duration(late*1e6), func() { b.agent.tell(e) })
	default:
		b.agent.tell(e)
	}
}

// hurt brings one server into trouble.
func (w *world) hurt(s *server, l Fault) (undo func(), err error) {
	switch l.Do {
	case "slow":
		s.station.Slow(l.Times)
		return func() { s.station.Slow(1) }, nil
	case "mute", "stop":
		s.station.Silent(true)
		return func() { s.station.Silent(false) }, nil
	case "fail":
		s.station.Failing(0.7)
		return func() { s.station.Failing(0) }, nil
	case "kill":
		s.frames.Die()
		s.station.Silent(true)
		w.change(s, "gone", w.List.Gone)
		return func() { w.rise(s, l.NewIDs) }, nil
	}
	return nil, fmt.Errorf("%s is nothing for a server", l.Do)
}
