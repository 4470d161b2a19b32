package agent

import (
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/nodepb"
)

// diskRetry passes between two tries to open a disk, or to write to one, at the start.
const diskRetry = 500 * time.Millisecond

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
				time.Sleep(diskRetry)
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
		time.Sleep(diskRetry)
	}
}

// attachStore makes this node a member of the core.
func (a *Agent) attachStore(now core.Time, opened *journal.Journal, recovered []core.Record) {
	voter := &nodepb.Voter{DiskId: opened.Identity(), Address: a.self.Address, NodeId: a.self.NodeId}
	store, outputs, err := chain.New(now, chain.Options{
		Self:      voter,
		Founders:  a.settings.SeedInternalAddresses(),
		Founding:  a.settings.Bootstrap && len(recovered) == 0,
		Tolerance: a.settings.FaultTolerance.Machines,
		Machine:   config.NewState(schema.NewChecker()),
	}, recovered, newRandom())
	if err != nil {
		a.log.Error("control state", "error", err)
		return
	}
	a.journal = opened
	a.writer = journal.NewWriter(opened, a.written)
	a.store = store
	a.self.DiskId = voter.DiskId
	a.distribution.SetDiskID(voter.DiskId)
	a.carryOut(now, a.membership.UpdateSelf(now, func(self *nodepb.Member) { self.DiskId = voter.DiskId }))
	a.carryOut(now, outputs)
	a.membersChanged(now)
}

// written reports the end of a write to the store.
func (a *Agent) written(token uint64, err error) {
	a.post(func(now core.Time) {
		outputs := a.store.Written(now, token, err)
		if err != nil {
			a.log.Warn("journal", "error", err)
			a.writer.Resume()
		}
		if token == a.compaction {
			a.compaction = 0
		}
		a.carryOut(now, outputs)
		if err == nil {
			a.compactIfNeeded(now)
		}
	})
}

// compactIfNeeded has the journal begin again with the state alone where it is nearly full.
func (a *Agent) compactIfNeeded(now core.Time) {
	if a.compaction != 0 || !a.journal.NeedsCheckpoint() {
		return
	}
	outputs := a.store.Compact(now)
	for _, output := range outputs {
		if write, ok := output.(core.Write); ok && write.Checkpoint {
			a.compaction = write.Token
		}
	}
	a.carryOut(now, outputs)
}
