package rendezvous_test

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/rendezvous"
)

// TestRanksAreThoseOfOtherNodes: nodes of two builds must choose the same home for a broker. The figures are those of 4c59a1d.
func TestRanksAreThoseOfOtherNodes(t *testing.T) {
	assert.Equal(t, rendezvous.Score("i-5b", "node-1"), uint64(14301190269160219306))
	assert.Equal(t, rendezvous.Score("", "n"), uint64(8748113472884923803))
	names := strings.Fields("node-1 node-2 node-3 node-4 node-5 node-6")
	self := func(name string) string { return name }
	assert.Equal(t, rendezvous.Best("i-5b", names, self), strings.Fields("node-6 node-2 node-1 node-5 node-4 node-3")[0])
	ranked := slices.Clone(names)
	rendezvous.Rank("i-5b", ranked, self)
	assert.Equal(t, strings.Join(ranked, " "), "node-6 node-2 node-1 node-5 node-4 node-3")
}
