package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// binary is kestrelnode, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(withBinary(m.Run))
}

func withBinary(run func() int) int {
	dir, err := os.MkdirTemp("", "kestrelnode")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "kestrelnode")
	arguments := append([]string{"build", "-o", binary}, raceFlags...)
	build := exec.Command("go", append(arguments, "kestrelspread/cmd/kestrelnode")...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Printf("go build: %v\n%s", err, output)
		return 1
	}
	return run()
}

// patience bounds every wait of the tests; a passing test never waits it out.
const patience = 40 * time.Second

// atOnce bounds how many fleets run at the same time: each has five processes.
var atOnce = make(chan struct{}, 3)

// testBounds keep the waits that the rules ask for short.
func testBounds() Bounds {
	bounds := DefaultBounds()
	bounds.Heartbeat = 500 * time.Millisecond
	bounds.Grace = 5 * time.Second
	bounds.Drain = 1500 * time.Millisecond
	return bounds
}

// scenario is a fleet under load.
type scenario struct {
	*Fleet
	t    *testing.T
	ctx  context.Context
	load *Load
}

// newScenario starts a fleet, has it serve the first configuration, and loads it. alter changes its bounds; it may be nil.
func newScenario(t *testing.T, alter func(*Bounds)) *scenario {
	t.Helper()
	t.Parallel()
	atOnce <- struct{}{}
	t.Cleanup(func() { <-atOnce })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	bounds := testBounds()
	if alter != nil {
		alter(&bounds)
	}
	started, err := Start(Options{Binary: binary, Dir: folder(t), Bounds: bounds})
	assert.NilError(t, err)
	s := &scenario{Fleet: started, t: t, ctx: ctx}
	t.Cleanup(s.end)
	s.must(s.FirstSteps(ctx))
	s.load = s.StartLoad(200 * time.Millisecond)
	return s
}

// memoryFolder is a file system in memory, where this machine has one.
const memoryFolder = "/dev/shm"

// folder gives the nodes' disks a place. Where it can be, that is in memory: a machine that is busy with other work takes
// seconds for a sync now and then, and the core is built to bear one trouble at a time, which is the test's. Disks in trouble
// have tests of their own in package journal.
func folder(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryFolder, "kestrelfleet")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// must ends the test where something did not come to pass.
func (s *scenario) must(err error) {
	s.t.Helper()
	assert.NilError(s.t, err)
}

// end closes the fleet, and shows what the nodes wrote where the test failed.
func (s *scenario) end() {
	if s.load != nil {
		s.load.Stop()
	}
	s.Close()
	if !s.t.Failed() {
		return
	}
	for _, node := range s.Nodes {
		s.t.Logf("--- %s (%s, disk %v) ---\n%s", node.Name, node.Zone, node.HasDisk, lastLines(node.Log(), 60))
	}
}

// settle stops the load, checks the rules and the configuration, and returns the counts.
func (s *scenario) settle() Tally {
	s.t.Helper()
	s.load.Stop()
	s.must(s.Operator.CheckReadBack(s.ctx))
	for _, breach := range s.Check(s.load) {
		s.t.Error(breach)
	}
	for _, record := range s.load.Book.Records() {
		if record.Phase >= 0 && (record.Outcome == Failed || record.Outcome == Denied) {
			s.t.Logf("%s on %s at %s: status %d after %v, arrivals %+v", clock(record.SentAt), record.Prefix, record.Node, record.Status,
				record.EndedAt.Sub(record.SentAt).Round(time.Millisecond), s.Ledger.Of(record.ID))
		}
	}
	counts := s.Count(s.load, 1)
	total := counts.Total()
	s.t.Logf("%+v", total)
	return total
}

// servesOn checks that what the fleet is built to bear leads to few refusals.
func (s *scenario) servesOn(total Tally) {
	s.t.Helper()
	const most = 0.05 // share of what was sent
	assert.Assert(s.t, float64(total.Refused) <= most*float64(total.Sent), "%+v", total)
}

func TestFirstConfigurationAndRequests(t *testing.T) {
	s := newScenario(t, nil)
	s.must(s.load.AwaitAnswers(s.ctx, 20))
	total := s.settle()
	assert.Equal(t, total.Failed, 0)
	assert.Equal(t, total.Cut, 0)
}
