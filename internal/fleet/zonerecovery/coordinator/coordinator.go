// Package coordinator is the work of the duty "return": the owner hears what instances see of sites and publishes how far each has come
// back. What that is, is package stage's.
package coordinator

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/voter"
	"kestrelspread/internal/fleet/zonerecovery"
)

// Inbox hold what was seen until the owner's next look. On an instance that is not the owner it is let go of.
type Inbox struct {
	lock    sync.Mutex
	reports []queuedReport
}

type queuedReport struct {
	instance string
	site     int
	lost     bool
	seenAt   float64
}

const maxQueuedReports = 4096

// Add is told what an instance saw of a site, so many milliseconds ago.
func (e *Inbox) Add(who string, site int, lost bool, age float64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.reports) >= maxQueuedReports { // what lasts is said again
		e.reports = append(e.reports[:0], e.reports[maxQueuedReports/2:]...)
	}
	e.reports = append(e.reports, queuedReport{who, site, lost, voter.Now() - age})
}

func (e *Inbox) take() []queuedReport {
	e.lock.Lock()
	defer e.lock.Unlock()
	list := e.reports
	e.reports = nil
	return list
}

// Job is one owner's work.
type Job struct {
	Inbox    *Inbox
	Config   zonerecovery.Config
	Interval time.Duration
	schedule *zonerecovery.Schedule
}

// Step looks once.
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	now := voter.Now()
	if j.schedule == nil {
		j.schedule = zonerecovery.New(j.Config, g.Progress, now)
	}
	for _, w := range j.Inbox.take() {
		j.schedule.Observe(w.seenAt, w.instance, w.site, w.lost)
	}
	if data, changed := j.schedule.Advance(now); changed && g.MayAct() {
		return j.Interval, g.SaveProgress(ctx, data)
	}
	return j.Interval, nil
}
