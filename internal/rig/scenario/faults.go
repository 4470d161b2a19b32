package scenario

import (
	"fmt"
	"math"
	"strings"
	"time"

	"kestrelspread/internal/rig/links"
)

// applyStep carries out one step of the schedule.
func (run *runner) applyStep(s Step) error {
	l, key := s.Fault, fmt.Sprint(s.FaultIndex, ".", s.Target)
	if s.Ends {
		run.mutex.Lock()
		u := run.activeFaults[key]
		delete(run.activeFaults, key)
		run.mutex.Unlock()
		if u != nil {
			u()
		}
		return nil
	}
	var undo func()
	var err error
	v, b := run.server(s.Target), run.broker(s.Target)
	switch l.Action {
	case "lose":
		undo = run.loseSite(l)
	case "cut":
		f := links.Fault{Source: l.Source, Destination: l.Destination}
		f.Forward.Partitioned, f.Reverse.Partitioned = l.Direction != "back", l.Direction != "there"
		run.recordPartition(l.Source, l.Destination, true)
		over := run.recordFault(f)
		lift := run.network.Inject(f)
		undo = func() {
			lift()
			over()
			run.recordPartition(l.Source, l.Destination, false)
		}
	case "links":
		undo = run.network.Inject(links.Fault{Source: l.Source, Destination: l.Destination, Forward: l.Conditions, Reverse: l.Conditions})
	case "refuse":
		undo = run.network.Inject(links.Fault{Source: l.Source, Destination: l.Destination, Connect: links.ConnectRefused})
	case "sleep-owner":
		undo, err = run.leases.suspendHolder()
	case "reset":
		run.network.ResetConnections(l.Source, l.Destination)
	case "half-open":
		run.network.MakeHalfOpen(l.Source, l.Destination)
	case "load":
		run.mutex.Lock()
		run.loadFactor = l.Factor
		run.mutex.Unlock()
		undo = func() {
			run.mutex.Lock()
			run.loadFactor = 1
			run.mutex.Unlock()
		}
	case "freeze-list", "late-list":
		run.mutex.Lock()
		defer run.mutex.Unlock()
		if v != nil && l.Action == "freeze-list" {
			run.frozenServers[v.Name] = true
			undo = func() {
				run.mutex.Lock()
				delete(run.frozenServers, v.Name)
				run.mutex.Unlock()
				run.updateDiscovery(v, 0)
			}
		} else if b != nil {
			run.discoveryLagMs[b.name] = l.DelayMs
			if l.Action == "freeze-list" {
				run.discoveryLagMs[b.name] = math.Inf(1)
			}
			undo = func() {
				run.mutex.Lock()
				delete(run.discoveryLagMs, b.name)
				run.mutex.Unlock()
				for _, s := range run.servers {
					run.updateDiscoveryAt(s, b, 0)
				}
			}
		}
		run.activeFaults[key] = undo
		return nil
	default:
		switch {
		case v != nil:
			undo, err = run.injectServerFault(v, l)
		case b != nil && l.Action == "lose-disk":
			undo, err = run.leases.loseDisk(b)
		case b != nil:
			undo, err = b.injectFault(l)
		default:
			err = fmt.Errorf("nobody is called %q", s.Target)
		}
	}
	if undo != nil {
		run.mutex.Lock()
		run.activeFaults[key] = undo
		run.mutex.Unlock()
	}
	return err
}

// recordPartition notes that what lies at a site can't be reached from elsewhere, for the bound and for false alarms.
func (run *runner) recordPartition(from, to string, on bool) {
	for at, s := range run.Sites {
		if name := "@" + s.Name; name != from && name != to || from == "*" && to == "*" {
			continue
		}
		if name := "@" + s.Name; name == to && from != "*" && len(run.Sites) > 2 && from != name {
			continue // a way between two sites: both serve their own
		}
		run.recordSiteLoss(at, on, true)
	}
}

func (run *runner) recordSiteLoss(at int, on, cut bool) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	switch {
	case on && math.IsInf(run.siteLostSinceMs[at], -1):
		run.siteLostSinceMs[at], run.sitePartitioned[at] = run.now(), cut
	case !on && !math.IsInf(run.siteLostSinceMs[at], -1):
		run.siteLosses = append(run.siteLosses, siteLoss{at, run.siteLostSinceMs[at], run.now(), run.sitePartitioned[at]})
		run.siteLostSinceMs[at] = math.Inf(-1)
	}
}

