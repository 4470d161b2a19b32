package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/disk"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
)

const hour = int64(3600e3)

var calendar = &ledger.Calendar{Zone: time.UTC, Unit: ledger.Hourly, Hours: 1, GraceMs: 60e3}

// clocks that a test sets.
type clocks struct{ wall, steady atomic.Int64 }

func (c *clocks) WallMs() int64     { return c.wall.Load() }
func (c *clocks) SteadyMs() float64 { return float64(c.steady.Load()) }
func (c *clocks) advance(ms int64)  { c.wall.Add(ms); c.steady.Add(ms) }

func newClocks() *clocks {
	c := &clocks{}
	c.wall.Store(100 * hour)
	c.steady.Store(1e6)
	return c
}

func must[T any](t testing.TB, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func newRecorder(s *Store, c *clocks) *Recorder {
	return NewRecorder(s, calendar, c, []string{"quick", "once"}, []string{"all", "desk", "bulk"})
}

func recordUse(r *Recorder, c *clocks, customer int) {
	r.Record(&engine.Usage{Customer: customer, Result: engine.Complete, AnsweredAt: c.SteadyMs(), Shards: 2, FirstAttempts: 2, HedgeAttempts: 1, BytesIn: 10, BytesOut: 100, HintedWorkMs: 1.5, ServerTimeMs: 20})
}

// No disk of the machine is part of these tests: all faults are injected.
func TestUsesSurviveRestart(t *testing.T) {
	fs, c := vfs.NewMem(), newClocks()
	s := must(t, mustOpen(Open(fs, "ledger", "n0", time.UnixMilli(c.WallMs()))), nil)
	r := newRecorder(s, c)
	for i := range 1000 {
		recordUse(r, c, i%3)
	}
	if err := r.flush(); err != nil || r.DurableSearches() != 1000 {
		t.Fatal(err, r.DurableSearches())
	}
	c.advance(hour + calendar.GraceMs)
	recordUse(r, c, 0)
	r.flush()
	sum, epoch := s.Ledger.TotalUse(), s.Epoch
	if p := s.Ledger.Period(100 * hour); p.State != ledger.Closed || p.Total[ledger.Searches] != 1000 {
		t.Errorf("%+v", p)
	}
	if err := s.Verify(); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	again := mustOpen(Open(fs, "ledger", "n0", time.Now()))
	if again.Epoch != epoch || again.Ledger.TotalUse() != sum || again.Recovery.Created || again.HighestTime != c.WallMs() {
		t.Errorf("%+v %v, want %v", again.Identity, again.Ledger.TotalUse(), sum)
	}
	// A clock that was set back over the period's end: what is used now counts in the period that has begun.
	c.wall.Add(-2 * hour)
	r = newRecorder(again, c)
	recordUse(r, c, 1)
	r.flush()
	if p := again.Ledger.Period(101 * hour); p.Total[ledger.Searches] != 2 {
		t.Errorf("%+v", p)
	}
	if _, err := Open(fs, "ledger", "n0", time.Now()); err == nil {
		t.Error("two processes on one store")
	}
	again.Close()
	if _, err := Open(fs, "ledger", "n1", time.Now()); err == nil {
		t.Error("another instance's store is taken")
	}
	// A lost disk begins a new epoch, by the same clock too.
	other := mustOpen(Open(vfs.NewMem(), "ledger", "n0", time.UnixMilli(int64(epoch>>16))))
	defer other.Close()
	if other.Epoch>>16 != epoch>>16 {
		t.Error("the test's own clock")
	}
}

func mustOpen(s *Store, err error) *Store {
	if err != nil {
		panic(err)
	}
	return s
}

func TestCrashAtAnyMomentKeepsDurableUses(t *testing.T) {
	// The file system is cloned as a kill or a power cut would leave it: of what was not synced, some is there and some is not.
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 9))
		fs, c := vfs.NewCrashableMem(), newClocks()
		s := mustOpen(Open(fs, "ledger", "n0", time.UnixMilli(c.WallMs())))
		r := newRecorder(s, c)
		given, durable := int64(0), int64(0)
		for life := range 6 {
			for range 1 + rng.IntN(20) {
				for range rng.IntN(50) {
					recordUse(r, c, rng.IntN(3))
					given++
				}
				c.advance(int64(rng.IntN(200000)))
				if rng.IntN(3) > 0 {
					if err := r.flush(); err != nil {
						t.Fatal(err)
					}
					durable = given
				}
				if rng.IntN(8) == 0 {
					if _, _, err := s.Ledger.CorrectionEntry(ledger.CorrectionRequest{CorrectionID: fmt.Sprint(seed, life, given), Author: "a", Reason: "r", Reference: "x",
						Period: calendar.PeriodStart(c.WallMs()), Key: ledger.Key{Customer: "desk", QueryType: "quick"}}, calendar.PeriodStart(c.WallMs()), c.WallMs()); err != nil {
						t.Fatal(err)
					}
				}
				if rng.IntN(10) == 0 {
					if err := s.Checkpoint(uint64(rng.IntN(int(s.Ledger.NextSequence)))); err != nil {
						t.Fatal(err)
					}
				}
			}
			fs = fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
			s.Close()
			s = mustOpen(Open(fs, "ledger", "n0", time.Now()))
			got := s.Ledger.TotalUse()[ledger.Searches]
			if got < durable || got > given {
				t.Fatalf("seed %d, life %d: %d searches after a kill, %d were durable, %d given", seed, life, got, durable, given)
			}
			if err := s.Verify(); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			given, durable = got, got
			r = newRecorder(s, c)
		}
		s.Close()
	}
}

