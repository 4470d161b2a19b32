package policy

import (
	"testing"
)

// A hall that went took searches with it server by server, and what was called off there read as a
// fleetsim.
func TestLostZoneIsEjectedAtOnceAndItsTrialsAreSpread(t *testing.T) {
	b, _ := newTestPolicy(20, nil)
	b.Begin(5000)
	for i := range 20 {
		b.Server(i, i%2, i, Ready, 1, 0)
	}
	b.ZoneChanged(1, true, 5000)
	b.End()
	early := 0
	for i, s := range b.servers {
		failIf(t, s.ejected != (i%2 == 1), "server %d aside: %v", i, s.ejected)
		if s.ejected && s.trialAt < 7500 {
			early++
		}
	}
	failIf(t, early < 1 || early > 9, "%d of 10 trials in the first half", early)
	b.ZoneChanged(1, false, 200)
	for i, s := range b.servers {
		failIf(t, s.ejected && s.trialAt > 5200, "server %d is tried at %.0f", i, s.trialAt)
	}
}

// A slow hall that was held to be lost for a moment is as before at once: tried server by server it
// was out of use for seconds.
func TestFalseZoneLossIsUndone(t *testing.T) {
	b, _ := newTestPolicy(20, nil)
	b.Begin(4000)
	for i := range 20 {
		b.Server(i, i%2, i, Ready, 1, 0)
	}
	b.eject(1, true, "silent")
	b.eject(3, false, "errors")
	b.End()
	b.Begin(5000)
	b.ZoneChanged(1, true, 5000)
	b.servers[5].connectFailed = true // a connect failed there since: that stays
	b.End()
	b.Begin(5080)
	b.ZoneChanged(1, false, -80)
	b.End()
	for i, s := range b.servers {
		failIf(t, s.ejected != (i == 1 || i == 5), "server %d aside: %v", i, s.ejected)
	}
	failIf(t, b.outageSince != 0, "an outage since %.0f", b.outageSince)
}
