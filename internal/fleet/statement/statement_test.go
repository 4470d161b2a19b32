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

// exportedRows returns random rows of some instances over some periods. Each row's RecordedAt is the time from which the tests may read
// it.
func exportedRows(rng *rand.Rand, instances, periods int) (rows []Row) {
	for i := range instances {
		r := Row{Instance: fmt.Sprint("n", i), Epoch: 7}
		add := func(kind string, period int64, c ledger.Counts) {
			r.Sequence++
			r.Kind, r.Period, r.Counts, r.RecordedAt = kind, period, c, period+100+int64(rng.IntN(50))
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

// receiver stands for the receiver of statements, which accepts each key once, and for the voters, which store the progress.
type receiver struct {
	progress []byte
	keys     map[string]string // content of the statement accepted under each key
	order    []string          // keys in the order of their acceptance
	changed  int               // how often a statement was offered again with another content, which is a fault
}

// runHolder runs one holder until it crashes after the given number of steps or has nothing left to publish, and reports whether the
// latter is the case. The holder has read the rows of each instance up to the sequence number in upTo. With ignoreIntent it has the
// defect that it ignores the intent that the previous holder stored.
func (r *receiver) runHolder(t *testing.T, rows []Row, upTo map[string]int, config Config,
	now int64, steps int, ignoreIntent bool) (done bool) {
	t.Helper()
	collection := NewCollection()
	for _, row := range rows {
		if int(row.Sequence) <= upTo[row.Instance] {
			if err := collection.Add(row); err != nil {
				t.Fatal(err)
			}
		}
	}
	progress, err := ParseProgress(r.progress)
	if err != nil {
		t.Fatal(err)
	}
	if ignoreIntent {
		progress.Intent = nil
	}
	crashes := func() bool {
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
			if crashes() {
				return false
			}
			r.progress = progress.Marshal()
		}
		built, err := collection.Build(intent)
		if errors.Is(err, ErrPartNotRead) {
			return false
		}
		if err != nil {
			t.Fatal(err)
		}
		if crashes() {
			return false
		}
		r.apply(intent.EffectKey(), built)
		if crashes() {
			return false
		}
		r.progress = progress.IntentPublished().Marshal()
		progress, _ = ParseProgress(r.progress)
	}
}

// apply accepts the first statement of each key, and counts later ones with another content.
func (r *receiver) apply(key string, built *Statement) {
	body, _ := json.Marshal(built)
	first, known := r.keys[key]
	switch {
	case !known:
		r.keys[key] = string(body)
		r.order = append(r.order, key)
	case first != string(body):
		r.changed++
	}
}

// runCrashingHolders publishes the periods of a random fleet by a sequence of holders. Each of them crashes at a random step, and has read
// different rows. The last one reads all rows and runs to the end.
func runCrashingHolders(t *testing.T, seed uint64, ignoreIntent bool) (target *receiver, rows []Row) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	rows = exportedRows(rng, 4, 5)
	config := Config{ExpectedInstances: []string{"n0", "n1", "n2", "n3"}, WaitMs: 500}
	target = &receiver{keys: map[string]string{}}
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
		target.runHolder(t, rows, seen, config, now, rng.IntN(8), ignoreIntent)
	}
	for _, row := range rows {
		read[row.Instance] = max(read[row.Instance], int(row.Sequence))
	}
	if !target.runHolder(t, rows, read, config, now+1e6, 1e6, ignoreIntent) {
		t.Fatalf("seed %d: the last holder, which has read all rows, does not publish everything", seed)
	}
	return target, rows
}

