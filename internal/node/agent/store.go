package agent

import (
	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/config/schema"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/nodepb"
)

// openStore opens the disk of a machine that counts for the quorum, and the store on it.
func (a *Agent) openStore() error {
	if !a.settings.CountsForQuorum {
		return nil
	}
	opened, recovered, err := journal.Open(journal.Options{
		Dir: a.settings.DataDir, MaxBytes: int64(a.settings.Limits.DiskMB) << 20,
	})
	if err != nil {
		return err
	}
	a.journal = opened
	a.self.DiskId = opened.Identity()
	a.writer = journal.NewWriter(opened, a.written)
	voter := &nodepb.Voter{DiskId: a.self.DiskId, Address: a.self.Address, NodeId: a.self.NodeId}
	store, outputs, err := chain.New(a.now(), chain.Options{
		Self:      voter,
		Founders:  a.settings.SeedInternalAddresses(),
		Founding:  a.settings.Bootstrap && len(recovered) == 0,
		Tolerance: a.settings.FaultTolerance.Machines,
		Machine:   config.NewState(schema.NewChecker()),
	}, recovered, a.random)
	if err != nil {
		return err
	}
	a.store = store
	a.post(func(now core.Time) { a.carryOut(now, outputs) })
	return nil
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
