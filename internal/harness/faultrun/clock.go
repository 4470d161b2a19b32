package faultrun

import (
	"time"

	"kestrelspread/internal/eventqueue"
)

// clock is the virtual clock of a run, with its scheduled events.
type clock struct {
	now    time.Duration
	events eventqueue.Queue[time.Duration]
}

// schedule runs a function at a moment, or now if that has passed.
func (c *clock) schedule(moment time.Duration, run func()) { c.events.Add(max(moment, c.now), run) }

// after runs a function after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.schedule(c.now+delay, run) }

// every runs a function at an interval, as long as it returns true.
func (c *clock) every(interval time.Duration, run func() bool) {
	c.after(interval, func() {
		if run() {
			c.every(interval, run)
		}
	})
}

// runUntil runs the events up to a moment, as long as continues returns true.
func (c *clock) runUntil(until time.Duration, continues func() bool) {
	for runAt, ok := c.events.Next(); ok && runAt <= until && continues(); runAt, ok = c.events.Next() {
		now, run := c.events.Take()
		c.now = now
		run()
	}
	if continues() {
		c.now = until
	}
}
