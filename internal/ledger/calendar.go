package ledger

import "time"

// Calendar divides time into periods of an operator's length in an operator's zone. It reads no clock: times are given, in Unix
// milliseconds.
type Calendar struct {
	Zone    *time.Location
	Unit    PeriodUnit
	Hours   int   // of a period where Unit is Hourly
	GraceMs int64 // from the end of a period until it is closed
}

// PeriodUnit is a kind of period.
type PeriodUnit uint8

// The kinds of periods.
const (
	Hourly PeriodUnit = iota // Calendar.Hours from the zone's midnight on; the last one of a day may be shorter or longer
	Daily
	Monthly
)

const hourMs = int64(time.Hour / time.Millisecond)

// PeriodStart returns the start of the period that holds a time.
func (c *Calendar) PeriodStart(at int64) int64 {
	year, month, day := time.UnixMilli(at).In(c.Zone).Date()
	switch c.Unit {
	case Monthly:
		return c.midnight(year, month, 1)
	case Daily:
		return c.midnight(year, month, day)
	}
	// By the time passed since midnight, not by the wall clock: in the night in which that is set back an hour comes twice, and
	// is two hours.
	midnight := c.midnight(year, month, day)
	start := midnight + (at-midnight)/c.lengthMs()*c.lengthMs()
	if next := c.midnight(year, month, day+1); start >= next {
		start = next - c.lengthMs()
	}
	return start
}

// PeriodEnd returns the end of the period that begins at a time.
func (c *Calendar) PeriodEnd(start int64) int64 {
	year, month, day := time.UnixMilli(start).In(c.Zone).Date()
	switch c.Unit {
	case Monthly:
		return c.midnight(year, month+1, 1)
	case Daily:
		return c.midnight(year, month, day+1)
	}
	return min(start+c.lengthMs(), c.midnight(year, month, day+1))
}

func (c *Calendar) midnight(year int, month time.Month, day int) int64 {
	return time.Date(year, month, day, 0, 0, 0, 0, c.Zone).UnixMilli()
}

// lengthMs is the length of an hourly period.
func (c *Calendar) lengthMs() int64 { return int64(max(c.Hours, 1)) * hourMs }
