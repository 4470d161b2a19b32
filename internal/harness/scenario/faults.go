package scenario

import (
	"fmt"
	"math"
	"strings"
	"time"

	"kestrelspread/internal/harness/links"
)

// applyStep injects the fault of a step of the schedule, or removes it.
func (run *runner) applyStep(step Step) error {
	key := fmt.Sprint(step.FaultIndex, ".", step.Target)
	if step.Ends {
		run.mutex.Lock()
		remove := run.activeFaults[key]
		delete(run.activeFaults, key)
		run.mutex.Unlock()
		if remove != nil {
			remove()
		}
		return nil
	}
	remove, err := run.inject(step.Fault, step.Target)
	if remove != nil {
		run.mutex.Lock()
		run.activeFaults[key] = remove
		run.mutex.Unlock()
	}
	return err
}

// inject injects a fault. remove is nil if it has no end.
func (run *runner) inject(fault Fault, target string) (remove func(), err error) {
	switch fault.Action {
	case "lose":
		return run.loseSite(fault), nil
	case "cut":
		return run.partition(fault), nil
	case "links":
		return run.network.Inject(links.Fault{
			Source: fault.Source, Destination: fault.Destination, Forward: fault.Conditions, Reverse: fault.Conditions,
		}), nil
	case "refuse":
		return run.network.Inject(links.Fault{Source: fault.Source, Destination: fault.Destination, Connect: links.ConnectRefused}), nil
	case "sleep-owner":
		return run.leases.suspendHolder()
	case "reset":
		run.network.ResetConnections(fault.Source, fault.Destination)
		return nil, nil
	case "half-open":
		run.network.MakeHalfOpen(fault.Source, fault.Destination)
		return nil, nil
	case "load":
		run.setLoadFactor(fault.Factor)
		return func() { run.setLoadFactor(1) }, nil
	case "freeze-list", "late-list":
		return run.delayDiscovery(fault, target), nil
	}
	s, b := run.server(target), run.broker(target)
	switch {
	case s != nil:
		return run.injectServerFault(s, fault)
	case b != nil && fault.Action == "lose-disk":
		return run.leases.loseDisk(b)
	case b != nil:
		return b.injectFault(fault)
	default:
		return nil, fmt.Errorf("nobody is called %q", target)
	}
}

// partition partitions the network between two patterns, in one direction or both.
func (run *runner) partition(fault Fault) (remove func()) {
	f := links.Fault{Source: fault.Source, Destination: fault.Destination}
	f.Forward.Partitioned = fault.Direction != "back"
	f.Reverse.Partitioned = fault.Direction != "there"
	run.recordPartition(fault.Source, fault.Destination, true)
	end := run.recordFault(f)
	removeFault := run.network.Inject(f)
	return func() {
		removeFault()
		end()
		run.recordPartition(fault.Source, fault.Destination, false)
	}
}

// setLoadFactor multiplies the load from now on.
func (run *runner) setLoadFactor(factor float64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.loadFactor = factor
}

// delayDiscovery suspends the updates about a server, or delays or suspends the updates of a broker.
func (run *runner) delayDiscovery(fault Fault, target string) (remove func()) {
	s, b := run.server(target), run.broker(target)
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if s != nil && fault.Action == "freeze-list" {
		run.frozenServers[s.Name] = true
		return func() {
			run.mutex.Lock()
			delete(run.frozenServers, s.Name)
			run.mutex.Unlock()
			run.updateDiscovery(s)
		}
	}
	if b == nil {
		return nil
	}
	run.discoveryLagMs[b.name] = fault.DelayMs
	if fault.Action == "freeze-list" {
		run.discoveryLagMs[b.name] = math.Inf(1)
	}
	return func() {
		run.mutex.Lock()
		delete(run.discoveryLagMs, b.name)
		run.mutex.Unlock()
		for _, s := range run.servers {
			run.updateDiscoveryAt(s, b)
		}
	}
}

