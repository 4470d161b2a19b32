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

// collidingInstances returns two instance names whose parts have the same short id.
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

// closedUse returns the rows of an instance with three searches in a period, and the row that closes the period.
func closedUse(instance string, period, closedAt int64) []Row {
	counts := ledger.Counts{ledger.Searches: 3}
	use := Row{Instance: instance, Epoch: 1, Sequence: 1, Kind: kindUse, Period: period, RecordedAt: closedAt, Customer: "c", Counts: counts}
	closing := use
	closing.Sequence, closing.Kind = 2, kindClose
	return []Row{use, closing}
}

// collectionOf returns a collection of the given rows.
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

// TestInstancesWithCollidingShortIDsAreBothPublished checks that a part that is closed late is published even if another part of the
// period, with the same short id, has been published already.
func TestInstancesWithCollidingShortIDsAreBothPublished(t *testing.T) {
	first, second := collidingInstances()
	config := Config{ExpectedInstances: []string{first}}
	target := &receiver{keys: map[string]string{}}
	rows := closedUse(first, 1000, 1100)
	target.runHolder(t, rows, map[string]int{first: 2}, config, 5000, 100, false)
	rows = append(rows, closedUse(second, 1000, 1500)...)
	target.runHolder(t, rows, map[string]int{first: 2, second: 2}, config, 6000, 100, false)
	searches := int64(0)
	for _, body := range target.keys {
		var published Statement
		if err := json.Unmarshal([]byte(body), &published); err != nil {
			t.Fatal(err)
		}
		for _, total := range published.Totals {
			searches += total.Counts["searches"]
		}
	}
	if searches != 6 || len(target.keys) != 2 {
		t.Errorf("%d searches in %d statements, want 6 in 2", searches, len(target.keys))
	}
}

// progressOfVersion1 returns progress in version 1 of the format, with the given parts published in period upTo.
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
		t.Fatalf("next intent is %+v, want a late one of n2's part alone", intent)
	}
	progress.Intent = intent
	progress, err = ParseProgress(progress.IntentPublished().Marshal())
	if err != nil {
		t.Fatal(err)
	}
	if intent := collection.NextIntent(progress, Config{}, 9000); intent != nil {
		t.Errorf("next intent is %+v, want none", intent)
	}
}

// TestIntentOfVersion1IsBuiltAlike checks that an intent with short ids, stored by an earlier program, is published under the same key
// and with the same content as that program would have published it.
func TestIntentOfVersion1IsBuiltAlike(t *testing.T) {
	collection := collectionOf(t, closedUse("n0", 1000, 1100), closedUse("n1", 1000, 1100))
	var short, long []string
	for _, part := range collection.closedPeriods[1000] {
		short, long = append(short, part.shortID()), append(long, part.id())
	}
	stored := &Intent{Period: 1000, Parts: short[1:], Late: true}
	progress, err := ParseProgress(progressOfVersion1(900, nil, stored))
	if err != nil {
		t.Fatal(err)
	}
	if key := progress.Intent.EffectKey(); key != "late/1000/"+short[1] {
		t.Errorf("effect key is %q, want %q", key, "late/1000/"+short[1])
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
		t.Errorf("statement is %v by short ids, %v by long ids", byShort, byLong)
	}
}

func TestAmbiguousShortIDIsAnError(t *testing.T) {
	first, second := collidingInstances()
	collection := collectionOf(t, closedUse(first, 1000, 1100), closedUse(second, 1000, 1100))
	id := collection.closedPeriods[1000][0].shortID()
	if _, err := collection.Build(&Intent{Period: 1000, Parts: []string{id}}); !errors.Is(err, ErrAmbiguousPart) {
		t.Errorf("Build by a short id of two parts: got error %v, want %v", err, ErrAmbiguousPart)
	}
}

// TestEarlierProgramsRefuseVersion2 checks that a program that knows only version 1 fails to parse version 2. If it could, it would
// recognise none of the ids, and publish all parts once more. The test also checks that later versions and malformed ids are refused.
func TestEarlierProgramsRefuseVersion2(t *testing.T) {
	written := Progress{PublishedUpTo: 1000, PublishedParts: map[int64][]string{1000: {"a", "b"}}}.Marshal()
	var version1 struct {
		PublishedUpTo  int64              `json:"upto"`
		PublishedParts map[int64][]string `json:"parts"`
	}
	if err := json.Unmarshal(written, &version1); err == nil {
		t.Error("a program that knows only version 1 parses version 2")
	}
	if _, err := ParseProgress([]byte(`{"version":3,"upto":1,"parts":{}}`)); !errors.Is(err, ErrProgressVersion) {
		t.Errorf("version 3: got error %v, want %v", err, ErrProgressVersion)
	}
	if _, err := ParseProgress([]byte(`{"version":2,"upto":1,"parts":{"1":["a"]}}`)); err == nil {
		t.Error("version 2 with a list of ids was parsed, want an error, as only version 1 has lists")
	}
}

// TestGoldenProgressOfVersion1IsRead checks that the progress that a program of version 1 stored at each step of one fleet has the same
// content after it is parsed and written as version 2.
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
		if again, err := ParseProgress(progress.Marshal()); err != nil ||
			fmt.Sprint(again.PublishedParts) != fmt.Sprint(version1.PublishedParts) ||
			again.PublishedUpTo != version1.PublishedUpTo || !reflect.DeepEqual(again.Intent, version1.Intent) {
			t.Errorf("progress %s became %+v (error %v)", line, again, err)
		}
	}
	if len(lines) < 10 {
		t.Errorf("testdata/golden/progress-version1.txt has %d lines, want 10 or more", len(lines))
	}
}

// TestRandomProgressKeepsItsMeaning checks that random progress is the same after it is written and parsed.
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
			t.Fatalf("progress %+v became %+v (error %v)", progress, read, err)
		}
	}
}
