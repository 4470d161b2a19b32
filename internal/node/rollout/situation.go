package rollout

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// RoleName is the name of the duty in the control state.
const RoleName = "weights"

// HeadLeaseDuration is how long after its start a completed barrier allows orders.
const HeadLeaseDuration = time.Second

// Options are the bounds of the deployment that concern the duty. Source: DEPLOY.md, "Settings of a process".
type Options struct {
	// Lease is `leaseMs`: within it no two holders may take turns at one broker.
	Lease time.Duration
	// ThawGrace is `thawMs`: for so long after a thaw the orders of a holder do not count.
	ThawGrace time.Duration
	// VersionBound is `versionMs`: within it from its acknowledgement a version is to be everywhere.
	VersionBound time.Duration
	// BaseConcurrency is how many brokers of a service are usually loaded at the same time; 0: by their number.
	BaseConcurrency int
}

// Target is the newest named version of a model.
type Target struct {
	Model   string
	Version uint64
	KnownAt core.Time // when this node learnt of it
}

// Situation is what the machine needs to know of the world at a step.
type Situation struct {
	// Head: this node is the head of the chain in Epoch.
	Head  bool
	Epoch uint64
	// HeadLeaseStart is when this node's latest barrier in Epoch that completed was started; 0: none has.
	HeadLeaseStart core.Time
	// Targets are the newest named versions, one for each model.
	Targets []Target
	// Instances are the brokers known; those that are gone are ignored.
	Instances []*nodepb.Instance
	// Grant is what stands in the control state for DutyName, released or not; nil: nothing.
	Grant *nodepb.DutyChange
	// GrantAsOf is the moment as of which Grant is known to be current (the age of the distributed state); 0: not known.
	GrantAsOf core.Time
	// HolderID is this machine's identity in orders, the same in all lives of its process.
	HolderID string
}

// headLeaseEnd is the moment from which no order may leave any more.
func (s *Situation) headLeaseEnd() core.Time {
	if s.HeadLeaseStart <= 0 {
		return 0
	}
	return s.HeadLeaseStart + HeadLeaseDuration
}

// Report is a broker's answer to GET /kestrelspread/report; it is some hundred ms old. Source: PROTOCOL.md, "Requests".
type Report struct {
	Stage    string          `json:"stage"`
	Models   []ReportedModel `json:"models"`
	Busy     bool            `json:"busy"`     // an order is under way
	Sequence uint64          `json:"sequence"` // orders taken
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	KVUsed   int64           `json:"kvUsed"`  // tokens that can't give way
	KVTotal  int64           `json:"kvTotal"` // tokens
	Handles  int             `json:"handles"`
}

// ReportedModel is a model on a broker with the version of its weights.
type ReportedModel struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"version"`
	Adapters []string `json:"adapters"`
}

// version of the model that the broker reports; 0: it does not run it.
func (r *Report) version(model string) uint64 {
	for i := range r.Models {
		if r.Models[i].Name == model {
			return r.Models[i].Version
		}
	}
	return 0
}