// recordPartition records the sites that a partition makes unreachable from others, for the false alarms.
func (run *runner) recordPartition(from, to string, on bool) {
	for at, s := range run.Sites {
		if name := "@" + s.Name; name != from && name != to || from == "*" && to == "*" {
			continue
		}
		if name := "@" + s.Name; name == to && from != "*" && len(run.Sites) > 2 && from != name {
			continue // a partition between two of several sites: neither is lost
		}
		run.recordSiteLoss(at, on, true)
	}
}

// recordSiteLoss records that a site is lost, or has returned. The first cause counts.
func (run *runner) recordSiteLoss(at int, on, partitioned bool) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	switch {
	case on && math.IsInf(run.siteLostSinceMs[at], -1):
		run.siteLostSinceMs[at], run.sitePartitioned[at] = run.now(), partitioned
	case !on && !math.IsInf(run.siteLostSinceMs[at], -1):
		run.siteLosses = append(run.siteLosses, siteLoss{at, run.siteLostSinceMs[at], run.now(), run.sitePartitioned[at]})
		run.siteLostSinceMs[at] = math.Inf(-1)
	}
}

// loseSite ends all servers and brokers of a site without notice. The servers return with a slow start.
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
	blocked := links.Conditions{Partitioned: true}
	lift := run.network.Inject(links.Fault{Source: "*", Destination: l.Target, Forward: blocked, Reverse: blocked})
	liftToo := run.network.Inject(links.Fault{Source: l.Target, Destination: "*", Forward: blocked, Reverse: blocked})
	var mine []*server
	for _, s := range run.servers {
		if s.Site == at {
			mine = append(mine, s)
			s.model.SetUnresponsive(true)
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
			s.frames.Kill()
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

// restartServer restarts a server with a slow start, and schedules the update of discovery.
func (run *runner) restartServer(s *server, newID bool) {
	if err := s.frames.Restart(); err != nil {
		run.options.Printf("%s does not rise: %v", s.Name, err)
		return
	}
	s.model.SetUnresponsive(false)
	s.model.Restart()
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

// scheduleDiscovery schedules an update of discovery about a server. A later one replaces it.
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
			run.updateDiscovery(s)
		}
	})
}

// updateDiscovery notifies all brokers of the present state of a server.
func (run *runner) updateDiscovery(s *server) {
	for _, b := range run.brokers {
		run.updateDiscoveryAt(s, b)
	}
}

// updateDiscoveryAt notifies one broker of the present state of a server, after the broker's lag; never if that is infinite.
func (run *runner) updateDiscoveryAt(s *server, b *brokerProcess) {
	run.mutex.Lock()
	entry, lagMs := run.entry(s, b.index), run.discoveryLagMs[b.name]
	run.mutex.Unlock()
	switch {
	case math.IsInf(lagMs, 1):
	case lagMs > 0:
		time.AfterFunc(milliseconds(lagMs), func() { b.agent.update(entry) })
	default:
		b.agent.update(entry)
	}
}

// milliseconds is a duration of so many milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * 1e6) }

// injectServerFault injects a fault into one server.
func (run *runner) injectServerFault(s *server, l Fault) (remove func(), err error) {
	switch l.Action {
	case "slow":
		s.model.SetSlowdown(l.Factor)
		return func() { s.model.SetSlowdown(1) }, nil
	case "mute", "stop":
		s.model.SetUnresponsive(true)
		return func() { s.model.SetUnresponsive(false) }, nil
	case "fail":
		s.model.SetFailingShare(0.7)
		return func() { s.model.SetFailingShare(0) }, nil
	case "kill":
		s.frames.Kill()
		s.model.SetUnresponsive(true)
		run.scheduleDiscovery(s, "gone", run.Discovery.RemovalMs)
		return func() { run.restartServer(s, l.NewIDs) }, nil
	}
	return nil, fmt.Errorf("%s is nothing for a server", l.Action)
}
