package ledger

import "time"

// Calendar divides time into periods of an operator's length in an operator's zone. It reads no clock: times are Unix
// milliseconds, given.
type Calendar struct {
	Zone  *time.Location
	Every Every
	Hours int   // of a period where Every is Hourly
	Grace int64 // ms after its end until a period is closed
}

// Every is a kind of length.
type Every uint8

// The kinds of periods.
const (
	Hourly Every = iota // Hours at a time from the zone's midnight; the last of a day may be shorter or longer
	Daily
	Monthly
)

// Period gives the beginning of the period that a time is in.
func (c *Calendar) Period(at int64) int64 {
	t := time.UnixMilli(at).In(c.Zone)
	y, m, d := t.Date()
	switch c.Every {
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

// End gives the end of the period that begins at a time.
func (c *Calendar) End(start int64) int64 {
	t := time.UnixMilli(start).In(c.Zone)
	y, m, d := t.Date()
	switch c.Every {
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
	Step   int64 // ms: a difference under it is the ordinary drift of clocks
	Settle int64 // ms by the steady clock for which a jump ahead must last
	last   int64 // the ledger's time
	steady int64
	ahead  int64 // since when, by the steady clock, the wall has been ahead; 0: it is not
	begun  bool
	stood  int64 // ms by the steady clock since it stands
	Back   int64 // how far the wall clock is behind now, 0 where it is not
	Jumps  int64 // jumps ahead that were believed
	Backs  int64 // times that it was found to be set back
}

// Start goes on from the highest time that was ever recorded, 0 where there is none.
func (k *Clock) Start(highest int64) { k.last = highest }

// Now gives the ledger's time. steady only ever grows; wall may do as it likes.
func (k *Clock) Now(wall, steady int64) int64 {
	if !k.begun {
		k.begun, k.steady = true, steady
		if wall >= k.last {
			k.last = wall
		} else {
			k.Back, k.Backs = k.last-wall, k.Backs+1
		}
		return k.last
	}
	passed := max(steady-k.steady, 0)
	k.steady = max(steady, k.steady)
	due := k.last + passed
	if k.Back > 0 {
		// It stands until the wall has come up to it; how long that took is no drift of the wall's.
		k.stood += passed
		if wall < k.last {
			k.Back = k.last - wall
			return k.last
		}
		due, k.Back, k.stood = k.last+k.stood, 0, 0
		if wall <= due+k.Step {
			k.last = wall
			return k.last
		}
	}
	switch {
	case wall > due+k.Step:
		if k.ahead == 0 {
			k.ahead = max(steady, 1)
		}
		if steady-k.ahead >= k.Settle {
			k.Jumps++
			k.ahead, k.last = 0, wall
			k.Back = 0
			return k.last
		}
		k.last = due
	case wall < due-k.Step:
		// Set back. The ledger's time stands, or the same hour would be counted into two periods.
		if k.Back == 0 {
			k.Backs++
		}
		k.ahead = 0
		k.Back = max(k.last-wall, 1)
	default:
		k.ahead, k.Back = 0, 0
		k.last = max(wall, k.last)
	}
	return k.last
}
