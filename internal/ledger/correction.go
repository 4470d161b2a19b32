package ledger

import (
	"fmt"
	"strings"
)

// CorrectionRequest is a correction as somebody asks for it.
type CorrectionRequest struct {
	CorrectionID  string
	Author        string
	Reason        string
	Reference     string
	Period        int64
	Key           Key
	Counts        Counts // added; below 0 takes away
	Reverts       string // the ID of a correction that this one takes back, in place of Period, Key and Counts
	AllowNegative bool
}

func (r *CorrectionRequest) isComplete() bool {
	for _, field := range []string{r.CorrectionID, r.Author, r.Reason, r.Reference} {
		if strings.TrimSpace(field) == "" {
			return false
		}
	}
	return true
}

// CorrectionEntry makes the entry of a correction, without applying it, or returns the one that has its ID already. A
// correction of a closed period is posted to the open one.
func (l *Ledger) CorrectionEntry(r CorrectionRequest, openPeriod, now int64) (entry *Entry, known bool, err error) {
	if !r.isComplete() {
		return nil, false, ErrIncompleteCorrection
	}
	if r.Reverts != "" {
		reverted := l.corrections[r.Reverts]
		if reverted == nil {
			return nil, false, fmt.Errorf("no correction has the key %q", r.Reverts)
		}
		r.Period, r.Key, r.Counts = reverted.CorrectedPeriod, reverted.Key, reverted.Counts.Negated()
	}
	entry = l.correctionEntry(&r, openPeriod, now)
	if existing := l.corrections[r.CorrectionID]; existing != nil {
		if !existing.sameCorrection(entry) {
			return nil, false, fmt.Errorf("%w: %s", ErrCorrectionConflict, r.CorrectionID)
		}
		return existing, true, nil
	}
	if err := l.checkCorrection(&r, openPeriod); err != nil {
		return nil, false, err
	}
	return entry, false, nil
}

func (l *Ledger) correctionEntry(r *CorrectionRequest, openPeriod, now int64) *Entry {
	postedTo := r.Period
	if l.isClosed(r.Period) {
		postedTo = openPeriod
	}
	return &Entry{
		Instance:        l.Instance,
		Epoch:           l.Epoch,
		Sequence:        l.NextSequence,
		Kind:            Correction,
		Period:          postedTo,
		RecordedAt:      now,
		Key:             r.Key,
		Counts:          r.Counts,
		CorrectionID:    r.CorrectionID,
		Author:          r.Author,
		Reason:          r.Reason,
		Reference:       r.Reference,
		CorrectedPeriod: r.Period,
		NegativeAllowed: r.AllowNegative,
	}
}

// sameCorrection tells whether two corrections of one ID say the same, whenever and wherever they are posted.
func (e *Entry) sameCorrection(other *Entry) bool {
	return e.CorrectedPeriod == other.CorrectedPeriod && e.Key == other.Key && e.Counts == other.Counts &&
		e.Author == other.Author && e.Reason == other.Reason && e.Reference == other.Reference
}

// checkCorrection refuses a correction of no period, and one that would leave a total below 0.
func (l *Ledger) checkCorrection(r *CorrectionRequest, openPeriod int64) error {
	p := l.periods[r.Period]
	if p == nil {
		if r.Period != openPeriod {
			return fmt.Errorf("no period begins at %d", r.Period)
		}
		p = &Period{} // nothing was used in it yet
	}
	total, corrected := p.Counts(r.Key)
	total.Add(corrected)
	if !total.Add(r.Counts) {
		return ErrOverflow
	}
	if total.HasNegative() && !r.AllowNegative {
		return fmt.Errorf("%w: %v", ErrNegativeTotal, total)
	}
	return nil
}
