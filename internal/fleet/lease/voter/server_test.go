package voter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
	"kestrelspread/internal/fleet/lease/storage"
	"kestrelspread/internal/fleet/lease/transport"
)

// group is voters in one process, each with a disk in memory.
type group struct {
	t      *testing.T
	voters []Address
	disks  []vfs.FS
	seats  []*Seat
}

func newGroup(t *testing.T, n int) *group {
	g := &group{t: t, disks: make([]vfs.FS, n), seats: make([]*Seat, n)}
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0") // its number is kept by whoever listens there next
		if err != nil {
			t.Fatal(err)
		}
		g.voters = append(g.voters, Address{fmt.Sprint("v", i), l.Addr().String()})
		l.Close()
		g.disks[i] = vfs.NewMem()
	}
	for i := range n {
		g.start(i)
	}
	t.Cleanup(func() {
		for _, s := range g.seats {
			if s != nil {
				s.Close()
			}
		}
	})
	return g
}

func (g *group) options(i int) Options {
	rules := lease.Usual
	rules.Lease = 500
	quick := membership.Rules{Fresh: 3000, Gone: 1500, Again: 200}
	return Options{Name: g.voters[i].Name, Listen: g.voters[i].Addr, Folder: "voter", FS: g.disks[i], Voters: g.voters, Rules: rules, Roster: quick,
		Tick: 20 * time.Millisecond, Log: zerolog.Nop()}
}

func (g *group) start(i int) {
	g.t.Helper()
	var err error
	for range 100 {
		if g.seats[i], err = Start(g.options(i)); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond) // its address may not be free yet
	}
	g.t.Fatal(err)
}

func (g *group) stop(i int) {
	g.seats[i].Close()
	g.seats[i] = nil
}

