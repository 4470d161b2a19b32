// Package coordinator is the work of the singleton role "return": its holder collects what instances observe of sites and
// publishes how far each has recovered. The decisions are those of package zonerecovery.
package coordinator

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/voter"
	"kestrelspread/internal/fleet/zonerecovery"
)

// Inbox queues reports until the holder's next step. On an instance that doesn't hold the role nobody takes them; it stays
// bounded.
type Inbox struct {
	lock    sync.Mutex
	reports []queuedReport
}

type queuedReport struct {
	instance string
	site     int
	lost     bool
	seenAt   float64 // on voter.Now's clock, ms
}

const maxQueuedReports = 4096

// Add queues an instance's observation of a site, ageMs ago. Of a full inbox the older half goes: what lasts is reported again.
func (i *Inbox) Add(instance string, site int, lost bool, ageMs float64) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if len(i.reports) >= maxQueuedReports {
		i.reports = append(i.reports[:0], i.reports[maxQueuedReports/2:]...)
	}
	i.reports = append(i.reports, queuedReport{instance, site, lost, voter.Now() - ageMs})
}

func (i *Inbox) takeAll() []queuedReport {
	i.lock.Lock()
	defer i.lock.Unlock()
	reports := i.reports
	i.reports = nil
	return reports
}

// Job is the work of one holder of the role, under one lease.
type Job struct {
	Inbox    *Inbox
	Config   zonerecovery.Config
	Interval time.Duration

	schedule *zonerecovery.Schedule
}

// Step takes queued reports up and publishes stages that have changed, while the lease lasts.
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
