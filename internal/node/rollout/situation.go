package rollout

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// RoleName is the name of the singleton role in the control state, and so part of stored data.
const RoleName = "weights"

// HeadLeaseDuration is how long after its start a completed barrier allows orders.
const HeadLeaseDuration = time.Second

// Options are the bounds of the deployment that concern the role. Source: DEPLOY.md, "Settings of a
// process".
type Options struct {
	// Lease is `leaseMs`: orders of two holders to one broker must be further apart than this.
	Lease time.Duration
	// ThawGrace is `thawMs`: for so long after a frozen process runs again its orders do not count.
	ThawGrace time.Duration
	// VersionBound is `versionMs`: within it from its acknowledgement a version must be loaded
	// everywhere.
	VersionBound time.Duration
	// BaseConcurrency is how many brokers of a service load at once while time doesn't press; 0: a
	// share of their number.
	BaseConcurrency int
}

// Target is the newest named version of a model.
type Target struct {
	Model   string
	Version uint64
	KnownAt core.Time // when this node learnt of it
}

// Situation is what the machine needs to know of its node at a step.
type Situation struct {
	// Head reports whether this node is the head of the chain in Epoch.
	Head  bool
	Epoch uint64
	// HeadLeaseStart is when this node's latest completed barrier in Epoch was started; 0: none has
	// completed.
	HeadLeaseStart core.Time
	// Targets are the newest named versions, one for each model.
	Targets []Target
	// Instances are the known brokers; those in state GONE are ignored.
	Instances []*nodepb.Instance
	// Grant is the committed grant of RoleName, released or not; nil: there is none.
	Grant *nodepb.LeaseChange
	// GrantAsOf is the time as of which Grant is known to be current (from the age of the
	// distributed state); 0: not known.
	GrantAsOf core.Time
	// HolderID identifies this machine in orders and grants, the same in all its incarnations.
	HolderID string
}

// headLeaseEnd is when the head lease ends. Until then no other node can have become head, so orders
// may leave; from then on none may.
func (s *Situation) headLeaseEnd() core.Time {
	if s.HeadLeaseStart <= 0 {
		return 0
	}
	return s.HeadLeaseStart + HeadLeaseDuration
}

// Report is a broker's answer to GET /kestrelspread/report; it is some hundred ms old. Source:
// PROTOCOL.md, "Requests".
type Report struct {
	Stage    string          `json:"stage"`
	Models   []ReportedModel `json:"models"`
	Busy     bool            `json:"busy"`     // an order is being carried out
	Sequence uint64          `json:"sequence"` // number of orders taken
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	KVUsed   int64           `json:"kvUsed"`  // tokens that can't be evicted
	KVTotal  int64           `json:"kvTotal"` // tokens
	Handles  int             `json:"handles"`
}

// ReportedModel is a model on a broker with the version of its weights.
type ReportedModel struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"version"`
	Adapters []string `json:"adapters"`
}

// version is the reported version of a model; 0: the broker does not run it.
func (r *Report) version(model string) uint64 {
	for i := range r.Models {
		if r.Models[i].Name == model {
			return r.Models[i].Version
		}
	}
	return 0
}
