package ledger

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

func countsOf(n int64) (c Counts) {
	c[Searches], c[FirstAttempts], c[BytesOut] = n, 2*n, 10*n
	return c
}

func key(name string) Key { return Key{Customer: name, QueryType: "quick"} }

func mustApply(t *testing.T, b *Ledger, list ...*Entry) {
	t.Helper()
	for _, e := range list {
		if err := b.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
}

var utc = &Calendar{Zone: time.UTC, Unit: Hourly, Hours: 1, GraceMs: 60e3}

const hour = int64(3600e3)

// TestBufferKeepsSumsThatWouldOverflow: what does not fit into one sum is a second one, and nothing is lost.
func TestBufferKeepsSumsThatWouldOverflow(t *testing.T) {
	const nearly = math.MaxInt64 - 10
	buffer := NewBuffer()
	for _, n := range []int64{nearly, 7, 20, 5} {
		buffer.Add(0, key("a"), Counts{Searches: 1, WorkMicros: n})
	}
	if buffer.Keys() != 2 {
		t.Errorf("%d sums", buffer.Keys())
	}
	list := buffer.TakeAll()
	buffer.PutBack(list)
	list = buffer.TakeAll()
	want := []BufferedUse{
		{Key: key("a"), Counts: Counts{Searches: 2, WorkMicros: nearly + 7}},
		{Key: key("a"), Counts: Counts{Searches: 2, WorkMicros: 25}},
	}
	if !slices.Equal(list, want) {
		t.Errorf("got %v, want %v", list, want)
	}
	if buffer.Keys() != 0 {
		t.Error("still pending after TakeAll")
	}
}

func TestUsesMergeWithoutLoss(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	h, b := NewBuffer(), New("i", 1)
	want := map[Key]Counts{}
	var given int64
	for range 20000 {
		k := key(fmt.Sprint("c", rng.IntN(30)))
		c := countsOf(1 + rng.Int64N(5))
		h.Add(0, k, c)
		w := want[k]
		w.Add(c)
		want[k] = w
		given += c[Searches]
		if h.Keys() > 30 {
			t.Fatal(h.Keys(), "wait for thirty customers")
		}
		if rng.IntN(500) == 0 {
			list := h.TakeAll()
			if rng.IntN(2) == 0 { // the disk rejected it
				h.PutBack(list)
				continue
			}
			mustApply(t, b, b.UseEntries(list, 0, 5)...)
		}
	}
	mustApply(t, b, b.UseEntries(h.TakeAll(), 0, 6)...)
	for k, w := range want {
		if got, _ := b.Period(0).Counts(k); got != w {
			t.Errorf("%v: %v, want %v", k, got, w)
		}
	}
	if b.TotalUse()[Searches] != given {
		t.Errorf("%d searches in all, want %d", b.TotalUse()[Searches], given)
	}
}

func TestMutantMergeIsFound(t *testing.T) {
	if testing.Short() || mutantMerge {
		t.Skip("builds the package")
	}
	out, err := exec.Command("go", "test", "-count=1", "-tags", "mutant_merge", "-run", "TestUsesMerge").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "searches in all") {
		t.Errorf("not found: %v\n%s", err, out)
	}
}

func TestClosedPeriodIsImmutable(t *testing.T) {
	b := New("i", 1)
	mustApply(t, b, b.UseEntries([]BufferedUse{{0, key("a"), countsOf(3)}, {0, key("b"), countsOf(4)}}, 0, 1)...)
	if due := b.CloseEntries(utc, hour+utc.GraceMs-1); len(due) != 0 {
		t.Error("closed within its grace")
	}
	b.MarkClosing(utc, hour)
	if b.Period(0).State != Closing {
		t.Error(b.Period(0).State)
	}
	due := b.CloseEntries(utc, hour+utc.GraceMs)
	if len(due) != 1 {
		t.Fatal(due)
	}
	spoilt := *due[0]
	spoilt.Counts[Searches]++
	if err := b.Apply(&spoilt); !errors.Is(err, ErrSealMismatch) {
		t.Error("a seal that does not fit:", err)
	}
	mustApply(t, b, due...)
	// A use that is late goes to the open period; an entry made by hand is rejected.
	late := b.UseEntries([]BufferedUse{{0, key("a"), countsOf(1)}}, hour, hour+utc.GraceMs+1)
	if late[0].Period != hour {
		t.Error("posted to", late[0].Period)
	}
	mustApply(t, b, late...)
	if err := b.Apply(&Entry{Instance: "i", Epoch: 1, Sequence: b.NextSequence, Kind: Use, Period: 0, Key: key("a"), Counts: countsOf(1)}); !errors.Is(err, ErrPeriodClosed) {
		t.Error(err)
	}
	if err := b.Apply(&Entry{Instance: "i", Epoch: 1, Sequence: b.NextSequence + 1, Kind: Use, Period: hour}); !errors.Is(err, ErrSequenceGap) {
		t.Error(err)
	}
	if err := b.Apply(&Entry{Instance: "i", Epoch: 2, Sequence: b.NextSequence, Kind: Use, Period: hour}); !errors.Is(err, ErrForeignEntry) {
		t.Error(err)
	}
}

