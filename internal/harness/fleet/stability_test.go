package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/standin/llmbroker"
)

// TestVersionIsJudgedByStableStretches: a stretch ends with a fault of the core or of a link; what a proxy suffers doesn't count.
func TestVersionIsJudgedByStableStretches(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	killed := func(node string, from, until float64) NodeFault {
		return NodeFault{Node: node, Kind: Killed, StartedAt: at(from), EndedAt: at(until)}
	}
	for name, test := range map[string]struct {
		nodes   []NodeFault
		links   []LinkFault
		started float64
		overdue bool
	}{
		"calm, in time":                 {started: 7.9},
		"calm, overdue":                 {started: 8.1, overdue: true},
		"core killed, stretch in time":  {nodes: []NodeFault{killed("core", 1, 2)}, started: 12.9},
		"core killed, stretch overdue":  {nodes: []NodeFault{killed("core", 1, 2)}, started: 13.1, overdue: true},
		"core not back":                 {nodes: []NodeFault{{Node: "core", Kind: Killed, StartedAt: at(1)}}, started: 60},
		"core disturbed before":         {nodes: []NodeFault{killed("core", -2, -1)}, started: 10.1, overdue: true},
		"a proxy's fault doesn't count": {nodes: []NodeFault{killed("proxy", 1, 2)}, started: 8.1, overdue: true},
		"faults overlap":                {nodes: []NodeFault{killed("core", 1, 6), killed("core", 2, 3)}, started: 16.9},
		"link cut":                      {links: []LinkFault{{StartedAt: at(4), EndedAt: at(5)}}, started: 11.9},
		"stretches add up":              {links: []LinkFault{{StartedAt: at(4), EndedAt: at(5)}}, started: 12.1, overdue: true},
		"short stretches don't": {nodes: []NodeFault{killed("core", 1.9, 2), killed("core", 6.9, 7), killed("core", 11.9, 12),
			killed("core", 16.9, 17), killed("core", 21.9, 22), killed("core", 26.9, 27), killed("core", 31.9, 32)}, started: 34},
	} {
		t.Run(name, func(t *testing.T) {
			e := &evidence{bounds: DefaultBounds(), core: []string{"core"}, nodeFaults: test.nodes, linkFaults: test.links}
			assert.Equal(t, e.versionOverdue(start, at(test.started)), test.overdue)
		})
	}
}

// TestDrainIsJudgedForMachinesInTouch: what a machine sends that was disturbed in the last bound on contact is held up.
func TestDrainIsJudgedForMachinesInTouch(t *testing.T) {
	ackedAt := time.Now()
	bounds := DefaultBounds()
	receivedAt := ackedAt.Add(bounds.Drain + 100*time.Millisecond)
	for name, test := range map[string]struct {
		node    []NodeFault
		links   []LinkFault
		violate bool
	}{
		"undisturbed":             {violate: true},
		"another is disturbed":    {node: []NodeFault{{Node: "node-2", StartedAt: ackedAt}}, violate: true},
		"its link is cut":         {links: []LinkFault{{Node: "node-1", StartedAt: ackedAt}}},
		"its link was just cut":   {links: []LinkFault{{Node: "node-1", StartedAt: ackedAt, EndedAt: receivedAt.Add(-bounds.Contact + time.Second)}}},
		"it was killed long ago":  {node: []NodeFault{{Node: "node-1", StartedAt: ackedAt.Add(-time.Hour), EndedAt: receivedAt.Add(-bounds.Contact - time.Second)}}, violate: true},
		"it was killed just then": {node: []NodeFault{{Node: "node-1", StartedAt: ackedAt, EndedAt: receivedAt.Add(-time.Second)}}},
	} {
		t.Run(name, func(t *testing.T) {
			e := &evidence{
				bounds: bounds, nodeFaults: test.node, linkFaults: test.links,
				attempts: []Attempt{{ID: "r", Node: "node-1"}},
				arrivals: []llmbroker.Arrival{{Request: "r", Instance: "i", ReceivedAt: receivedAt}},
				drains:   []drainedBroker{{instance: "i", ackedAt: ackedAt}},
			}
			e.checkDraining()
			assert.Equal(t, len(e.violations) > 0, test.violate, "%v", e.violations)
		})
	}
}
