package fleet

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/harness/nodeprogram"
)

// binary is kestrelnode, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(nodeprogram.WithBuilt(func(path string) int {
		binary = path
		return m.Run()
	}, raceFlags...))
}

// testTimeout bounds a test; one that passes does not reach it.
const testTimeout = 40 * time.Second

// fleetSlots bounds the number of concurrent fleets: each has five processes.
var fleetSlots = make(chan struct{}, 3)

// testBounds shorten the waits that the rules require.
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

// newScenario starts a fleet with the first configuration and load. alter changes its bounds; it may be nil.
func newScenario(t *testing.T, alter func(*Bounds)) *scenario {
	t.Helper()
	return newScenarioOf(t, Options{}, alter)
}

// newScenarioOf is newScenario with options, of which it sets the program, the directory and the bounds.
func newScenarioOf(t *testing.T, options Options, alter func(*Bounds)) *scenario {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	bounds := testBounds()
	if alter != nil {
		alter(&bounds)
	}
	options.Binary, options.Dir, options.Bounds = binary, diskDir(t), bounds
	started, err := Start(options)
	assert.NilError(t, err)
	s := &scenario{Fleet: started, t: t, ctx: ctx}
	t.Cleanup(s.end)
	s.must(s.Bootstrap(ctx))
	s.load = s.StartLoad(200 * time.Millisecond)
	return s
}

// memoryDir is a file system in memory, if the machine has one.
const memoryDir = "/dev/shm"

// diskDir creates a directory for the nodes' disks, in memory if possible: a busy machine takes seconds for a sync now and then, which
// would be a fault that the test does not inject. Faulty disks have tests of their own in package journal.
func diskDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir, "kestrelfleet")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// must ends the test on an error.
func (s *scenario) must(err error) {
	s.t.Helper()
	assert.NilError(s.t, err)
}

// end closes the fleet, and shows the logs of the nodes if the test failed.
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

// finish stops the load, checks the rules and the configuration, and returns the counts.
func (s *scenario) finish() Tally {
	s.t.Helper()
	s.load.Stop()
	s.must(s.Operator.CheckReadBack(s.ctx))
	for _, violation := range s.Check(s.load) {
		s.t.Error(violation)
	}
	for _, attempt := range s.load.Attempts.All() {
		if attempt.Phase >= 0 && (attempt.Outcome == ServerError || attempt.Outcome == ClientError) {
			s.t.Logf("%s on %s at %s: status %d after %v, arrivals %+v", formatTime(attempt.SentAt), attempt.Prefix, attempt.Node, attempt.Status,
				attempt.EndedAt.Sub(attempt.SentAt).Round(time.Millisecond), s.ArrivalLog.OfRequest(attempt.ID))
		}
	}
	counts := s.Count(s.load, 1)
	total := counts.Total()
	s.t.Logf("%+v", total)
	return total
}

// requireFewRejections checks that tolerated faults lead to few rejections.
func (s *scenario) requireFewRejections(total Tally) {
	s.t.Helper()
	const maxShare = 0.05 // share of what was sent
	assert.Assert(s.t, float64(total.Rejected) <= maxShare*float64(total.Sent), "%+v", total)
}

func TestFirstConfigurationAndRequests(t *testing.T) {
	s := newScenario(t, nil)
	s.must(s.load.AwaitAnswers(s.ctx, 20))
	total := s.finish()
	assert.Equal(t, total.Failed, 0)
	assert.Equal(t, total.Interrupted, 0)
}