func TestCorrectionsArePostedOnceAndBounded(t *testing.T) {
	b := New("i", 1)
	mustApply(t, b, b.UseEntries([]BufferedUse{{0, key("a"), countsOf(10)}}, 0, 1)...)
	mustApply(t, b, b.CloseEntries(utc, 2*hour)...)
	mustApply(t, b, b.UseEntries([]BufferedUse{{hour, key("a"), countsOf(5)}}, hour, 2)...)
	ask := CorrectionRequest{CorrectionID: "k1", Author: "x", Reason: "billed twice", Reference: "bill 7", Period: 0, Key: key("a"), Counts: countsOf(4).Negated()}
	e, known, err := b.CorrectionEntry(ask, hour, 3)
	if err != nil || known || e.Period != hour || e.CorrectedPeriod != 0 {
		t.Fatal(e, known, err)
	}
	mustApply(t, b, e)
	if _, known, err := b.CorrectionEntry(ask, 2*hour, 4); err != nil || !known {
		t.Error("given twice:", known, err)
	}
	other := ask
	other.Reason = "another"
	if _, _, err := b.CorrectionEntry(other, hour, 4); !errors.Is(err, ErrCorrectionConflict) {
		t.Error(err)
	}
	if used, corrected := b.Period(0).Counts(key("a")); used != countsOf(10) || corrected != countsOf(4).Negated() || b.Period(0).Total != countsOf(10) {
		t.Error(used, corrected)
	}
	more := ask
	more.CorrectionID, more.Counts = "k2", countsOf(7).Negated()
	if _, _, err := b.CorrectionEntry(more, hour, 5); !errors.Is(err, ErrNegativeTotal) {
		t.Error(err)
	}
	more.AllowNegative = true
	if e, _, err = b.CorrectionEntry(more, hour, 5); err != nil {
		t.Fatal(err)
	}
	mustApply(t, b, e)
	// A correction of a correction takes it back, once.
	back := CorrectionRequest{CorrectionID: "k3", Author: "x", Reason: "was right", Reference: "k1", Reverts: "k1"}
	if e, _, err = b.CorrectionEntry(back, hour, 6); err != nil || e.Counts != countsOf(4) || e.CorrectedPeriod != 0 {
		t.Fatal(e, err)
	}
	mustApply(t, b, e)
	if _, known, err := b.CorrectionEntry(back, hour, 7); !known || err != nil {
		t.Error(known, err)
	}
	if _, corrected := b.Period(0).Counts(key("a")); corrected != countsOf(7).Negated() {
		t.Error(corrected)
	}
	for _, a := range []CorrectionRequest{{}, {CorrectionID: "x", Author: "x", Reason: "x"}, {CorrectionID: "x", Author: "x", Reason: "x", Reference: "x", Period: 99},
		{CorrectionID: "x", Author: "x", Reason: "x", Reference: "x", Reverts: "none"}} {
		if _, _, err := b.CorrectionEntry(a, hour, 8); err == nil {
			t.Error(a, "is taken")
		}
	}
	// To the open period, where nothing was used yet.
	if e, _, err := b.CorrectionEntry(CorrectionRequest{CorrectionID: "k5", Author: "x", Reason: "x", Reference: "x", Period: 5 * hour, Key: key("z"), Counts: countsOf(1)}, 5*hour, 9); err != nil ||
		e.Period != 5*hour {
		t.Error(e, err)
	}
}

func TestPeriodsFollowTheZone(t *testing.T) {
	zone, err := time.LoadLocation("Europe/Stockholm")
	if err != nil {
		t.Skip("no zones on this machine:", err)
	}
	for _, c := range []*Calendar{{Zone: zone, Unit: Daily}, {Zone: zone, Unit: Monthly}, {Zone: zone, Unit: Hourly, Hours: 1},
		{Zone: zone, Unit: Hourly, Hours: 7}} {
		// Over both changes of the clock: periods touch, and each time is in the one that begins before it.
		from := time.Date(2026, 3, 27, 0, 0, 0, 0, zone).UnixMilli()
		at := c.PeriodStart(from)
		for range 10000 {
			end := c.PeriodEnd(at)
			if end <= at || c.PeriodStart(end) != end || c.PeriodStart(end-1) != at || c.PeriodStart(at) != at {
				t.Fatalf("%v %d: from %v to %v; there begins %v, a moment before %v", c.Unit, c.Hours, time.UnixMilli(at).In(zone),
					time.UnixMilli(end).In(zone), time.UnixMilli(c.PeriodStart(end)).In(zone), time.UnixMilli(c.PeriodStart(end-1)).In(zone))
			}
			if at = end; at > from+300*24*hour {
				break
			}
		}
	}
	day := &Calendar{Zone: zone, Unit: Daily}
	spring := time.Date(2026, 3, 29, 0, 0, 0, 0, zone).UnixMilli()
	if n := day.PeriodEnd(spring) - spring; n != 23*hour {
		t.Error(n/hour, "hours")
	}
}

