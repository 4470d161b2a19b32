// Package statement builds the usage statements of the fleet, one for each period, from the rows that the instances' ledgers have
// exported. It reconciles the rows of each instance with the instance's own closing counts, and lists the instances that are
// missing. The package is pure: its input is rows and a time, its output what is to be published next.
//
// Statements are published by the holder of a role, under a lease. Before the holder publishes a statement, it stores an intent: the
// list of the parts that the statement is made of, as the export does with its batches. The next holder may have read more rows by
// then, and must publish the same statement nevertheless. Therefore each statement is published exactly once, with one content,
// whichever holder fails and at whichever step:
//
//	step          durable after the step                    if the holder fails before the next step
//	1 intent      the parts that make up the statement      the next holder continues with step 2, for the same parts
//	2 effect      the statement, at the receiver, by key    step 2 is repeated: the receiver answers that it has the statement
//	3 progress    the period is published; no intent        the next holder continues with step 1 of the next statement
//
// Periods are published in order. A part that is closed after its period's statement follows in a late statement.
package statement

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"kestrelspread/internal/ledger"
)

// Key is the combination of attributes by which the fleet's usage is added up.
type Key struct {
	Customer  string `json:"customer"`
	QueryType string `json:"query_type"`
	Front     string `json:"front"` // how the searches arrived, see ledger.Front
	Outcome   string `json:"outcome"`
}

// less reports whether k sorts before o: by customer, query type, front and outcome.
func (k Key) less(o Key) bool {
	a := []string{k.Customer, k.QueryType, k.Front, k.Outcome}
	b := []string{o.Customer, o.QueryType, o.Front, o.Outcome}
	return slices.Compare(a, b) < 0
}

// Total is the usage of one key.
type Total struct {
	Key
	Counts map[string]int64 `json:"counts"` // by the names in ledger.FieldNames; zero counts are left out
}

// InstanceUse is one instance's part of a statement. An instance that has lost its disk begins a new epoch of its ledger, and has one
// part for each epoch.
type InstanceUse struct {
	Instance    string           `json:"instance"`
	Epoch       uint64           `json:"epoch"`
	Counts      map[string]int64 `json:"counts"`          // sum of the entries of the part
	Discrepancy string           `json:"wrong,omitempty"` // how Counts differ from the instance's own closing counts; empty: they agree
}

// Statement is the fleet's usage in one period or, if Late is set, the part of an instance that was closed after the statement.
type Statement struct {
	Period           int64         `json:"period_ms"` // start of the period, Unix ms
	Late             bool          `json:"late,omitempty"`
	Parts            []InstanceUse `json:"parts"`
	MissingInstances []string      `json:"missing,omitempty"` // expected instances that had not closed the period
	Totals           []Total       `json:"totals"`
	Corrections      []Total       `json:"corrected,omitempty"` // corrections entered in this period, whichever period they refer to
}

// ErrPartNotRead is returned if a part of an intent has not been read yet. The caller has to wait for the part, as the statement must
// not be published without it.
var ErrPartNotRead = errors.New("a part of the intent has not been read yet")

// ErrAmbiguousPart is returned if more parts match the ids of an intent than the intent has. Only short ids, from progress of version
// 1, can be shared by several parts. As it can't be determined which parts were meant, no statement is built.
var ErrAmbiguousPart = errors.New("an id in the intent matches several parts")

// Build returns the statement of an intent. Equal intents give equal statements, whatever else has been read. It returns an error
// that wraps ErrPartNotRead or ErrAmbiguousPart if the parts of the intent are not known exactly.
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
		return nil, fmt.Errorf("period %d: %w: %d of %d parts are known", intent.Period, ErrPartNotRead, found, len(intent.Parts))
	case found > len(intent.Parts):
		return nil, fmt.Errorf("period %d: %w: %d parts match %d ids", intent.Period, ErrAmbiguousPart, found, len(intent.Parts))
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

// addCounts adds counts to the sum of a key.
func addCounts(sums map[Key]*ledger.Counts, key Key, counts ledger.Counts) {
	if sums[key] == nil {
		sums[key] = &ledger.Counts{}
	}
	sums[key].Add(counts)
}

// sortedTotals returns the sums in the order of their keys.
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

// nonZeroCounts returns the counts that are not 0, by the names in ledger.FieldNames.
func nonZeroCounts(counts ledger.Counts) map[string]int64 {
	byName := map[string]int64{}
	for i, n := range counts {
		if n != 0 {
			byName[ledger.FieldNames[i]] = n
		}
	}
	return byName
}
