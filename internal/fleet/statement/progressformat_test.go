package statement

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"kestrelspread/internal/ledger"
)

// collidingInstances returns two names whose parts have the same short id.
func collidingInstances() (first, second string) {
	names := map[string]string{}
	for i := 0; ; i++ {
		name := fmt.Sprint("host-", i)
		id := (&instancePeriod{instance: name, epoch: 1}).shortID()
		if earlier, taken := names[id]; taken {
			return earlier, name
		}
		names[id] = name
	}
}

// closedUse returns the rows of an instance that has used something in a period and closed it.
func closedUse(instance string, period, closedAt int64) []Row {
	counts := ledger.Counts{ledger.Searches: 3}
	use := Row{Instance: instance, Epoch: 1, Sequence: 1, Kind: kindUse, Period: period, RecordedAt: closedAt, Customer: "c", Counts: counts}
	end := use
	end.Sequence, end.Kind = 2, kindClose
	return []Row{use, end}
}

func collectionOf(t *testing.T, rows ...[]Row) *Collection {
	t.Helper()
	collection := NewCollection()
	for _, row := range slices.Concat(rows...) {
		if err := collection.Add(row); err != nil {
			t.Fatal(err)
		}
	}
	return collection
}

// TestInstancesWithCollidingShortIDsAreBothPublished: an instance that closes late isn't taken for another one.
func TestInstancesWithCollidingShortIDsAreBothPublished(t *testing.T) {
	first, second := collidingInstances()
	config := Config{ExpectedInstances: []string{first}}
	f := &receiver{keys: map[string]string{}}
	rows := closedUse(first, 1000, 1100)
	f.runHolder(t, rows, map[string]int{first: 2}, config, 5000, 100, false)
	rows = append(rows, closedUse(second, 1000, 1500)...)
	f.runHolder(t, rows, map[string]int{first: 2, second: 2}, config, 6000, 100, false)
	searches := int64(0)
	for _, body := range f.keys {
		var published Statement
		if err := json.Unmarshal([]byte(body), &published); err != nil {
			t.Fatal(err)
		}
		for _, total := range published.Totals {
			searches += total.Counts["searches"]
		}
	}
	if searches != 6 || len(f.keys) != 2 {
		t.Errorf("%d searches in %d statements, 6 in 2 were used", searches, len(f.keys))
	}
}

// progressOfVersion1 is progress as programs before version 2 wrote it.
func progressOfVersion1(upTo int64, parts []*instancePeriod, intent *Intent) []byte {
	var ids []string
	for _, part := range parts {
		ids = append(ids, part.shortID())
	}
	data, _ := json.Marshal(map[string]any{"upto": upTo, "parts": map[int64][]string{upTo: ids}, "intent": intent})
	return data
}

func TestProgressOfVersion1IsContinued(t *testing.T) {
	collection := collectionOf(t, closedUse("n0", 1000, 1100), closedUse("n1", 1000, 1100), closedUse("n2", 1000, 1500))
	parts := collection.closedPeriods[1000]
	progress, err := ParseProgress(progressOfVersion1(1000, parts[:2], nil))
	if err != nil {
		t.Fatal(err)
	}
	intent := collection.NextIntent(progress, Config{}, 9000)
	if intent == nil || !intent.Late || !slices.Equal(intent.Parts, []string{parts[2].id()}) {
		t.Fatalf("%+v is next, n2's part alone is left", intent)
	}
	progress.Intent = intent
	progress, err = ParseProgress(progress.IntentPublished().Marshal())
	if err != nil {
		t.Fatal(err)
	}
	if intent := collection.NextIntent(progress, Config{}, 9000); intent != nil {
		t.Errorf("%+v is next, nothing is left", intent)
	}
}

