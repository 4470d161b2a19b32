// Package coordinator implements the work of the singleton role "return": the instance that holds the role collects the
// observations of sites by all instances and publishes how far each site has recovered. Package zonerecovery makes the decisions.
package coordinator

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/voter"
	"kestrelspread/internal/fleet/zonerecovery"
)

// Inbox queues reports until the next step of the role holder. Its size is bounded, because on an instance that doesn't hold the
// role no reports are taken from it.
type Inbox struct {
	lock    sync.Mutex
	reports []queuedReport
}

// queuedReport is an instance's observation of a site.
type queuedReport struct {
	instance string
	site     int
	lost     bool
	seenAt   float64 // in ms of the clock of voter.Now
}

// maxQueuedReports is the largest number of reports in an inbox.
const maxQueuedReports = 4096

// Add queues an instance's observation of a site, made ageMs before now. If the inbox is full, the older half of its reports is
// dropped: instances report again a state that persists.
func (i *Inbox) Add(instance string, site int, lost bool, ageMs float64) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if len(i.reports) >= maxQueuedReports {
		i.reports = append(i.reports[:0], i.reports[maxQueuedReports/2:]...)
	}
	i.reports = append(i.reports, queuedReport{instance, site, lost, voter.Now() - ageMs})
}

// takeAll returns all queued reports and empties the inbox.
func (i *Inbox) takeAll() []queuedReport {
	i.lock.Lock()
	defer i.lock.Unlock()
	reports := i.reports
	i.reports = nil
	return reports
}

// Job is the work of the holder of the role during one lease.
type Job struct {
	Inbox    *Inbox
	Config   zonerecovery.Config
	Interval time.Duration // between two steps

	schedule *zonerecovery.Schedule // nil before the first step
}

// Step passes the queued reports to the schedule, and publishes stages that have changed if the lease is still held. It returns
// the time until the next step.
func (j *Job) Step(ctx context.Context, grant *client.Grant) (time.Duration, error) {
	now := voter.Now()
	if j.schedule == nil {
		j.schedule = zonerecovery.New(j.Config, grant.Progress, now)
	}
	for _, report := range j.Inbox.takeAll() {
		j.schedule.Observe(report.seenAt, report.instance, report.site, report.lost)
	}
	if data, changed := j.schedule.Advance(now); changed && grant.MayAct() {
		return j.Interval, grant.SaveProgress(ctx, data)
	}
	return j.Interval, nil
}
