package ledger

// Clock gives the ledger's time from the system's two clocks. It never goes back: a period that has begun has begun. After a
// wall clock was set back it stands until that has come up to it. A wall clock that jumps ahead is believed once it has
// stayed there for JumpConfirmMs, so that one wrong second closes no month; until then the ledger's time follows the steady
// clock.
type Clock struct {
	MaxDriftMs    int64 // a smaller difference is the ordinary drift of clocks
	JumpConfirmMs int64 // by the steady clock: how long a jump ahead must last

	BehindMs      int64 // how far the wall clock is behind now, 0 where it is not
	JumpsAccepted int64 // jumps ahead that were believed
	TimesSetBack  int64 // times that the wall clock was found to be set back

	started    bool
	lastNow    int64 // the ledger's time
	lastSteady int64
	aheadSince int64 // since when, by the steady clock, the wall clock has been ahead; 0: it is not
	stoodMs    int64 // by the steady clock, since the ledger's time stands
}

// Resume continues from the highest time that was ever recorded, 0 where there is none.
func (k *Clock) Resume(highest int64) { k.lastNow = highest }

// Now returns the ledger's time, Unix ms. steady only ever grows; wall may do as it likes.
func (k *Clock) Now(wall, steady int64) int64 {
	if !k.started {
		k.start(wall, steady)
		return k.lastNow
	}
	passed := max(steady-k.lastSteady, 0)
	k.lastSteady = max(steady, k.lastSteady)
	expected := k.lastNow + passed
	if k.BehindMs > 0 {
		// How long the wall clock took to come up is no drift of it.
		k.stoodMs += passed
		if wall < k.lastNow {
			k.BehindMs = k.lastNow - wall
			return k.lastNow
		}
		expected = k.lastNow + k.stoodMs
		k.BehindMs, k.stoodMs = 0, 0
		if wall <= expected+k.MaxDriftMs {
			k.lastNow = wall
			return k.lastNow
		}
	}
	switch {
	case wall > expected+k.MaxDriftMs:
		k.followAhead(wall, steady, expected)
	case wall < expected-k.MaxDriftMs:
		k.stand(wall)
	default:
		k.aheadSince, k.BehindMs = 0, 0
		k.lastNow = max(wall, k.lastNow)
	}
	return k.lastNow
}

func (k *Clock) start(wall, steady int64) {
	k.started, k.lastSteady = true, steady
	if wall >= k.lastNow {
		k.lastNow = wall
		return
	}
	k.BehindMs = k.lastNow - wall
	k.TimesSetBack++
}

// followAhead takes a wall clock that is ahead: for real once it has lasted.
func (k *Clock) followAhead(wall, steady, expected int64) {
	if k.aheadSince == 0 {
		k.aheadSince = max(steady, 1)
	}
	if steady-k.aheadSince < k.JumpConfirmMs {
		k.lastNow = expected
		return
	}
	k.JumpsAccepted++
	k.aheadSince = 0
	k.BehindMs = 0
	k.lastNow = wall
}

// stand takes a wall clock that was set back. The ledger's time stands, or the same hour would be counted into two periods.
func (k *Clock) stand(wall int64) {
	if k.BehindMs == 0 {
		k.TimesSetBack++
	}
	k.aheadSince = 0
	k.BehindMs = max(k.lastNow-wall, 1)
}
