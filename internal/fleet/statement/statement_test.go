package statement

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"kestrelspread/internal/ledger"
)

// exportedRows makes the rows of some instances over some periods, and when each row may be read.
func exportedRows(rng *rand.Rand, instances, periods int) (rows []Row) {
	for i := range instances {
		r := Row{Instance: fmt.Sprint("n", i), Epoch: 7}
		add := func(sort string, period int64, c ledger.Counts) {
			r.Sequence++
			r.Kind, r.Period, r.Counts, r.RecordedAt = sort, period, c, period+100+int64(rng.IntN(50))
			r.Customer, r.QueryType, r.Front, r.Outcome = fmt.Sprint("c", rng.IntN(2)), "quick", "http", "answered"
			rows = append(rows, r)
		}
		for p := 1; p <= periods; p++ {
			start, sum := int64(1000*p), ledger.Counts{}
			for range 1 + rng.IntN(4) {
				c := ledger.Counts{ledger.Searches: int64(1 + rng.IntN(9))}
				sum.Add(c)
				add("use", start, c)
			}
			if rng.IntN(3) == 0 {
				add("correction", start, ledger.Counts{ledger.Searches: -1})
			}
			add("close", start, sum)
		}
	}
	return rows
}

// receiver takes each key once, and keeps the progress as voters do.
type receiver struct {
	progress []byte
	keys     map[string]string
	order    []string
	changed  int // offered again under its key with another content: what must not be
}

// runHolder works until it dies at a step, or there is nothing to do. It has read of each instance up to a row.
// ignoreIntent is the defect of a holder that doesn't go by what the previous one had fixed.
func (f *receiver) runHolder(t *testing.T, rows []Row, upTo map[string]int, config Config, now int64, steps int, ignoreIntent bool) (done bool) {
	t.Helper()
	collection := NewCollection()
	for _, row := range rows {
		if int(row.Sequence) <= upTo[row.Instance] {
			if err := collection.Add(row); err != nil {
				t.Fatal(err)
			}
		}
	}
	progress, err := ParseProgress(f.progress)
	if err != nil {
		t.Fatal(err)
	}
	if ignoreIntent {
		progress.Intent = nil
	}
	dies := func() bool {
		steps--
		return steps < 0
	}
	for {
		intent := collection.NextIntent(progress, config, now)
		if intent == nil {
			return true
		}
		if progress.Intent == nil {
			progress.Intent = intent
			if dies() {
				return false
			}
			f.progress = progress.Marshal()
		}
		built, err := collection.Build(intent)
		if errors.Is(err, ErrPartNotRead) {
			return false
		}
		if err != nil {
			t.Fatal(err)
		}
		if dies() {
			return false
		}
		f.apply(intent.EffectKey(), built)
		if dies() {
			return false
		}
		f.progress = progress.IntentPublished().Marshal()
		progress, _ = ParseProgress(f.progress)
	}
}

// apply takes each key's first statement.
func (f *receiver) apply(key string, built *Statement) {
	body, _ := json.Marshal(built)
	first, known := f.keys[key]
	switch {
	case !known:
		f.keys[key] = string(body)
		f.order = append(f.order, key)
	case first != string(body):
		f.changed++
	}
}

// playHolders has holders that end at any step, each of which has read something else, publish a fleet's periods.
func playHolders(t *testing.T, seed uint64, ignoreIntent bool) (f *receiver, rows []Row) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	rows = exportedRows(rng, 4, 5)
	r := Config{ExpectedInstances: []string{"n0", "n1", "n2", "n3"}, WaitMs: 500}
	f = &receiver{keys: map[string]string{}}
	read := map[string]int{}
	now := int64(1000)
	for range 60 {
		now += int64(rng.IntN(300))
		for _, row := range rows {
			if row.RecordedAt <= now && rng.IntN(3) > 0 && int(row.Sequence) == read[row.Instance]+1 {
				read[row.Instance]++
			}
		}
		seen := map[string]int{}
		for instance, n := range read { // a new holder may have read less so far than the previous one
			seen[instance] = n
			if rng.IntN(4) == 0 {
				seen[instance] = rng.IntN(n + 1)
			}
		}
		f.runHolder(t, rows, seen, r, now, rng.IntN(8), ignoreIntent)
	}
	for _, row := range rows {
		read[row.Instance] = max(read[row.Instance], int(row.Sequence))
	}
	if !f.runHolder(t, rows, read, r, now+1e6, 1e6, ignoreIntent) {
		t.Fatal("seed", seed, ": it does not come to an end")
	}
	return f, rows
}

