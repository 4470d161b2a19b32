package agent

import (
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
)

// diskRetryInterval passes between two tries to open a disk, or to write to one, at the start.
const diskRetryInterval = 500 * time.Millisecond

// openStore opens the disk of a machine that counts for the quorum in the background: a disk that hangs or refuses must
// not keep the node from serving as a proxy. The store is attached once the disk has proved that it takes writes.
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

// openJournal opens the journal, again and again while the disk can't be read.
func (a *Agent) openJournal() (*journal.Journal, []core.Record) {
	for {
		opened, recovered, err := journal.Open(journal.Options{
			Dir: a.settings.DataDir, MaxBytes: int64(a.settings.Limits.DiskMB) << 20,
		})
		if err == nil {
			return opened, recovered
		}
		a.log.Error("journal", "error", err)
		time.Sleep(diskRetryInterval)
	}
}

// attachStore makes this node a member of the core.
func (a *Agent) attachStore(now core.Time, opened *journal.Journal, recovered []core.Record) {
	outputs, err := a.control.AttachStore(now, opened.Identity(), recovered)
	if err != nil {
		a.log.Error("control state", "error", err)
		return
	}
	a.journal = opened
	a.writer = journal.NewWriter(opened, a.reportWrite)
	a.execute(now, outputs)
}

// configurationMemoryDivisor of the memory limit may be taken by a configuration: one in memoryShare. Each node holds it several times over,
// as text, read and encoded, for the moment of a change.
const configurationMemoryDivisor = 24

// maxConfigurationBytes is the size of the largest configuration that a machine like this one can hold, make durable, send and read
// back, in bytes.
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

// reportWrite reports the end of a write to the control side.
func (a *Agent) reportWrite(token uint64, err error) {
	needsCheckpoint := a.journal.NeedsCheckpoint()
	a.post(func(now core.Time) {
		outputs := a.control.Written(now, token, err, needsCheckpoint)
		if err != nil {
			a.log.Warn("journal", "error", err)
			a.writer.Resume()
		}
		a.execute(now, outputs)
	})
}