// TestIntentOfVersion1IsBuiltAlike: what an earlier program has fixed is published under the same key with the same content.
func TestIntentOfVersion1IsBuiltAlike(t *testing.T) {
	collection := collectionOf(t, closedUse("n0", 1000, 1100), closedUse("n1", 1000, 1100))
	var short, long []string
	for _, part := range collection.closedPeriods[1000] {
		short, long = append(short, part.shortID()), append(long, part.id())
	}
	fixed := &Intent{Period: 1000, Parts: short[1:], Late: true}
	progress, err := ParseProgress(progressOfVersion1(900, nil, fixed))
	if err != nil {
		t.Fatal(err)
	}
	if key := progress.Intent.EffectKey(); key != "late/1000/"+short[1] {
		t.Errorf("published under %s", key)
	}
	byShort, err := collection.Build(progress.Intent)
	if err != nil {
		t.Fatal(err)
	}
	byLong, err := collection.Build(&Intent{Period: 1000, Parts: long[1:], Late: true})
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(byShort) != fmt.Sprint(byLong) {
		t.Errorf("%v by short ids, %v by long ones", byShort, byLong)
	}
}

func TestAmbiguousShortIDIsAnError(t *testing.T) {
	first, second := collidingInstances()
	collection := collectionOf(t, closedUse(first, 1000, 1100), closedUse(second, 1000, 1100))
	id := collection.closedPeriods[1000][0].shortID()
	if _, err := collection.Build(&Intent{Period: 1000, Parts: []string{id}}); !errors.Is(err, ErrAmbiguousPart) {
		t.Errorf("got %v, want %v", err, ErrAmbiguousPart)
	}
}

// TestEarlierProgramsRefuseVersion2: they would take none of its ids for those they know, and publish all parts once more.
func TestEarlierProgramsRefuseVersion2(t *testing.T) {
	written := Progress{PublishedUpTo: 1000, PublishedParts: map[int64][]string{1000: {"a", "b"}}}.Marshal()
	var version1 struct {
		PublishedUpTo  int64              `json:"upto"`
		PublishedParts map[int64][]string `json:"parts"`
	}
	if err := json.Unmarshal(written, &version1); err == nil {
		t.Error("an earlier program reads it")
	}
	if _, err := ParseProgress([]byte(`{"version":3,"upto":1,"parts":{}}`)); !errors.Is(err, ErrProgressVersion) {
		t.Errorf("got %v, want %v", err, ErrProgressVersion)
	}
	if _, err := ParseProgress([]byte(`{"version":2,"upto":1,"parts":{"1":["a"]}}`)); err == nil {
		t.Error("lists of ids are of version 1")
	}
}

// TestGoldenProgressOfVersion1IsRead reads what a program of version 1 had stored at each step of one fleet, and writes it
// as version 2 without a change.
func TestGoldenProgressOfVersion1IsRead(t *testing.T) {
	stored, err := os.ReadFile("testdata/golden/progress-version1.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(stored)), "\n")
	for _, line := range lines {
		var version1 struct {
			PublishedUpTo  int64              `json:"upto"`
			PublishedParts map[int64][]string `json:"parts"`
			Intent         *Intent            `json:"intent"`
		}
		if err := json.Unmarshal([]byte(line), &version1); err != nil {
			t.Fatal(err)
		}
		progress, err := ParseProgress([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		if again, err := ParseProgress(progress.Marshal()); err != nil || fmt.Sprint(again.PublishedParts) != fmt.Sprint(version1.PublishedParts) ||
			again.PublishedUpTo != version1.PublishedUpTo || !reflect.DeepEqual(again.Intent, version1.Intent) {
			t.Errorf("%s is read as %+v (%v)", line, again, err)
		}
	}
	if len(lines) < 10 {
		t.Errorf("%d lines", len(lines))
	}
}

// TestRandomProgressKeepsItsMeaning writes and reads progress.
func TestRandomProgressKeepsItsMeaning(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	for range 200 {
		progress := Progress{PublishedUpTo: random.Int64N(1e6), PublishedParts: map[int64][]string{}}
		for range random.IntN(4) {
			part := instancePeriod{instance: fmt.Sprint(random.Uint64()), epoch: 1}
			progress.PublishedParts[random.Int64N(1e6)] = []string{part.id(), part.shortID()}
		}
		read, err := ParseProgress(progress.Marshal())
		if err != nil || fmt.Sprint(read) != fmt.Sprint(progress) {
			t.Fatalf("%+v is read as %+v (%v)", progress, read, err)
		}
	}
}
