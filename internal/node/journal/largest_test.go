package journal_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
)

// TestLargestStateAlwaysFits appends records of the largest size to a state of that size, with the
// checkpoints that the journal asks for, and the record that waits in each of them: nothing is ever
// refused for want of room.
func TestLargestStateAlwaysFits(t *testing.T) {
	for _, disk := range []int64{1 << 20, 8 << 20, 16 << 20, 64 << 20} {
		largest := journal.LargestState(disk)
		assert.Assert(t, largest >= disk/16, "%d of %d", largest, disk)
		opened, _, err := journal.Open(journal.Options{Dir: t.TempDir(), MaxBytes: disk})
		assert.NilError(t, err)
		record := core.Record{Kind: 6, Data: bytes.Repeat([]byte{7}, int(largest))}
		for range 10 {
			assert.NilError(t, opened.Append([]core.Record{record}))
			if opened.NeedsCheckpoint() {
				assert.NilError(t, opened.Checkpoint([]core.Record{record, record}))
			}
		}
		assert.NilError(t, opened.Close())
	}
}
