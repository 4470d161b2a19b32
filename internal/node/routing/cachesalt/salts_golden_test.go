package cachesalt

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSaltsMatchOtherNodes guards the texts and numbers of salts: brokers find cached parts by
// them, and nodes refer to cached parts by them in messages to one another. The values are those of
// commit 4c59a1d.
func TestSaltsMatchOtherNodes(t *testing.T) {
	for _, c := range []struct {
		model   string
		version uint64
		tenant  string
		text    string
		id      uint64
	}{
		{"daka510000", 3, "", "daka510000|3", 13937833645475395689},
		{"m/\u00e9 x", 12, "ten|ant", "m%2f%c3%a9%20x|12|ten%7cant", 2045693437577175244},
	} {
		assert.Equal(t, Text(c.model, c.version, c.tenant), c.text)
		assert.Equal(t, ID(c.text), c.id)
	}
}