// faults fails what a test says.
type faults struct {
	write, sync atomic.Bool
	hit         atomic.Int64
}

func (f *faults) String() string { return "faults" }
func (f *faults) MaybeError(op errorfs.Op) error {
	switch op.Kind {
	case errorfs.OpFileWrite, errorfs.OpCreate:
		if f.write.Load() {
			f.hit.Add(1)
			return syscall.ENOSPC
		}
	case errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo:
		if f.sync.Load() {
			f.hit.Add(1)
			return syscall.EIO
		}
	}
	return nil
}

func TestFullDiskDelaysWithoutLoss(t *testing.T) {
	mem, f, c := vfs.NewCrashableMem(), &faults{}, newClocks()
	s := mustOpen(Open(errorfs.Wrap(mem, f), "ledger", "n0", time.UnixMilli(c.WallMs())))
	s.Disk.RetryInterval = time.Millisecond
	r := newRecorder(s, c)
	for range 100 {
		recordUse(r, c, 0)
	}
	f.write.Store(true)
	done := make(chan error, 1)
	go func() { done <- r.flush() }()
	for f.hit.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	if s.Disk.Fault.Load() == nil || !strings.Contains(*s.Disk.Fault.Load(), "no space") {
		t.Error("it does not report the fault")
	}
	for range 100000 { // the loop goes on, and what waits stays bounded
		recordUse(r, c, 1)
	}
	if keys, _ := r.Pending(); keys != 1 {
		t.Error(keys, "keys wait")
	}
	f.write.Store(false)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	r.flush()
	if n := s.Ledger.TotalUse()[ledger.Searches]; n != 100100 || s.Disk.Fault.Load() != nil {
		t.Error(n, "searches")
	}
	crashed := mem.CrashClone(vfs.CrashCloneCfg{})
	again := mustOpen(Open(crashed, "ledger", "n0", time.Now()))
	if again.Ledger.TotalUse() != s.Ledger.TotalUse() {
		t.Error("what was called durable is not there")
	}
	again.Close()
	s.Close()
}

func TestFailedSyncStopsStoreOnly(t *testing.T) {
	mem, f, c := vfs.NewCrashableMem(), &faults{}, newClocks()
	s := mustOpen(Open(errorfs.Wrap(mem, f), "ledger", "n0", time.UnixMilli(c.WallMs())))
	r := newRecorder(s, c)
	for range 100 {
		recordUse(r, c, 0)
	}
	r.flush()
	f.sync.Store(true)
	recordUse(r, c, 1)
	r.Start()
	for !s.Disk.Stopped.Load() {
		time.Sleep(time.Millisecond)
	}
	for range 1000 {
		recordUse(r, c, 2)
	}
	if err := r.Exclusive(20*time.Millisecond, func(*Store) error { return nil }); !errors.Is(err, ErrStopped) {
		t.Error(err)
	}
	if r.Stop(20*time.Millisecond) || r.DurableSearches() != 100 {
		t.Error("it stopped as if all were well;", r.DurableSearches(), "called durable")
	}
	f.sync.Store(false)
	again := mustOpen(Open(mem.CrashClone(vfs.CrashCloneCfg{}), "ledger", "n0", time.Now()))
	if n := again.Ledger.TotalUse()[ledger.Searches]; n != 100 {
		t.Error(n, "after the restart, 100 were durable")
	}
	again.Close()
	s.Disk.Release()
}