// Whatever ends holders at whichever step, and whatever each of them has read: each instance's closed period is in exactly one
// statement, periods go out in order, and nothing is offered under one key with two contents.
func TestStatementsArePublishedOnceAndAlike(t *testing.T) {
	late, seeds := 0, uint64(300)
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		f, rows := playHolders(t, seed, false)
		if f.changed > 0 {
			t.Fatalf("seed %d: %d times another content under one key", seed, f.changed)
		}
		parts, last, sum := map[string]int{}, int64(0), int64(0)
		for _, key := range f.order {
			var s Statement
			json.Unmarshal([]byte(f.keys[key]), &s)
			for _, p := range s.Parts {
				parts[fmt.Sprint(p.Instance, p.Epoch, s.Period)]++
				sum += p.Counts["searches"]
				if p.Discrepancy != "" {
					t.Fatal(p.Discrepancy)
				}
			}
			if !s.Late && s.Period <= last {
				t.Fatalf("seed %d: period %d after %d", seed, s.Period, last)
			}
			if s.Late {
				late++
			} else {
				last = s.Period
			}
		}
		want := int64(0)
		for _, r := range rows {
			if r.Kind == "use" {
				want += r.Counts[ledger.Searches]
			}
			if r.Kind == "close" && parts[fmt.Sprint(r.Instance, r.Epoch, r.Period)] != 1 {
				t.Fatalf("seed %d: %s's period %d is in %d statements", seed, r.Instance, r.Period, parts[fmt.Sprint(r.Instance, r.Epoch, r.Period)])
			}
		}
		if sum != want {
			t.Fatalf("seed %d: %d searches in all statements, %d were used", seed, sum, want)
		}
	}
	if late == 0 {
		t.Error("nothing ever came late: nothing was tested")
	}
}

// The check finds a holder that does not go by what the previous one had fixed.
func TestHolderThatIgnoresIntentIsFound(t *testing.T) {
	changed := 0
	for seed := range uint64(30) {
		f, _ := playHolders(t, seed, true)
		changed += f.changed
	}
	if changed == 0 {
		t.Error("it is not found")
	}
}

func TestDiscrepancyIsReported(t *testing.T) {
	b := NewCollection()
	r := Row{Instance: "n0", Epoch: 1, Sequence: 1, Kind: "use", Period: 1000, Counts: ledger.Counts{3}}
	if err := b.Add(r); err != nil {
		t.Fatal(err)
	}
	r.Sequence = 3
	if err := b.Add(r); !errors.Is(err, ErrMissingRows) {
		t.Fatal("a gap is taken:", err)
	}
	r.Sequence, r.Kind, r.Counts = 2, "close", ledger.Counts{4}
	if err := b.Add(r); err != nil {
		t.Fatal(err)
	}
	if err := b.Add(r); err != nil { // read again: nothing changes
		t.Fatal(err)
	}
	s, err := b.Build(b.NextIntent(Progress{}, Config{ExpectedInstances: []string{"n0", "n1"}}, 1e9))
	if err != nil || !strings.Contains(s.Parts[0].Discrepancy, "add up to") || len(s.MissingInstances) != 1 || s.MissingInstances[0] != "n1" {
		t.Fatalf("%+v %v", s, err)
	}
	r.Sequence, r.Kind = 3, "gift"
	if b.Add(r) == nil {
		t.Error("an unknown sort is taken")
	}
}

func TestProgressStaysShort(t *testing.T) {
	m := Progress{PublishedParts: map[int64][]string{}}
	for p := range int64(500) {
		var parts []string
		for i := range 100 {
			parts = append(parts, fmt.Sprintf("%08x", i))
		}
		m.Intent = &Intent{Period: p + 1, Parts: parts}
		m = m.IntentPublished()
		b := m.Marshal()
		if len(b) > maxProgressBytes {
			t.Fatal(len(b))
		}
		m, _ = ParseProgress(b)
	}
	if m.PublishedUpTo != 500 || len(m.PublishedParts) < 2 {
		t.Fatal(m.PublishedUpTo, len(m.PublishedParts))
	}
}
