package main

import "time"

// Times of the case.
const (
	lingerAfterAck = 12 * time.Second // the broker serves on; drainMs and "at times many seconds"
	killAfterAck   = 50 * time.Millisecond
	downTime       = time.Second
	// Machines are in touch twice contactMs after a final fault that took most of the core; the slack is in the fleet's favour.
	inTouchAfter = 2*contactMs*time.Millisecond + 200*time.Millisecond
)

// deregistered: a broker that never says draining deregisters and is acknowledged. Right after that all processes are killed, and
// are back a second later with their disks. DRAIN: no request that machines in touch send on may reach the broker later than drainMs
// after the acknowledgement.
func deregistered(s *scene) int {
	f, err := newFleet(s.record, s.program, 5, 3, nil)
	if err != nil {
		return s.cannotRun(err)
	}
	defer f.close()
	if err := startAll(f.nodes); err != nil {
		return s.cannotRun(err)
	}
	routes := []map[string]any{route("r-print", "/print/", "unsafe", "labels", 1500, 1)}
	if err := f.replace(0, configuration(3, routes, "labels"), 15*time.Second); err != nil {
		return s.cannotRun(err)
	}
	seen := &arrivals{}
	var brokers []*broker
	for i := range 3 {
		b, err := startBroker(f, seen, "labels", i, 200*time.Millisecond)
		if err != nil {
			return s.cannotRun(err)
		}
		defer b.end()
		brokers = append(brokers, b)
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return s.cannotRun(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	c := &clients{fleet: f, platform: newPlatform(f, stop), path: "/print/", deadline: 1500 * time.Millisecond}
	go func() { defer close(stopped); c.run(60, stop) }()
	time.Sleep(6 * time.Second)

	leaving := brokers[0]
	ackedAt := leaving.deregister()
	backAt := ackedAt
	if s.trouble {
		time.Sleep(time.Until(ackedAt.Add(killAfterAck)))
		killAll(f.nodes)
		time.Sleep(downTime)
		if err := startAll(f.nodes); err != nil {
			return s.cannotRun(err)
		}
		backAt = time.Now()
	}
	time.Sleep(time.Until(ackedAt.Add(lingerAfterAck)))
	leaving.end()
	time.Sleep(3 * time.Second)
	close(stop)
	<-stopped
	return s.judgeDrain(c, seen, leaving, ackedAt, backAt)
}

// judgeDrain counts the requests that break DRAIN, and what became of them.
func (s *scene) judgeDrain(c *clients, seen *arrivals, leaving *broker, ackedAt, backAt time.Time) int {
	sent := c.byID()
	inTouchFrom := ackedAt
	if s.trouble {
		inTouchFrom = backAt.Add(inTouchAfter)
	}
	late, lost, others, answered := 0, 0, 0, 0
	var last time.Time
	for _, one := range seen.snapshot() {
		request := sent[one.id]
		if request.sentAt.Before(inTouchFrom) {
			continue
		}
		if one.broker != leaving.id {
			others++
			continue
		}
		if one.at.Sub(ackedAt) <= drainMs*time.Millisecond {
			continue
		}
		late++
		last = one.at
		if request.status == 200 {
			answered++
		} else {
			lost++
		}
	}
	s.record.say("deregistration acknowledged at %s, all processes back at %s, judged from %s on", s.record.at(ackedAt), s.record.at(backAt), s.record.at(inTouchFrom))
	s.record.say("requests that reached the other brokers meanwhile: %d", others)
	s.record.say("requests that reached the deregistered broker later than drainMs: %d, answered %d, not answered with success %d", late, answered, lost)
	if late == 0 {
		return held
	}
	s.record.say("the last of them %.1f s after the acknowledgement", last.Sub(ackedAt).Seconds())
	return broken
}