// clockRun moves a clock on and checks that it never goes back.
type clockRun struct {
	*Clock
	t            *testing.T
	wall, steady int64
	last         int64 // the ledger's time
}

func newClockRun(t *testing.T) *clockRun {
	r := &clockRun{Clock: &Clock{MaxDriftMs: 2000, JumpConfirmMs: 60e3}, t: t, wall: 1e9}
	r.last = r.Now(r.wall, r.steady)
	return r
}

// step lets some ms pass by the wall clock and by the steady one.
func (r *clockRun) step(wall, steady int64) int64 {
	r.t.Helper()
	r.wall += wall
	r.steady += steady
	now := r.Now(r.wall, r.steady)
	if now < r.last {
		r.t.Fatalf("it went back from %d to %d", r.last, now)
	}
	r.last = now
	return now
}

func TestClockFollowsDrift(t *testing.T) {
	r := newClockRun(t)
	if r.step(1000, 1000) != 1e9+1000 || r.step(1500, 1000) != 1e9+2500 {
		t.Error("it drifts with the wall clock:", r.last)
	}
}

// setBackByAnHour: the clock stands, and continues when the wall clock has come up.
func (r *clockRun) setBackByAnHour() {
	t := r.t
	t.Helper()
	at := r.last
	r.step(-hour, 10)
	for range 100 {
		if r.step(1000, 1000) != at {
			t.Fatal("it goes on while the wall is behind")
		}
	}
	if r.TimesSetBack != 1 || r.BehindMs == 0 {
		t.Error(r.TimesSetBack, r.BehindMs)
	}
	r.step(hour, hour)
	if r.step(1000, 1000) != r.wall {
		t.Error("it does not come up:", r.last, r.wall)
	}
}

// jumpAheadByAYear: for a minute less a second it is not believed, for longer it is.
func (r *clockRun) jumpAheadByAYear() {
	t := r.t
	t.Helper()
	at := r.last
	r.step(365*24*hour, 10)
	for range 58 {
		r.step(1000, 1000)
	}
	if r.last > at+70e3 {
		t.Error("a jump ahead is believed at once")
	}
	r.step(-365*24*hour, 10)
	if r.step(1000, 1000) > at+70e3 {
		t.Error(r.last - at)
	}
	r.step(365*24*hour, 10)
	for range 62 {
		r.step(1000, 1000)
	}
	if r.last != r.wall || r.JumpsAccepted != 1 {
		t.Error("a jump that lasts is not believed:", r.wall-r.last, r.JumpsAccepted)
	}
}

func TestClockStandsWhileWallClockIsBehind(t *testing.T) {
	r := newClockRun(t)
	r.step(2500, 2000)
	r.setBackByAnHour()
}

func TestClockBelievesLastingJumpsOnly(t *testing.T) {
	r := newClockRun(t)
	r.step(2500, 2000)
	r.setBackByAnHour()
	r.jumpAheadByAYear()
}

// After a start with a clock that is behind it continues from what was recorded.
func TestClockResumesFromRecordedTime(t *testing.T) {
	last := int64(1e12)
	again := &Clock{MaxDriftMs: 2000, JumpConfirmMs: 60e3}
	again.Resume(last)
	if again.Now(last-hour, 5) != last || again.TimesSetBack != 1 {
		t.Error("a start goes back")
	}
}

func TestClockNeverGoesBackByRandomClocks(t *testing.T) {
	r := newClockRun(t)
	r.step(2500, 2000)
	r.setBackByAnHour()
	r.jumpAheadByAYear()
	rng := rand.New(rand.NewPCG(3, 3))
	for range 20000 {
		w := rng.Int64N(2000)
		if rng.IntN(50) == 0 {
			w = rng.Int64N(20*hour) - 10*hour
		}
		r.step(w, rng.Int64N(2000))
	}
}

func TestLedgerOfTenThousandCustomers(t *testing.T) {
	h, b := NewBuffer(), New("i", 1)
	for i := range 10000 {
		times := 1
		if i < 1000 {
			times = 20
		}
		for range times {
			h.Add(0, key(fmt.Sprint("c", i)), countsOf(1))
		}
	}
	mustApply(t, b, b.UseEntries(h.TakeAll(), 0, 1)...)
	if b.TotalUse()[Searches] != 29000 || b.KeyCount() != 10000 {
		t.Error(b.TotalUse(), b.KeyCount())
	}
	mustApply(t, b, b.CloseEntries(utc, 9*hour)...)
	if dropped := b.DropPeriods(utc, 9*hour); len(dropped) != 1 || b.KeyCount() != 0 {
		t.Error(dropped, b.KeyCount())
	}
}

func BenchmarkBufferAdd(b *testing.B) {
	h := NewBuffer()
	keys := make([]Key, 1000)
	for i := range keys {
		keys[i] = key(fmt.Sprint("c", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Add(0, keys[i%1000], countsOf(1))
	}
}
