package ledger

import "time"

// Calendar divides time into periods of an operator's length in an operator's zone. It reads no clock: times are Unix
// milliseconds, given.
type Calendar struct {
	Zone    *time.Location
	Unit    PeriodUnit
	Hours   int   // of a period where Every is Hourly
	GraceMs int64 // ms after its end until a period is closed
}

// PeriodUnit is a kind of length.
type PeriodUnit uint8

// The kinds of periods.
const (
	Hourly PeriodUnit = iota // Hours at a time from the zone's midnight; the last of a day may be shorter or longer
	Daily
	Monthly
)

// PeriodStart gives the beginning of the period that a time is in.
func (c *Calendar) PeriodStart(at int64) int64 {
	t := time.UnixMilli(at).In(c.Zone)
	y, m, d := t.Date()
	switch c.Unit {
	case Monthly:
		return time.Date(y, m, 1, 0, 0, 0, 0, c.Zone).UnixMilli()
	case Daily:
		return time.Date(y, m, d, 0, 0, 0, 0, c.Zone).UnixMilli()
	}
	// By what has passed since midnight, not by what the clock on the wall says: in the night in which it is set back an hour
	// comes twice, and is two hours.
	midnight := time.Date(y, m, d, 0, 0, 0, 0, c.Zone).UnixMilli()
	length := int64(max(c.Hours, 1)) * 3600e3
	start := midnight + (at-midnight)/length*length
	if next := time.Date(y, m, d+1, 0, 0, 0, 0, c.Zone).UnixMilli(); start >= next {
		start = next - length
	}
	return start
}

// PeriodEnd gives the end of the period that begins at a time.
func (c *Calendar) PeriodEnd(start int64) int64 {
	t := time.UnixMilli(start).In(c.Zone)
	y, m, d := t.Date()
	switch c.Unit {
	case Monthly:
		return time.Date(y, m+1, 1, 0, 0, 0, 0, c.Zone).UnixMilli()
	case Daily:
		return time.Date(y, m, d+1, 0, 0, 0, 0, c.Zone).UnixMilli()
	}
	return min(start+int64(max(c.Hours, 1))*3600e3, time.Date(y, m, d+1, 0, 0, 0, 0, c.Zone).UnixMilli())
}

// Clock gives the ledger's time from the system's two clocks. It never goes back: a period that has begun has begun. A
// wall clock that is set back makes it go on at the pace of the steady one but no further than the end of the grace
// before it stands; one that jumps ahead is believed once it has stayed there for a while, so that a wrong second does not
// close a month.
type Clock struct {
	MaxDriftMs    int64 // ms: a difference under it is the ordinary drift of clocks
	JumpConfirmMs int64 // ms by the steady clock for which a jump ahead must last
	lastNow       int64 // the ledger's time
	lastSteady    int64
	aheadSince    int64 // since when, by the steady clock, the wall has been ahead; 0: it is not
	started       bool
	stoodMs       int64 // ms by the steady clock since it stands
	BehindMs      int64 // how far the wall clock is behind now, 0 where it is not
	JumpsAccepted int64 // jumps ahead that were believed
	TimesSetBack  int64 // times that it was found to be set back
}

// Resume goes on from the highest time that was ever recorded, 0 where there is none.
func (k *Clock) Resume(highest int64) { k.lastNow = highest }

// Now gives the ledger's time. steady only ever grows; wall may do as it likes.
func (k *Clock) Now(wall, steady int64) int64 {
	if !k.started {
		k.started, k.lastSteady = true, steady
		if wall >= k.lastNow {
			k.lastNow = wall
		} else {
			k.BehindMs, k.TimesSetBack = k.lastNow-wall, k.TimesSetBack+1
		}
		return k.lastNow
	}
	passed := max(steady-k.lastSteady, 0)
	k.lastSteady = max(steady, k.lastSteady)
	due := k.lastNow + passed
	if k.BehindMs > 0 {
		// It stands until the wall has come up to it; how long that took is no drift of the wall's.
		k.stoodMs += passed
		if wall < k.lastNow {
			k.BehindMs = k.lastNow - wall
			return k.lastNow
		}
		due, k.BehindMs, k.stoodMs = k.lastNow+k.stoodMs, 0, 0
		if wall <= due+k.MaxDriftMs {
			k.lastNow = wall
			return k.lastNow
		}
	}
	switch {
	case wall > due+k.MaxDriftMs:
		if k.aheadSince == 0 {
			k.aheadSince = max(steady, 1)
		}
		if steady-k.aheadSince >= k.JumpConfirmMs {
			k.JumpsAccepted++
			k.aheadSince, k.lastNow = 0, wall
			k.BehindMs = 0
			return k.lastNow
		}
		k.lastNow = due
	case wall < due-k.MaxDriftMs:
		// Set back. The ledger's time stands, or the same hour would be counted into two periods.
		if k.BehindMs == 0 {
			k.TimesSetBack++
		}
		k.aheadSince = 0
		k.BehindMs = max(k.lastNow-wall, 1)
	default:
		k.aheadSince, k.BehindMs = 0, 0
		k.lastNow = max(wall, k.lastNow)
	}
	return k.lastNow
}