func TestFlippedBitIsDetected(t *testing.T) {
	e := &ledger.Entry{Instance: "n0", Epoch: 5, Sequence: 7, Kind: ledger.Use, Period: hour, Key: ledger.Key{Customer: "desk"}, Counts: ledger.Counts{1, 2, 3}}
	b := Encode(e)
	if got, err := Decode(b); err != nil || *got != *e {
		t.Fatal(got, err)
	}
	for i := range b {
		for bit := range 8 {
			b[i] ^= 1 << bit
			if _, err := Decode(b); err == nil {
				t.Fatalf("bit %d of byte %d", bit, i)
			}
			b[i] ^= 1 << bit
		}
	}
	if _, err := Decode(b[:len(b)-1]); !errors.Is(err, ErrTorn) {
		t.Error(err)
	}
	// And in the store, where it stands between others.
	fs := vfs.NewMem()
	s := mustOpen(Open(fs, "ledger", "n0", time.Now()))
	for seq := uint64(1); seq <= 5; seq++ {
		if err := s.Commit([]*ledger.Entry{{Instance: "n0", Epoch: s.Epoch, Sequence: seq, Kind: ledger.Use, Counts: ledger.Counts{1}}}, int64(seq)); err != nil {
			t.Fatal(err)
		}
	}
	bad := Encode(&ledger.Entry{Instance: "n0", Epoch: s.Epoch, Sequence: 3, Kind: ledger.Use, Counts: ledger.Counts{2}})
	bad[len(bad)-3] ^= 1
	s.db.Set(entryKey(3), bad, pebble.Sync)
	if err := s.Verify(); !errors.Is(err, ErrTorn) {
		t.Error(err)
	}
	s.db.Delete(entryKey(3), pebble.Sync)
	if err := s.Verify(); !errors.Is(err, ledger.ErrSequenceGap) {
		t.Error(err)
	}
	s.Close()
	if _, err := Open(fs, "ledger", "n0", time.Now()); !errors.Is(err, ledger.ErrSequenceGap) {
		t.Error("a store with a gap is taken:", err)
	}
}

func TestVersion1RecordsAreRead(t *testing.T) {
	text := `{"Instance":"n0","Epoch":5,"Seq":7,"Sort":2,"Period":3600000,"At":9,"Key":{"Customer":"desk","Kind":"quick","Front":0,"Outcome":0},` +
		`"Counts":[-1,0,0,0,0,0,0,0,0,0],"ID":"k","Author":"a","Reason":"r","Refers":0}`
	b := disk.Seal(1, entryRecord, []byte(text))
	e, err := Decode(b)
	if err != nil || e.CorrectionID != "k" || e.Reference == "" || e.Counts[0] != -1 || e.Sequence != 7 {
		t.Error(e, err)
	}
	b[0] = recordVersion + 1
	if _, err := Decode(b); !errors.Is(err, ErrNewer) {
		t.Error(err)
	}
}

func BenchmarkUsed(b *testing.B) {
	c := newClocks()
	s := mustOpen(Open(vfs.NewMem(), "ledger", "n0", time.Now()))
	r := newRecorder(s, c)
	b.ReportAllocs()
	for b.Loop() {
		recordUse(r, c, 1)
	}
}

func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1e4, 1e5, 1e6} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			fs := vfs.NewMem()
			s := mustOpen(Open(fs, "ledger", "n0", time.Now()))
			for at := 0; at < n; at += 1000 {
				var list []*ledger.Entry
				for i := range 1000 {
					list = append(list, &ledger.Entry{Instance: "n0", Epoch: s.Epoch, Sequence: uint64(at + i + 1), Kind: ledger.Use, Key: ledger.Key{Customer: fmt.Sprint("c", i),
						QueryType: "quick"}, Counts: ledger.Counts{1, 2, 2}})
				}
				if err := s.Commit(list, int64(at)); err != nil {
					b.Fatal(err)
				}
			}
			s.Close()
			for b.Loop() {
				s := mustOpen(Open(fs, "ledger", "n0", time.Now()))
				if s.Recovery.Entries != n {
					b.Fatal(s.Recovery)
				}
				s.Close()
			}
		})
	}
}

// crashPoints clones the file system before each write, sync, create, rename and remove: what a kill there leaves.
type crashPoints struct {
	mem    *vfs.MemFS
	rng    *rand.Rand
	r      *Recorder
	given  *atomic.Int64
	lock   sync.Mutex
	found  []crashPoint
	active atomic.Bool
	kinds  map[errorfs.OpKind]int
}

type crashPoint struct {
	fs             *vfs.MemFS
	durable, given int64
}

func (p *crashPoints) String() string { return "points" }
func (p *crashPoints) MaybeError(op errorfs.Op) error {
	if !p.active.Load() || op.Kind.ReadOrWrite() == errorfs.OpIsRead {
		return nil
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.kinds[op.Kind]++
	durable := p.r.DurableSearches() // before the clone: what is called durable by now must be in it
	for _, share := range []int{0, 50, 100} {
		clone := p.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: share, RNG: p.rng})
		p.found = append(p.found, crashPoint{clone, durable, p.given.Load()})
	}
	return nil
}

