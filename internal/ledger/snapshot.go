package ledger

import (
	"encoding/json"
	"sort"
)

// snapshot is a checkpoint's form. Its JSON is stored.
type snapshot struct {
	Instance     string           `json:"Instance"`
	Epoch        uint64           `json:"Epoch"`
	NextSequence uint64           `json:"Next"`
	Periods      []snapshotPeriod `json:"Periods"`
	Corrections  []*Entry         `json:"Corrections"`
}

type snapshotPeriod struct {
	Start          int64            `json:"Start"`
	State          State            `json:"State"`
	Entries        uint64           `json:"Entries"`
	Hash           uint64           `json:"Hash"`
	Total          Counts           `json:"Total"`
	Corrections    Counts           `json:"Corrected"`
	KeyTotals      []snapshotCounts `json:"Used"`
	KeyCorrections []snapshotCounts `json:"Added"`
}

type snapshotCounts struct {
	Key    Key    `json:"Key"`
	Counts Counts `json:"Counts"`
}

func sortedCounts(sums map[Key]*Counts) (list []snapshotCounts) {
	for key, counts := range sums {
		list = append(list, snapshotCounts{key, *counts})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key.Less(list[j].Key) })
	return list
}

func restoreCounts(sums map[Key]*Counts, list []snapshotCounts) {
	for _, one := range list {
		counts := one.Counts
		sums[one.Key] = &counts
	}
}

// Snapshot writes the ledger as it is, the same bytes for the same state.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := snapshot{Instance: l.Instance, Epoch: l.Epoch, NextSequence: l.NextSequence}
	for _, p := range l.Periods() {
		s.Periods = append(s.Periods, snapshotPeriod{
			Start:          p.Start,
			State:          p.State,
			Entries:        p.Entries,
			Hash:           p.Hash,
			Total:          p.Total,
			Corrections:    p.Corrections,
			KeyTotals:      sortedCounts(p.totals),
			KeyCorrections: sortedCounts(p.corrections),
		})
	}
	for _, correction := range l.corrections {
		s.Corrections = append(s.Corrections, correction)
	}
	sort.Slice(s.Corrections, func(i, j int) bool { return s.Corrections[i].Sequence < s.Corrections[j].Sequence })
	return json.Marshal(s)
}

// Restore makes the ledger what a snapshot of the same instance and epoch says.
func (l *Ledger) Restore(text []byte) error {
	var s snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Instance != l.Instance || s.Epoch != l.Epoch {
		return ErrForeignEntry
	}
	*l = *New(s.Instance, s.Epoch)
	l.NextSequence = s.NextSequence
	for _, stored := range s.Periods {
		p := l.ensurePeriod(stored.Start)
		p.State = stored.State
		p.Entries = stored.Entries
		p.Hash = stored.Hash
		p.Total = stored.Total
		p.Corrections = stored.Corrections
		restoreCounts(p.totals, stored.KeyTotals)
		restoreCounts(p.corrections, stored.KeyCorrections)
	}
	for _, correction := range s.Corrections {
		l.corrections[correction.CorrectionID] = correction
	}
	return nil
}
