// Package statement closes the fleet's periods: from what each instance's ledger has exported it makes one usage statement a
// period, reconciled with each instance's own closing counts, and names who is missing and who was late. It is pure: rows
// and a time go in, what is to be published comes out.
//
// What is published next is fixed before it is published (the intent), as the export's batches are: the next holder of the
// role may have read more by then, and must publish the very same. So whatever ends whichever holder, and at whichever step,
// each statement is published once and alike:
//
//	step          durable then                              an end before the next step leads to
//	1 intent      which parts the statement is made of      step 2, by whoever is next, of the same parts
//	2 effect      (receiver) the statement, under its key   step 2 again: the receiver has it, and says so
//	3 progress    the period is published; no intent        step 1 of the next
//
// Periods are published in order; a part that was closed after its period's statement follows in a late one.
package statement

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"kestrelspread/internal/ledger"
)

// Key is what the fleet's uses are added up by.
type Key struct {
	Customer  string `json:"customer"`
	QueryType string `json:"query_type"`
	Front     string `json:"front"`
	Outcome   string `json:"outcome"`
}

func (k Key) less(o Key) bool {
	a := []string{k.Customer, k.QueryType, k.Front, k.Outcome}
	b := []string{o.Customer, o.QueryType, o.Front, o.Outcome}
	return slices.Compare(a, b) < 0
}

// Total is one key's use.
type Total struct {
	Key
	Counts map[string]int64 `json:"counts"` // by ledger.FieldNames; zeros are left out
}

// InstanceUse is one instance's part of a statement. An instance whose disk was lost has several, an epoch each.
type InstanceUse struct {
	Instance    string           `json:"instance"`
	Epoch       uint64           `json:"epoch"`
	Counts      map[string]int64 `json:"counts"`          // the sum of its entries
	Discrepancy string           `json:"wrong,omitempty"` // where its own closing counts say otherwise
}

// Statement is the fleet's use in one period, or a part of it that was late.
type Statement struct {
	Period           int64         `json:"period_ms"` // its start, Unix ms
	Late             bool          `json:"late,omitempty"`
	Parts            []InstanceUse `json:"parts"`
	MissingInstances []string      `json:"missing,omitempty"` // were expected and had not closed it
	Totals           []Total       `json:"totals"`
	Corrections      []Total       `json:"corrected,omitempty"` // posted to the period, wherever they refer to
}

// ErrPartNotRead says that a part of an intent has not been read here yet: it has to be waited for, not left out.
var ErrPartNotRead = errors.New("a part that was fixed has not been read here")

// ErrAmbiguousPart says that more parts than an intent was made of match its ids. Only short ids, of progress of version 1,
// can be shared. Which parts were meant nobody can tell, so that no statement is made.
var ErrAmbiguousPart = errors.New("several parts have an id that was fixed")

// Build makes the statement of an intent. Equal intents give equal statements, whatever else was read. Errors:
// ErrPartNotRead, ErrAmbiguousPart.
func (c *Collection) Build(intent *Intent) (*Statement, error) {
	s := &Statement{Period: intent.Period, Late: intent.Late, MissingInstances: intent.MissingInstances}
	totals, corrections := map[Key]*ledger.Counts{}, map[Key]*ledger.Counts{}
	for _, part := range c.closedPeriods[intent.Period] {
		if !part.isIn(intent.Parts) {
			continue
		}
		s.Parts = append(s.Parts, part.use())
		for key, counts := range part.totals {
			addCounts(totals, key, *counts)
		}
		for key, counts := range part.corrections {
			addCounts(corrections, key, *counts)
		}
	}
	switch found := len(s.Parts); {
	case found < len(intent.Parts):
		return nil, fmt.Errorf("%w: %d of %d", ErrPartNotRead, found, len(intent.Parts))
	case found > len(intent.Parts):
		return nil, fmt.Errorf("%w: %d for %d", ErrAmbiguousPart, found, len(intent.Parts))
	}
	sort.Slice(s.Parts, func(a, b int) bool {
		if s.Parts[a].Instance != s.Parts[b].Instance {
			return s.Parts[a].Instance < s.Parts[b].Instance
		}
		return s.Parts[a].Epoch < s.Parts[b].Epoch
	})
	s.Totals, s.Corrections = sortedTotals(totals), sortedTotals(corrections)
	return s, nil
}

func addCounts(sums map[Key]*ledger.Counts, key Key, counts ledger.Counts) {
	if sums[key] == nil {
		sums[key] = &ledger.Counts{}
	}
	sums[key].Add(counts)
}

func sortedTotals(sums map[Key]*ledger.Counts) []Total {
	keys := make([]Key, 0, len(sums))
	for key := range sums {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	totals := make([]Total, 0, len(keys))
	for _, key := range keys {
		totals = append(totals, Total{key, nonZeroCounts(*sums[key])})
	}
	return totals
}

func nonZeroCounts(counts ledger.Counts) map[string]int64 {
	byName := map[string]int64{}
	for i, n := range counts {
		if n != 0 {
			byName[ledger.FieldNames[i]] = n
		}
	}
	return byName
}
