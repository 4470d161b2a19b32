package fleet

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlatform picks nodes as PROTOCOL.md, "Ingress", says: two nodes in zone-a and zone-b, one in zone-c.
func TestPlatform(t *testing.T) {
	var nodes []*Node
	for i, name := range []string{"1", "2", "3", "4", "5"} {
		nodes = append(nodes, &Node{Name: name, Zone: Zones[i%len(Zones)]})
	}
	for _, test := range []struct {
		name   string
		out    string // nodes that missed their checks
		zone   string
		client int
		picks  string // by attempt
	}{
		{"own zone first", "", "zone-a", 0, "1 4 2 5 3 1"},
		{"another client", "", "zone-a", 1, "4 1 5 2 3 4"},
		{"one is out", "1", "zone-a", 0, "4 2 5 3"},
		{"none is in", "1 4", "zone-a", 0, "2 5 3"},
		{"the only one of a zone", "", "zone-c", 0, "3 1 4 2 5"},
		{"nobody is in", "1 2 3 4 5", "zone-b", 0, "1 2 3 4 5"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPlatform(nodes)
			clear(p.misses)
			for name := range strings.FieldsSeq(test.out) {
				p.misses[name] = maxMisses
			}
			for attempt, expected := range strings.Fields(test.picks) {
				assert.Equal(t, p.pickNode(test.zone, test.client, attempt).Name, expected)
			}
		})
	}
}
