package fleetsim

import (
	"math"

	"kestrelspread/internal/aggregator/policy"
)

// server is a simulated server.
type server struct {
	id, site, cell        int
	startedAtMs           float64
	announcedAtMs         float64 // when its restart was announced; +Inf: not yet
	unresponsive, failing bool
	busySlots             int
	waiting               []func()
	recentAttempts        []float64
	received              map[int]int
}

// restartServer restarts a server, and notifies the brokers a while later.
func (sim *simulation) restartServer(s *server) {
	s.startedAtMs = sim.now
	s.busySlots = 0
	s.waiting = nil
	s.announcedAtMs = math.Inf(1)
	startedAtMs := sim.now
	sim.after(sim.NotificationMs*(0.5+sim.random.Float64()), func() {
		s.announcedAtMs = sim.now
		for _, b := range sim.brokers {
			b.notify(func(p policy.Decider) { p.UpdateServer(s.id, s.site, s.cell, policy.Ready, 1, startedAtMs) })
		}
	})
}

// deliver delivers an attempt to a server, unless a fault has intervened.
func (sim *simulation) deliver(b *broker, s *server, a *attempt) {
	if !sim.isReachable(b, s) {
		return
	}
	s.recordAttempt(sim)
	switch {
	case s.unresponsive:
	case s.failing:
		sim.result.FailedAttempts++
		sim.after(sim.DelayMs, func() { b.endAttempt(a, policy.Errored) })
	case len(s.waiting) >= sim.ServerModel.QueueLength:
		sim.after(sim.DelayMs, func() { b.endAttempt(a, policy.Rejected) })
	default:
		s.process(sim, a, func() {
			sim.after(sim.DelayMs, func() {
				if sim.isReachable(b, s) {
					b.endAttempt(a, policy.Answered)
				}
			})
		})
	}
}

// recordAttempt records an attempt that a server received. For a server in slow start it is held against its capacity by age, else
// against that of a full second.
func (s *server) recordAttempt(sim *simulation) {
	model := sim.ServerModel
	age := sim.now - s.startedAtMs
	if age >= model.WarmUpMs {
		second := -int(sim.now / 1000) // negative: apart from the tenths of seconds of a slow start
		s.received[second]++
		sim.result.MaxWarmLoad = max(sim.result.MaxWarmLoad, float64(s.received[second])/model.CapacityPerS())
		return
	}
	s.recentAttempts = append(s.recentAttempts, sim.now)
	for len(s.recentAttempts) > 0 && s.recentAttempts[0] < sim.now-model.OverloadWindowMs {
		s.recentAttempts = s.recentAttempts[1:]
	}
	capacity := model.CapacityPerS() / 1000 * model.OverloadWindowMs * model.WarmShare(age-model.OverloadWindowMs/2)
	load := float64(len(s.recentAttempts)) / (model.OverloadFactor * capacity)
	if sim.now > s.announcedAtMs+model.OverloadWindowMs {
		sim.result.MaxWarmUpLoad = max(sim.result.MaxWarmUpLoad, load)
	} else {
		sim.result.MaxUnannouncedLoad = max(sim.result.MaxUnannouncedLoad, load)
	}
	tenth := int(sim.now / 100)
	s.received[tenth]++
	sim.result.MaxBurstAfterReturn = max(sim.result.MaxBurstAfterReturn, s.received[tenth])
}

// process runs an attempt in a slot, or queues it. end is called as it completes, unless the server has restarted.
func (s *server) process(sim *simulation, a *attempt, end func()) {
	startedAtMs := s.startedAtMs
	start := func() {
		s.busySlots++
		sim.after(s.drawServiceMs(sim), func() {
			if s.startedAtMs != startedAtMs {
				return
			}
			s.busySlots--
			end()
			for len(s.waiting) > 0 && s.busySlots < sim.ServerModel.Slots {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	if s.busySlots < sim.ServerModel.Slots {
		start()
		return
	}
	s.waiting = append(s.waiting, func() {
		if !a.finished {
			start()
		}
	})
}

// drawServiceMs draws a log-normal service time, which is longer in slow start.
func (s *server) drawServiceMs(sim *simulation) float64 {
	model := sim.ServerModel
	sigma := math.Sqrt(math.Log(1 + model.WorkCV*model.WorkCV))
	return model.WorkMs * math.Exp(sigma*sim.random.NormFloat64()-sigma*sigma/2) / model.WarmShare(sim.now-s.startedAtMs)
}