// until waits far longer than it takes, and gives the leader's view.
func (g *group) until(what string, ok func(v transport.View) bool) (v transport.View) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, s := range g.seats {
			if s == nil {
				continue
			}
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			now, err := s.Look(ctx)
			end()
			if err == nil && now.Confirmed {
				if v = now; ok(v) {
					return v
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range g.seats {
		if s != nil {
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			now, err := s.Look(ctx)
			end()
			now.History = nil
			g.t.Logf("%s: %+v %v, failed %q, trouble %q", s.opt.Name, now, err, s.failed, s.k.Trouble())
		}
	}
	g.t.Fatalf("never: %s; the latest is %+v", what, v)
	return v
}

func (g *group) leader() *Seat {
	v := g.until("a leader", func(transport.View) bool { return true })
	for _, s := range g.seats {
		if s != nil && s.opt.Name == v.Name {
			return s
		}
	}
	return nil
}

// do gives a command to whoever leads.
func (g *group) do(c lease.Command) transport.Done {
	g.t.Helper()
	for range 500 {
		if l := g.leader(); l != nil {
			ctx, end := context.WithTimeout(context.Background(), 3*time.Second)
			d, err := l.do(ctx, c)
			end()
			if err == nil && d.Known {
				return d
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("no answer to ", c)
	return transport.Done{}
}

func votes(n int) func(v transport.View) bool {
	return func(v transport.View) bool { return len(v.Voters) == n }
}

func TestAGroupIsFoundedAndKeepsItsTokensThroughRestarts(t *testing.T) {
	g := newGroup(t, 3)
	g.until("three voters", votes(3))
	g.do(lease.Command{Kind: lease.Define, Duty: "d"})
	d := g.do(lease.Command{Kind: lease.Grant, Duty: "d", To: "i.1"})
	if !d.OK || d.Duty.Token == 0 {
		t.Fatal(d)
	}
	for range 2 { // all at once, one after another again
		for i := range 3 {
			g.stop(i)
		}
		for i := range 3 {
			g.start(i)
		}
		v := g.until("the duty is known again", func(v transport.View) bool { return len(v.Duties) == 1 })
		if v.Next <= d.Duty.Token {
			t.Fatalf("the next token is %d after %d was given", v.Next, d.Duty.Token)
		}
	}
	// The owner is never heard of again: its lease runs out, and the token of the next is higher.
	g.until("the lease runs out", func(v transport.View) bool { return v.Duties[0].Owner == "" })
	next := g.do(lease.Command{Kind: lease.Grant, Duty: "d", Token: d.Duty.Token, To: "i.2"})
	if !next.OK || next.Duty.Token <= d.Duty.Token {
		t.Fatal(next)
	}
	if late := g.do(lease.Command{Kind: lease.Progress, Duty: "d", Token: d.Duty.Token, Data: []byte("late")}); late.OK {
		t.Fatal("an old owner's word was taken")
	}
}

func TestAVoterWhoseDiskIsGoneLearnsUnderAnotherNumber(t *testing.T) {
	g := newGroup(t, 3)
	v := g.until("three voters", votes(3))
	old := map[string]uint64{}
	for _, o := range v.Voters {
		old[o.Name] = o.ID
	}
	g.do(lease.Command{Kind: lease.Define, Duty: "d"})
	g.stop(2)
	g.disks[2] = vfs.NewMem()
	g.start(2)
	// Twice in a row: that the change is over is with a majority once the second view was confirmed.
	seen := 0
	v = g.until("the new disk votes, the old one does not", func(v transport.View) bool {
		over := len(v.Voters) == 3
		for _, o := range v.Voters {
			over = over && (o.Name != "v2" || !o.Learner && o.ID != old["v2"])
		}
		if seen++; !over {
			seen = 0
		}
		return seen == 2
	})
	// It counts: with another voter down the two go on.
	g.stop(0)
	g.until("two of three go on", func(v transport.View) bool { return v.Name != "v0" })
	if d := g.do(lease.Command{Kind: lease.Grant, Duty: "d", To: "i.1"}); !d.OK {
		t.Fatal(d)
	}
}

func TestAViewNamesWhoseVoteStillCountsDuringAChange(t *testing.T) {
	// In the middle of the change that puts 4 in the place of 3.
	disk := consensus.Disk{ID: 1, Hard: raftpb.HardState{Term: 2, Commit: 6}, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 6, Term: 2,
		ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 4}, VotersOutgoing: []uint64{1, 2, 3}, AutoLeave: true}}}}
	v, err := replica.New(disk, lease.Usual, consensus.Usual, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &Seat{k: &storage.Keep{Identity: storage.Identity{ID: 1}}, v: v, r: membership.New(membership.Usual, membership.Hello{Name: "a", ID: 1}, []string{"a", "b"}, 0)}
	var view transport.View
	s.show(&view)
	var leaving, staying []uint64
	for _, o := range view.Voters {
		if o.Leaving {
			leaving = append(leaving, o.ID)
		} else {
			staying = append(staying, o.ID)
		}
	}
	slices.Sort(staying)
	if !slices.Equal(leaving, []uint64{3}) || !slices.Equal(staying, []uint64{1, 2, 4}) {
		t.Error(leaving, "leave, the others are", staying)
	}
	if who := s.name(v.Leader()); who != "" {
		t.Errorf("nobody leads, and it is called %q", who)
	}
}

func TestASecondProcessOnOneDiskIsRefused(t *testing.T) {
	g := newGroup(t, 1)
	o := g.options(0)
	o.FS, o.Folder = vfs.Default, t.TempDir()
	o.Listen = "127.0.0.1:0"
	one, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	if two, err := Start(o); err == nil {
		two.Close()
		t.Fatal("two voters on one disk")
	}
}

// A disk whose sync fails must not vote any more, as nobody knows what is on it; the others go on, and so does the process.
func TestAVoterWhoseDiskFailsSaysNothing(t *testing.T) {
	var fails atomic.Bool
	g := newGroup(t, 3)
	g.until("three voters", votes(3))
	g.stop(1)
	g.disks[1] = errorfs.Wrap(g.disks[1], errorfs.InjectorFunc(func(op errorfs.Op) error {
		if fails.Load() && (op.Kind == errorfs.OpFileSync || op.Kind == errorfs.OpFileSyncData) {
			return errors.New("the disk is gone")
		}
		return nil
	}))
	g.start(1)
	g.until("three voters again", votes(3))
	fails.Store(true)
	for i := range 3 {
		if d := g.do(lease.Command{Kind: lease.Define, Duty: fmt.Sprint("d", i)}); !d.OK {
			t.Fatal(d)
		}
	}
	for range 500 {
		if g.seats[1].k.Trouble() != "" {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if g.seats[1].k.Trouble() == "" {
		t.Error("nothing is said of the disk")
	}
	if v := g.until("the others go on", func(v transport.View) bool { return v.Name != "v1" && len(v.Duties) == 3 }); v.Name == "v1" {
		t.Error("it leads")
	}
}

// A question that is asked of a voter that does not lead is told whom to ask; what is too long is not taken.
func TestQuestionsFindTheLeader(t *testing.T) {
	g := newGroup(t, 3)
	lead := g.leader()
	for _, s := range g.seats {
		ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
		a, err := s.ask(ctx, replica.Question{Instance: "i.1", At: 5})
		end()
		if err != nil || a.At != 5 {
			t.Fatal(a, err)
		}
		if s != lead && !a.OK && a.Leader != lead.opt.Name && a.Leader != "" {
			t.Errorf("%s names %s, %s leads", s.opt.Name, a.Leader, lead.opt.Name)
		}
	}
	if d := g.do(lease.Command{Kind: lease.Define, Duty: string(make([]byte, 4096))}); d.OK {
		t.Error("a name of 4 kB was taken")
	}
	if n := len(g.seats[0].events); n > 100 {
		t.Error(n, "events wait")
	}
}
