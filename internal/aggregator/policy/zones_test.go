package policy

import (
	"testing"
)

// Guards against noticing the loss of a zone server by server: each server lost searches first, and
// the attempts that were cancelled there looked like an overload.
func TestLostZoneIsEjectedAtOnceAndItsTrialsAreSpread(t *testing.T) {
	p, _ := newTestPolicy(20, nil)
	p.BeginRound(5000)
	for i := range 20 {
		p.UpdateServer(i, i%2, i, Ready, 1, 0)
	}
	p.ZoneChanged(1, true, 5000)
	p.EndRound()
	early := 0
	for i, s := range p.servers {
		failIf(t, s.ejected != (i%2 == 1), "server %d ejected: %v", i, s.ejected)
		if s.ejected && s.trialAt < 7500 {
			early++
		}
	}
	failIf(t, early < 1 || early > 9, "%d of 10 trials in the first half of the spread, want 1 to 9", early)
	p.ZoneChanged(1, false, 200)
	for i, s := range p.servers {
		failIf(t, s.ejected && s.trialAt > 5200, "trial of server %d at %.0f, want no later than 5200", i, s.trialAt)
	}
}

// A slow zone that is taken for lost for a moment must be usable again at once: with a trial for
// each server it stayed out of use for seconds.
func TestFalseZoneLossIsUndone(t *testing.T) {
	p, _ := newTestPolicy(20, nil)
	p.BeginRound(4000)
	for i := range 20 {
		p.UpdateServer(i, i%2, i, Ready, 1, 0)
	}
	p.eject(1, true, "silent")
	p.eject(3, false, "errors")
	p.EndRound()
	p.BeginRound(5000)
	p.ZoneChanged(1, true, 5000)
	p.servers[5].connectFailed = true // a connect has failed since, so this server stays ejected
	p.EndRound()
	p.BeginRound(5080)
	p.ZoneChanged(1, false, -80)
	p.EndRound()
	for i, s := range p.servers {
		failIf(t, s.ejected != (i == 1 || i == 5), "server %d ejected: %v", i, s.ejected)
	}
	failIf(t, p.outageSince != 0, "outage since %.0f, want none", p.outageSince)
}