// TestStatementsArePublishedOnceAndAlike checks that, at whichever step holders crash and whichever rows each of them has read, each
// closed part is in exactly one statement, periods are published in order, and no key is offered with two contents.
func TestStatementsArePublishedOnceAndAlike(t *testing.T) {
	late, seeds := 0, uint64(300)
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		target, rows := runCrashingHolders(t, seed, false)
		if target.changed > 0 {
			t.Fatalf("seed %d: statements were offered %d times with another content under the same key", seed, target.changed)
		}
		parts, last, sum := map[string]int{}, int64(0), int64(0)
		for _, key := range target.order {
			var s Statement
			json.Unmarshal([]byte(target.keys[key]), &s)
			for _, p := range s.Parts {
				parts[fmt.Sprint(p.Instance, p.Epoch, s.Period)]++
				sum += p.Counts["searches"]
				if p.Discrepancy != "" {
					t.Fatalf("seed %d: period %d, instance %s: %s", seed, s.Period, p.Instance, p.Discrepancy)
				}
			}
			if !s.Late && s.Period <= last {
				t.Fatalf("seed %d: period %d was published after period %d", seed, s.Period, last)
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
				t.Fatalf("seed %d: the part of instance %s for period %d is in %d statements, want 1",
					seed, r.Instance, r.Period, parts[fmt.Sprint(r.Instance, r.Epoch, r.Period)])
			}
		}
		if sum != want {
			t.Fatalf("seed %d: %d searches in all statements, want %d", seed, sum, want)
		}
	}
	if late == 0 {
		t.Error("no part was published late, so late statements were not tested")
	}
}

// TestHolderThatIgnoresIntentIsDetected checks that the receiver of these tests detects holders that ignore the intent of the previous
// holder: they offer another content under the same key.
func TestHolderThatIgnoresIntentIsDetected(t *testing.T) {
	changed := 0
	for seed := range uint64(30) {
		target, _ := runCrashingHolders(t, seed, true)
		changed += target.changed
	}
	if changed == 0 {
		t.Error("no statement was offered with another content in 30 seeds")
	}
}

func TestDiscrepancyIsReported(t *testing.T) {
	collection := NewCollection()
	row := Row{Instance: "n0", Epoch: 1, Sequence: 1, Kind: "use", Period: 1000, Counts: ledger.Counts{3}}
	if err := collection.Add(row); err != nil {
		t.Fatal(err)
	}
	row.Sequence = 3
	if err := collection.Add(row); !errors.Is(err, ErrMissingRows) {
		t.Fatalf("sequence number 3 after 1: got error %v, want %v", err, ErrMissingRows)
	}
	row.Sequence, row.Kind, row.Counts = 2, "close", ledger.Counts{4}
	if err := collection.Add(row); err != nil {
		t.Fatal(err)
	}
	if err := collection.Add(row); err != nil { // adding a row again changes nothing
		t.Fatal(err)
	}
	s, err := collection.Build(collection.NextIntent(Progress{}, Config{ExpectedInstances: []string{"n0", "n1"}}, 1e9))
	if err != nil || !strings.Contains(s.Parts[0].Discrepancy, "add up to") || len(s.MissingInstances) != 1 || s.MissingInstances[0] != "n1" {
		t.Fatalf("statement is %+v (error %v), want a discrepancy of n0 and n1 missing", s, err)
	}
	row.Sequence, row.Kind = 3, "gift"
	if collection.Add(row) == nil {
		t.Error("a row of an unknown kind was added")
	}
}

func TestProgressStaysShort(t *testing.T) {
	progress := Progress{PublishedParts: map[int64][]string{}}
	for p := range int64(500) {
		var parts []string
		for i := range 100 {
			parts = append(parts, fmt.Sprintf("%08x", i))
		}
		progress.Intent = &Intent{Period: p + 1, Parts: parts}
		progress = progress.IntentPublished()
		data := progress.Marshal()
		if len(data) > maxProgressBytes {
			t.Fatalf("progress has %d bytes, want %d at most", len(data), maxProgressBytes)
		}
		progress, _ = ParseProgress(data)
	}
	if progress.PublishedUpTo != 500 || len(progress.PublishedParts) < 2 {
		t.Fatalf("published up to %d with parts of %d periods, want 500 and 2 or more", progress.PublishedUpTo, len(progress.PublishedParts))
	}
}
