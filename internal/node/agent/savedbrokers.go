package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/registry/saved"
)

// saveInterval is the least time between two writes of the brokers.
const saveInterval = time.Second

// savedBrokers keeps brokers on the disk, where there is one. A copy of the registered ones lets a
// restarted node route before it has heard of them again; a log of those that are draining or gone
// keeps what was acknowledged to them. Both are written by goroutines of their own; the other fields
// belong to the control loop.
type savedBrokers struct {
	file          *saved.File
	writes        chan []*nodepb.Instance // to be written next; one may wait
	leavingWrites chan core.SaveLeaving   // at most one is under way
	saveDeadline  core.Time               // core.Never: nothing changed since the last write
	savedChecksum uint64                  // of what was written or scheduled last
	// restored: brokers were restored from the copy of an earlier process.
	restored bool
}

// openSavedBrokers starts to restore the brokers that an earlier process saved.
func (a *Agent) openSavedBrokers() {
	a.savedBrokers.saveDeadline = core.Never
	if a.settings.DataDir == "" {
		return
	}
	a.savedBrokers.file = saved.Open(a.settings.DataDir)
	a.savedBrokers.writes = make(chan []*nodepb.Instance, 1)
	a.savedBrokers.leavingWrites = make(chan core.SaveLeaving, 1)
	go func() {
		log, leaving := a.openLeavingLog()
		a.post(func(now core.Time) { a.execute(now, a.control.RestoreLeavingBrokers(now, leaving)) })
		a.log.Info("savedbrokers: leaving brokers restored", "count", len(leaving), "after", a.now())
		go a.writeLeaving(log)
		a.writeBrokers()
	}()
}

// openLeavingLog opens the log of leaving brokers, and retries while the disk can't be read: without
// the log a broker that has left might be used again.
func (a *Agent) openLeavingLog() (*saved.LeavingLog, []*nodepb.Instance) {
	for {
		log, leaving, err := saved.OpenLeaving(a.settings.DataDir, time.Now)
		if err == nil {
			return log, leaving
		}
		a.log.Error("savedbrokers: open of leaving brokers failed", "error", err)
		time.Sleep(diskRetryInterval)
	}
}

// writeLeaving makes leaving brokers durable as the control side asks for it. It has a goroutine of its
// own, as calls of brokers wait for these writes, and the disk may hang in those of the copy.
func (a *Agent) writeLeaving(log *saved.LeavingLog) {
	for write := range a.savedBrokers.leavingWrites {
		err := log.Append(write.Instances)
		if err != nil {
			a.log.Warn("savedbrokers: write of leaving brokers failed", "error", err)
		}
		a.post(func(now core.Time) { a.execute(now, a.control.LeavingBrokersSaved(now, write.Token, err)) })
	}
}

// writeBrokers restores the saved brokers, and then writes each copy that it is handed. It runs on a
// goroutine of its own, as the disk may hang; the goroutine lives as long as the process.
func (a *Agent) writeBrokers() {
	instances, err := a.savedBrokers.file.Load(time.Now())
	if err == nil {
		a.post(func(now core.Time) {
			a.execute(now, a.control.RestoreBrokers(now, instances))
			a.savedBrokers.restored = len(instances) > 0
		})
	}
	for instances := range a.savedBrokers.writes {
		if err := a.savedBrokers.file.Save(instances, time.Now()); err != nil {
			a.log.Warn("savedbrokers: write failed", "error", err)
		}
	}
}

// scheduleBrokerSave schedules a write of the brokers where the table differs from what was written.
func (a *Agent) scheduleBrokerSave(now core.Time, table *registry.Table) {
	if a.savedBrokers.file == nil {
		return
	}
	if checksum := tableChecksum(table); checksum != a.savedBrokers.savedChecksum {
		a.savedBrokers.savedChecksum = checksum
		a.savedBrokers.saveDeadline = min(a.savedBrokers.saveDeadline, now+saveInterval)
	}
}

// saveBrokers hands the brokers over for writing when that is due. While the write before is still
// waiting for the disk, it is scheduled again.
func (a *Agent) saveBrokers(now core.Time) {
	if a.savedBrokers.saveDeadline > now {
		return
	}
	a.savedBrokers.saveDeadline = core.Never
	select {
	case a.savedBrokers.writes <- a.control.Registry().Instances():
	default: // the disk is slow: retry
		a.savedBrokers.saveDeadline = now + saveInterval
	}
}

// tableChecksum returns a checksum of the instances, states and loaded versions of a table's brokers.
// It doesn't depend on their order.
func tableChecksum(table *registry.Table) uint64 {
	checksum := uint64(0)
	for id, instance := range table.ByID {
		entry := xxhash.Sum64String(id) + uint64(instance.State)
		for model, version := range instance.Versions {
			entry += xxhash.Sum64String(model) * version
		}
		checksum += entry * (entry | 1)
	}
	return checksum
}
