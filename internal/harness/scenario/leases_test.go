package scenario

import (
	"testing"
)

// TestStagesWithoutAVoterAreNone: where no voter can be polled, the watch ends without stages.
func TestStagesWithoutAVoterAreNone(t *testing.T) {
	watch := &leaseRun{run: &runner{File: &File{Leases: &Leases{PacesReturn: true}}}}
	watch.watchReturnStages(t.Context())
	if len(watch.stages) != 0 {
		t.Errorf("stages of nobody: %v", watch.stages)
	}
}
