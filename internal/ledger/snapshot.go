package ledger

import (
	"encoding/json"
	"sort"
)

// A checkpoint's form.
type snapshot struct {
	Instance    string       `json:"Instance"`
	Epoch       uint64       `json:"Epoch"`
	Next        uint64       `json:"Next"`
	Periods     []snapPeriod `json:"Periods"`
	Corrections []*Entry     `json:"Corrections"`
}

type snapPeriod struct {
	Start     int64     `json:"Start"`
	State     State     `json:"State"`
	Entries   uint64    `json:"Entries"`
	Hash      uint64    `json:"Hash"`
	Total     Counts    `json:"Total"`
	Corrected Counts    `json:"Corrected"`
	Used      []snapKey `json:"Used"`
	Added     []snapKey `json:"Added"`
}

type snapKey struct {
	Key    Key    `json:"Key"`
	Counts Counts `json:"Counts"`
}

func listOf(m map[Key]*Counts) (list []snapKey) {
	for k, c := range m {
		list = append(list, snapKey{k, *c})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key.Less(list[j].Key) })
	return list
}

// Snapshot writes the book as it is, the same bytes for the same book.
func (b *Book) Snapshot() ([]byte, error) {
	s := snapshot{Instance: b.Instance, Epoch: b.Epoch, Next: b.Next}
	for _, p := range b.Periods() {
		s.Periods = append(s.Periods, snapPeriod{p.Start, p.State, p.Entries, p.Hash, p.Total, p.Corrected, listOf(p.totals), listOf(p.corrected)})
	}
	for _, e := range b.corrections {
		s.Corrections = append(s.Corrections, e)
	}
	sort.Slice(s.Corrections, func(i, j int) bool { return s.Corrections[i].Seq < s.Corrections[j].Seq })
	return json.Marshal(s)
}

// Restore makes the book what a snapshot of the same instance and epoch says.
func (b *Book) Restore(text []byte) error {
	var s snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if s.Instance != b.Instance || s.Epoch != b.Epoch {
		return ErrOther
	}
	*b = *NewBook(s.Instance, s.Epoch)
	b.Next = s.Next
	for _, o := range s.Periods {
		p := b.period(o.Start)
		p.State, p.Entries, p.Hash, p.Total, p.Corrected = o.State, o.Entries, o.Hash, o.Total, o.Corrected
		for _, k := range o.Used {
			c := k.Counts
			p.totals[k.Key] = &c
		}
		for _, k := range o.Added {
			c := k.Counts
			p.corrected[k.Key] = &c
		}
	}
	for _, e := range s.Corrections {
		b.corrections[e.ID] = e
	}
	return nil
}
