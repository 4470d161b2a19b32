package voter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
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

// testGroup is voters in one process, each with a disk in memory.
type testGroup struct {
	t       *testing.T
	voters  []Address
	disks   []vfs.FS
	servers []*Server
}

func newTestGroup(t *testing.T, n int) *testGroup {
	g := &testGroup{t: t, disks: make([]vfs.FS, n), servers: make([]*Server, n)}
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0") // the port is taken by the voter that listens there next
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
		for _, s := range g.servers {
			if s != nil {
				s.Close()
			}
		}
	})
	return g
}

func (g *testGroup) options(i int) Options {
	leaseConfig := lease.DefaultConfig
	leaseConfig.LeaseMs = 500
	membershipConfig := membership.Config{HelloTTLMs: 3000, ReplaceAfterMs: 1500, RetryIntervalMs: 200}
	return Options{Name: g.voters[i].Name, Listen: g.voters[i].Addr, Dir: "voter", FS: g.disks[i], Voters: g.voters, LeaseConfig: leaseConfig, MembershipConfig: membershipConfig,
		TickInterval: 20 * time.Millisecond, Log: zerolog.Nop()}
}

func (g *testGroup) start(i int) {
	g.t.Helper()
	var err error
	for range 100 {
		if g.servers[i], err = Start(g.options(i)); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond) // the address may not be free yet
	}
	g.t.Fatal(err)
}

func (g *testGroup) stop(i int) {
	g.servers[i].Close()
	g.servers[i] = nil
}