// loseSite takes a site's machines away without a word, and its brokers with them. They return cold.
func (run *runner) loseSite(l Fault) func() {
	name := strings.TrimPrefix(l.Target, "@")
	at := 0
	for i, s := range run.Sites {
		if s.Name == name {
			at = i
		}
	}
	run.recordSiteLoss(at, true, false)
	over := run.recordFault(links.Fault{Source: l.Target})
	cut := links.Conditions{Partitioned: true}
	lift := run.network.Inject(links.Fault{Source: "*", Destination: l.Target, Forward: cut, Reverse: cut})
	liftToo := run.network.Inject(links.Fault{Source: l.Target, Destination: "*", Forward: cut, Reverse: cut})
	var mine []*server
	for _, s := range run.servers {
		if s.Site == at {
			mine = append(mine, s)
			s.model.Silent(true)
			run.scheduleDiscovery(s, "gone", run.Discovery.RemovalMs)
		}
	}
	for _, b := range run.brokers {
		if b.site == at {
			b.kill()
		}
	}
	return func() {
		for _, s := range mine {
			s.frames.Die()
		}
		run.network.ResetConnections("*", l.Target)
		run.network.ResetConnections(l.Target, "*")
		for _, s := range mine {
			run.restartServer(s, l.NewIDs)
		}
		lift()
		liftToo()
		over()
		run.recordSiteLoss(at, false, false)
		for _, b := range run.brokers {
			if b.site == at {
				b.restart()
			}
		}
	}
}

// restartServer has a server start anew: cold, and the list tells of it in time.
func (run *runner) restartServer(s *server, newID bool) {
	if err := s.frames.Rise(); err != nil {
		run.options.Printf("%s does not rise: %v", s.Name, err)
		return
	}
	s.model.Silent(false)
	s.model.Start()
	run.mutex.Lock()
	old := *s
	s.startedAtMs = run.now()
	if newID {
		s.idGeneration++
		s.id = fmt.Sprintf("%s-%d", s.Name, s.idGeneration)
	}
	run.mutex.Unlock()
	if newID {
		for _, b := range run.brokers {
			gone := run.entry(&old, b.index)
			gone.Lifecycle = "gone"
			b.agent.update(gone)
		}
	}
	run.scheduleDiscovery(s, "ready", run.Discovery.ReturnMs)
}

// scheduleDiscovery has the list tell of a server after a time.
func (run *runner) scheduleDiscovery(s *server, state string, after float64) {
	run.mutex.Lock()
	s.lifecycle = state
	s.discoveryGeneration++
	gen := s.discoveryGeneration
	run.mutex.Unlock()
	time.AfterFunc(time.Duration(after*1e6), func() {
		run.mutex.Lock()
		mine := s.discoveryGeneration == gen && !run.frozenServers[s.Name]
		run.mutex.Unlock()
		if mine {
			run.updateDiscovery(s, 0)
		}
	})
}

func (run *runner) updateDiscovery(s *server, more float64) {
	for _, b := range run.brokers {
		run.updateDiscoveryAt(s, b, more)
	}
}

func (run *runner) updateDiscoveryAt(s *server, b *brokerProcess, more float64) {
	run.mutex.Lock()
	e, late := run.entry(s, b.index), run.discoveryLagMs[b.name]+more
	run.mutex.Unlock()
	switch {
	case math.IsInf(late, 1):
	case late > 0:
		time.AfterFunc(time.Duration(late*1e6), func() { b.agent.update(e) })
	default:
		b.agent.update(e)
	}
}

// injectServerFault brings one server into trouble.
func (run *runner) injectServerFault(s *server, l Fault) (undo func(), err error) {
	switch l.Action {
	case "slow":
		s.model.Slow(l.Factor)
		return func() { s.model.Slow(1) }, nil
	case "mute", "stop":
		s.model.Silent(true)
		return func() { s.model.Silent(false) }, nil
	case "fail":
		s.model.Failing(0.7)
		return func() { s.model.Failing(0) }, nil
	case "kill":
		s.frames.Die()
		s.model.Silent(true)
		run.scheduleDiscovery(s, "gone", run.Discovery.RemovalMs)
		return func() { run.restartServer(s, l.NewIDs) }, nil
	}
	return nil, fmt.Errorf("%s is nothing for a server", l.Action)
}
