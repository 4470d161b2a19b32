package ledger

import (
	"encoding/json"
	"sort"
)

// A checkpoint's form.
type snapshot struct {
	Instance    string           `json:"Instance"`
	Epoch       uint64           `json:"Epoch"`
	Next        uint64           `json:"Next"`
	Periods     []snapshotPeriod `json:"Periods"`
	Corrections []*Entry         `json:"Corrections"`
}

type snapshotPeriod struct {
	Start     int64            `json:"Start"`
	State     State            `json:"State"`
	Entries   uint64           `json:"Entries"`
	Hash      uint64           `json:"Hash"`
	Total     Counts           `json:"Total"`
	Corrected Counts           `json:"Corrected"`
	Used      []snapshotCounts `json:"Used"`
	Added     []snapshotCounts `json:"Added"`
}

type snapshotCounts struct {
	Key    Key    `json:"Key"`
	Counts Counts `json:"Counts"`
}

func sortedCounts(m map[Key]*Counts) (list []snapshotCounts) {
	for k, c := range m {
		list = append(list, snapshotCounts{k, *c})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key.Less(list[j].Key) })
	return list
}

// Snapshot writes the book as it is, the same bytes for the same book.
func (b *Ledger) Snapshot() ([]byte, error) {
	s := snapshot{Instance: b.Instance, Epoch: b.Epoch, Next: b.NextSequence}
	for _, p := range b.Periods() {
		s.Periods = append(s.Periods, snapshotPeriod{p.Start, p.State, p.Entries, p.Hash, p.Total, p.Corrections, sortedCounts(p.totals), sortedCounts(p.corrections)})
	}
	for _, e := range b.corrections {
		s.Corrections = append(s.Corrections, e)
	}
	sort.Slice(s.Corrections, func(i, j int) bool { return s.Corrections[i].Sequence < s.Corrections[j].Sequence })
	return json.Marshal(s)
}

// Restore makes the book what a snapshot of the same instance and epoch says.
func (b *Ledger) Restore(text []byte) error {
	var s snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Instance != b.Instance || s.Epoch != b.Epoch {
		return ErrForeignEntry
	}
	*b = *New(s.Instance, s.Epoch)
	b.NextSequence = s.Next
	for _, o := range s.Periods {
		p := b.ensurePeriod(o.Start)
		p.State, p.Entries, p.Hash, p.Total, p.Corrections = o.State, o.Entries, o.Hash, o.Total, o.Corrected
		for _, k := range o.Used {
			c := k.Counts
			p.totals[k.Key] = &c
		}
		for _, k := range o.Added {
			c := k.Counts
			p.corrections[k.Key] = &c
		}
	}
	for _, e := range s.Corrections {
		b.corrections[e.CorrectionID] = e
	}
	return nil
}
