package agent

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
)

// diskRetryInterval is the backoff between two attempts to open a disk, or to write to it, at startup.
const diskRetryInterval = 500 * time.Millisecond

// openStore opens the disk of a core machine in the background: a disk that hangs or fails must not
// keep the node from serving as a proxy. The store is attached once the disk has proved that it takes
// writes.
func (a *Agent) openStore() {
	if !a.settings.CountsForQuorum {
		return
	}
	go func() {
		opened, recovered := a.openJournal()
		for !opened.Healthy() {
			if err := opened.Append(nil); err != nil {
				time.Sleep(diskRetryInterval)
			}
		}
		a.post(func(now core.Time) { a.attachStore(now, opened, recovered) })
	}()
}

// openJournal opens the journal, and retries while the disk can't be read.
func (a *Agent) openJournal() (*journal.Journal, []core.Record) {
	for {
		opened, recovered, err := journal.Open(journal.Options{
			Dir: a.settings.DataDir, MaxBytes: int64(a.settings.Limits.DiskMB) << 20,
		})
		if err == nil {
			return opened, recovered
		}
		a.log.Error("journal: open failed", "error", err)
		time.Sleep(diskRetryInterval)
	}
}

// attachStore makes this node a member of the core.
func (a *Agent) attachStore(now core.Time, opened *journal.Journal, recovered []core.Record) {
	outputs, err := a.control.AttachStore(now, opened.Identity(), recovered)
	if err != nil {
		a.log.Error("control: journal holds no readable state", "error", err)
		return
	}
	a.journal = opened
	a.writer = journal.NewWriter(opened, a.reportWrite)
	a.execute(now, outputs)
}

// configurationMemoryDivisor: a configuration may take one part in configurationMemoryDivisor of the
// memory limit. During a change each node holds it several times: as text, decoded and encoded.
const configurationMemoryDivisor = 24

// maxConfigurationBytes returns the size of the largest configuration, in bytes, that a machine like
// this one can hold, make durable, send and recover.
func (a *Agent) maxConfigurationBytes() int {
	limit := int64(config.MaxBodyBytes)
	if memory := int64(a.settings.Limits.MemoryMB) << 20; memory > 0 {
		limit = min(limit, memory/configurationMemoryDivisor)
	}
	if a.settings.CountsForQuorum {
		limit = min(limit, journal.LargestState(int64(a.settings.Limits.DiskMB)<<20))
	}
	return int(limit)
}

// reportWrite reports the completion of a journal write to the control side. The writer calls it. After
// a failure the writer resumes only once the control side knows of it, so that no later write is taken
// for durable before.
func (a *Agent) reportWrite(token uint64, err error) {
	needsCheckpoint := a.journal.NeedsCheckpoint()
	a.post(func(now core.Time) {
		outputs := a.control.Written(now, token, err, needsCheckpoint)
		if err != nil {
			a.log.Warn("journal: write failed", "error", err)
			a.writer.Resume()
		}
		a.execute(now, outputs)
	})
}