func TestCrashAtEveryDiskOperation(t *testing.T) {
	mem, c := vfs.NewCrashableMem(), newClocks()
	p := &crashPoints{mem: mem, rng: rand.New(rand.NewPCG(5, 5)), given: &atomic.Int64{}, kinds: map[errorfs.OpKind]int{}}
	s := mustOpen(Open(errorfs.Wrap(mem, p), "ledger", "n0", time.UnixMilli(c.WallMs())))
	p.r = newRecorder(s, c)
	p.active.Store(true)
	for step := range 40 {
		for i := range 30 {
			p.given.Add(1)
			recordUse(p.r, c, i%3)
		}
		c.advance(600e3) // a period closes now and then
		if err := p.r.flush(); err != nil {
			t.Fatal(err)
		}
		if step%7 == 3 {
			e, _, err := s.Ledger.CorrectionEntry(ledger.CorrectionRequest{CorrectionID: fmt.Sprint(step), Author: "a", Reason: "r", Reference: "x", Period: 100 * hour,
				Key: ledger.Key{Customer: "desk", QueryType: "quick"}, Counts: ledger.Counts{1}}, calendar.PeriodStart(c.WallMs()), c.WallMs())
			if err == nil {
				err = s.Commit([]*ledger.Entry{e}, c.WallMs())
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if step%10 == 9 {
			if err := s.Checkpoint(s.Ledger.NextSequence / 2); err != nil {
				t.Fatal(err)
			}
		}
	}
	p.active.Store(false)
	s.Close()
	for i, at := range p.found {
		got := mustOpen(Open(at.fs, "ledger", "n0", time.Now()))
		n := got.Ledger.TotalUse()[ledger.Searches]
		if n < at.durable || n > at.given {
			t.Fatalf("point %d: %d searches, %d were durable, %d given", i, n, at.durable, at.given)
		}
		if err := got.Verify(); err != nil {
			t.Fatalf("point %d: %v", i, err)
		}
		got.Close()
	}
	t.Logf("%d crashes at %v", len(p.found), p.kinds)
	if len(p.found) < 150 {
		t.Error("only", len(p.found), "points")
	}
}

func TestOldEntriesAreRetiredOnceExported(t *testing.T) {
	fs, c := vfs.NewMem(), newClocks()
	s := mustOpen(Open(fs, "ledger", "n0", time.UnixMilli(c.WallMs())))
	r := newRecorder(s, c)
	for range 30 {
		for i := range 3 {
			recordUse(r, c, i)
		}
		c.advance(hour / 3)
		if err := r.flush(); err != nil {
			t.Fatal(err)
		}
	}
	sum, last := s.Ledger.TotalUse(), s.Ledger.NextSequence-1
	before := c.WallMs() - 5*hour
	if n, err := s.Retire(calendar, before, 1000, "folder"); n != 0 || err != nil {
		t.Error("what has not left is let go of:", n, err)
	}
	if err := s.SaveExport("folder", ExportState{Cursor: export.Cursor{Sequence: last / 2, Batch: 1}}); err != nil {
		t.Fatal(err)
	}
	if n, err := s.Retire(calendar, before, 10, "folder"); n != 10 || err != nil {
		t.Error(n, err)
	}
	n, err := s.Retire(calendar, before, 1000, "folder")
	if n == 0 || uint64(n) > last/2-10 || err != nil || s.Ledger.TotalUse()[ledger.Searches] > sum[ledger.Searches] {
		t.Error(n, err, s.Ledger.TotalUse(), sum)
	}
	s.SaveExport("folder", ExportState{Cursor: export.Cursor{Sequence: last, Batch: 2}})
	if _, err := s.Retire(calendar, before, 1000, "folder"); err != nil {
		t.Fatal(err)
	}
	left := 0
	s.EachEntry(0, func(e *ledger.Entry) error {
		if left++; e.RecordedAt < before {
			t.Error("entry", e.Sequence, "is old and here")
		}
		return nil
	})
	periods := len(s.Ledger.Periods())
	if left == 0 || uint64(left) >= last || periods < 5 || periods > 7 {
		t.Error(left, "entries,", periods, "periods are left")
	}
	if err := s.Verify(); err != nil {
		t.Error(err)
	}
	recordUse(r, c, 0)
	r.flush()
	next, all := s.Ledger.NextSequence, s.Ledger.TotalUse()
	s.Close()
	again := mustOpen(Open(fs, "ledger", "n0", time.Now()))
	defer again.Close()
	if again.Ledger.NextSequence != next || again.Ledger.TotalUse() != all {
		t.Error("after a start", again.Ledger.NextSequence, again.Ledger.TotalUse(), "before", next, all)
	}
}
