package main

import "time"

// Times of the case.
const (
	longWork  = 1200 * time.Millisecond // of a request that may be repeated
	leaveTime = 150 * time.Millisecond  // when clients close their connections: half of the route's objective
	goneAfter = 500 * time.Millisecond
)

// gone: a third of the clients of a safe route close their connections while brokers work. GONE: half a second later, brokers may still be at work on
// a quarter of the repeatable requests that would have lasted so long, not on more.
func gone(s *scene) int {
	f, err := newFleet(s.record, s.program, 5, 3, nil)
	if err != nil {
		return s.cannotRun(err)
	}
	defer f.close()
	if err := startAll(f.nodes); err != nil {
		return s.cannotRun(err)
	}
	routes := []map[string]any{route("r-lookup", "/lookup/", "safe", "labels", 3000, 1)}
	if err := f.replace(0, configuration(3, routes, "labels"), 15*time.Second); err != nil {
		return s.cannotRun(err)
	}
	seen := &arrivals{}
	for i := range 3 {
		b, err := startBroker(f, seen, "labels", i, longWork)
		if err != nil {
			return s.cannotRun(err)
		}
		defer b.end()
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return s.cannotRun(err)
	}
	time.Sleep((contactMs + 500) * time.Millisecond)
	stop, stopped := make(chan struct{}), make(chan struct{})
	c := &clients{fleet: f, platform: newPlatform(f, stop), path: "/lookup/", deadline: 3 * time.Second}
	if s.trouble {
		c.leaveAfter, c.leavingShare = leaveTime, 1.0/3
	}
	go func() { defer close(stopped); c.run(8, stop) }()
	time.Sleep(12 * time.Second)
	close(stop)
	<-stopped
	time.Sleep(3 * time.Second)
	left, working := 0, 0
	sent := c.byID()
	for _, one := range seen.snapshot() {
		request := sent[one.id]
		if !request.leaves || one.ranAt.IsZero() || one.ranAt.Add(longWork).Before(request.sentAt.Add(leaveTime+goneAfter)) {
			continue
		}
		left++
		if one.endedAt.IsZero() || one.endedAt.After(request.sentAt.Add(leaveTime+goneAfter)) {
			working++
		}
	}
	s.record.say("requests whose clients left and that would have lasted half a second longer: %d, brokers still at work then on %d", left, working)
	if 4*working > left {
		return broken
	}
	return held
}