// waitFor waits, far longer than it takes, for a leader's confirmed status to fulfil a condition.
func (g *testGroup) waitFor(what string, ok func(v transport.Status) bool) (v transport.Status) {
	g.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		for _, s := range g.servers {
			if s == nil {
				continue
			}
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			now, err := s.Status(ctx)
			end()
			if err == nil && now.Confirmed {
				if v = now; ok(v) {
					return v
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, s := range g.servers {
		if s != nil {
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			now, err := s.Status(ctx)
			end()
			now.History = nil
			g.t.Logf("%s: %+v %v, fault %q, disk fault %q", s.options.Name, now, err, s.fault, s.store.Fault())
		}
	}
	g.t.Fatalf("never: %s; the latest is %+v", what, v)
	return v
}

func (g *testGroup) leader() *Server {
	v := g.waitFor("a leader", func(transport.Status) bool { return true })
	for _, s := range g.servers {
		if s != nil && s.options.Name == v.Name {
			return s
		}
	}
	return nil
}

// submit submits a command to whichever voter leads, until its outcome is known.
func (g *testGroup) submit(c lease.Command) transport.CommandResult {
	g.t.Helper()
	for range 500 {
		if l := g.leader(); l != nil {
			ctx, end := context.WithTimeout(context.Background(), 3*time.Second)
			d, err := l.handleCommand(ctx, c)
			end()
			if err == nil && d.OutcomeKnown {
				return d
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("no answer to ", c)
	return transport.CommandResult{}
}

func hasVoters(n int) func(v transport.Status) bool {
	return func(v transport.Status) bool { return len(v.Voters) == n }
}

func TestGroupKeepsTokensThroughRestarts(t *testing.T) {
	g := newTestGroup(t, 3)
	g.waitFor("three voters", hasVoters(3))
	g.submit(lease.Command{Kind: lease.CommandDefine, Role: "d"})
	d := g.submit(lease.Command{Kind: lease.CommandGrant, Role: "d", Target: "i.1"})
	if !d.OK || d.Role.Token == 0 {
		t.Fatal(d)
	}
	for range 2 { // all at once, one after another again
		for i := range 3 {
			g.stop(i)
		}
		for i := range 3 {
			g.start(i)
		}
		v := g.waitFor("the role is known again", func(v transport.Status) bool { return len(v.Roles) == 1 })
		if v.NextToken <= d.Role.Token {
			t.Fatalf("the next token is %d after %d was granted", v.NextToken, d.Role.Token)
		}
	}
	// The holder sends no request: its lease runs out, and the next token is higher.
	g.waitFor("the lease runs out", func(v transport.Status) bool { return v.Roles[0].Holder == "" })
	next := g.submit(lease.Command{Kind: lease.CommandGrant, Role: "d", Token: d.Role.Token, Target: "i.2"})
	if !next.OK || next.Role.Token <= d.Role.Token {
		t.Fatal(next)
	}
	if late := g.submit(lease.Command{Kind: lease.CommandProgress, Role: "d", Token: d.Role.Token, Progress: []byte("late")}); late.OK {
		t.Fatal("a stale holder's progress was stored")
	}
}

func TestVoterWithLostDiskLearnsUnderNewID(t *testing.T) {
	g := newTestGroup(t, 3)
	v := g.waitFor("three voters", hasVoters(3))
	old := map[string]uint64{}
	for _, o := range v.Voters {
		old[o.Name] = o.ID
	}
	g.submit(lease.Command{Kind: lease.CommandDefine, Role: "d"})
	g.stop(2)
	g.disks[2] = vfs.NewMem()
	g.start(2)
	// Twice in a row: that the change is over is with a majority once the second view was confirmed.
	seen := 0
	v = g.waitFor("the new disk votes, the lost one does not", func(v transport.Status) bool {
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
	g.waitFor("two of three go on", func(v transport.Status) bool { return v.Name != "v0" })
	if d := g.submit(lease.Command{Kind: lease.CommandGrant, Role: "d", Target: "i.1"}); !d.OK {
		t.Fatal(d)
	}
}

func TestStatusNamesLeavingVotersDuringChange(t *testing.T) {
	// In the middle of the change that puts 4 in the place of 3.
	disk := consensus.DurableState{ID: 1, HardState: raftpb.HardState{Term: 2, Commit: 6}, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 6, Term: 2,
		ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 4}, VotersOutgoing: []uint64{1, 2, 3}, AutoLeave: true}}}}
	v, err := replica.New(disk, lease.DefaultConfig, consensus.DefaultConfig, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{store: &storage.Store{Identity: storage.Identity{VoterID: 1}}, replica: v, membership: membership.New(membership.DefaultConfig, membership.Hello{Name: "a", VoterID: 1}, []string{"a", "b"}, 0)}
	var view transport.Status
	s.fillStatus(&view)
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
	if who := s.voterName(v.LeaderID()); who != "" {
		t.Errorf("nobody leads, and it is called %q", who)
	}
}

// TestFailedStartLeavesNothingRunning: where a later peer's address is unusable, no loop to an earlier one goes on, and the
// disk can be opened again.
func TestFailedStartLeavesNothingRunning(t *testing.T) {
	options := Options{Name: "v0", Listen: "127.0.0.1:0", Dir: "voter", FS: vfs.NewMem(), LeaseConfig: lease.DefaultConfig,
		Voters: []Address{{"v0", "127.0.0.1:1"}, {"v1", "127.0.0.1:2"}, {"v2", "127.0.0.1\x7f"}}, Log: zerolog.Nop()}
	if _, err := Start(options); err == nil {
		t.Fatal("an address that can't be dialled is accepted")
	}
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, loop := range []string{"sendLoop", "helloLoop"} {
		if bytes.Contains(stacks, []byte(loop)) {
			t.Errorf("%s still runs", loop)
		}
	}
	options.Voters = options.Voters[:2]
	s, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
}

func TestSecondProcessOnDiskIsRejected(t *testing.T) {
	g := newTestGroup(t, 1)
	o := g.options(0)
	o.FS, o.Dir = vfs.Default, t.TempDir()
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

// A voter whose disk fails to sync must not vote any more, as nobody knows what is on it. The
// others go on, and so does the process.
func TestVoterWithFailedDiskHalts(t *testing.T) {
	var syncFails atomic.Bool
	g := newTestGroup(t, 3)
	g.waitFor("three voters", hasVoters(3))
	g.stop(1)
	g.disks[1] = errorfs.Wrap(g.disks[1], errorfs.InjectorFunc(func(op errorfs.Op) error {
		if syncFails.Load() && (op.Kind == errorfs.OpFileSync || op.Kind == errorfs.OpFileSyncData) {
			return errors.New("the disk is gone")
		}
		return nil
	}))
	g.start(1)
	g.waitFor("three voters again", hasVoters(3))
	syncFails.Store(true)
	for i := range 3 {
		if d := g.submit(lease.Command{Kind: lease.CommandDefine, Role: fmt.Sprint("d", i)}); !d.OK {
			t.Fatal(d)
		}
	}
	for range 500 {
		if g.servers[1].store.Fault() != "" {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if g.servers[1].store.Fault() == "" {
		t.Error("the status has no disk fault")
	}
	if v := g.waitFor("the others go on", func(v transport.Status) bool { return v.Name != "v1" && len(v.Roles) == 3 }); v.Name == "v1" {
		t.Error("it leads")
	}
}

// A voter that does not lead names the leader; what is too long is rejected.
func TestRequestsAreRedirectedToLeader(t *testing.T) {
	g := newTestGroup(t, 3)
	lead := g.leader()
	for _, s := range g.servers {
		ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
		a, err := s.handleRequest(ctx, replica.Request{Instance: "i.1", SentAt: 5})
		end()
		if err != nil || a.SentAt != 5 {
			t.Fatal(a, err)
		}
		if s != lead && !a.OK && a.LeaderName != lead.options.Name && a.LeaderName != "" {
			t.Errorf("%s names %s, %s leads", s.options.Name, a.LeaderName, lead.options.Name)
		}
	}
	if d := g.submit(lease.Command{Kind: lease.CommandDefine, Role: string(make([]byte, 4096))}); d.OK {
		t.Error("a name of 4 kB was accepted")
	}
	if n := len(g.servers[0].events); n > 100 {
		t.Error(n, "events wait")
	}
}
