// Package nodestatus is the status that a node reports to operators, at GET /kestrelspread/status of its
// control address: its JSON form, its client, and the comparison of several nodes' statuses.
//
// It collects nothing itself (package agent does) and is not for decisions: a status is a snapshot and
// may be old. Invariant: the keys are an interface to operators' scripts and stay; Go names may change.
package nodestatus

// Status is one node's view of itself and of the fleet.
type Status struct {
	Node               string            `json:"node"`
	ID                 string            `json:"id"` // of this incarnation of the node; empty: the node was too busy to collect its status
	Zone               string            `json:"zone"`
	Ready              bool              `json:"ready"`         // for clients
	ConfigVersion      uint64            `json:"configVersion"` // in force here; 0: none
	StateIndex         uint64            `json:"stateIndex"`    // of the control state that is in force here
	ConfirmedAgo       string            `json:"confirmedAgo"`  // age of that state's confirmation; empty: never confirmed
	ModelVersions      map[string]uint64 `json:"modelVersions"` // named weights by model
	Members            []Member          `json:"members"`
	Chain              *Chain            `json:"chain,omitempty"` // nil: no view is known
	Instances          []Instance        `json:"instances"`
	Requests           Requests          `json:"requests"`
	Choices            Choices           `json:"choices"`
	Refusals           map[string]uint64 `json:"refusals"` // by reason
	Prompts            Prompts           `json:"prompts"`
	Late               map[string]uint64 `json:"late"`               // answers of model brokers by cause
	NewestLate         []LateRequest     `json:"lateNewest"`         // the oldest first
	DisabledMechanisms []string          `json:"disabled,omitempty"` // mechanisms that are switched off
}

// Prompts counts the shared tokens of prompts that were forwarded to model brokers, by their expected
// source.
type Prompts struct {
	Shared       uint64 `json:"shared"`       // in all
	Cached       uint64 `json:"held"`         // in the cache of the chosen broker
	InPrefill    uint64 `json:"coming"`       // in prefill there for an earlier request
	FromBroker   uint64 `json:"fromBroker"`   // fetched from another broker
	FromStore    uint64 `json:"fromStore"`    // fetched from a store
	FirstSeen    uint64 `json:"first"`        // to be prefilled, and not sent to any broker lately
	Recomputed   uint64 `json:"again"`        // to be prefilled, though some broker was sent them lately
	BlindFetches uint64 `json:"blindFetches"` // fetches though nobody was known to have cached what was missing
}

// LateRequest is an answer that was late, with the state of its broker as estimated when the request was
// forwarded.
type LateRequest struct {
	Ago                 string  `json:"ago"`
	Route               string  `json:"route"`
	Instance            string  `json:"instance"`
	Cause               string  `json:"cause"`
	FirstEvent          string  `json:"first"`        // from the receipt to the first event; where that was in time, 0s
	MaxGap              string  `json:"pause"`        // between two events
	PrefillTokens       int     `json:"unread"`       // of its prompt, for the broker to prefill
	QueuedPrefillTokens int     `json:"ahead"`        // for the broker to prefill before this request's first event
	LongestOtherPrompt  int     `json:"longestOther"` // tokens of the longest prompt that the broker was sent meanwhile
	Load                float64 `json:"load"`         // of the broker, as estimated
	Running             int     `json:"running"`      // by the broker's last report
	Waiting             int     `json:"waiting"`      // by the broker's last report
}

// Member is a node as another one knows it.
type Member struct {
	ID              string `json:"id"` // of this incarnation of the node
	Name            string `json:"name"`
	Address         string `json:"address"` // internal
	Zone            string `json:"zone"`
	CountsForQuorum bool   `json:"counts"` // for the quorum
}

// Chain is the view of the control chain, and the node's role in it.
type Chain struct {
	Epoch       uint64   `json:"epoch"`
	Role        string   `json:"role,omitempty"` // empty: the node stores no control state
	Chain       []string `json:"chain"`          // disk ids, the head first
	Voters      []string `json:"voters"`         // DISK@ADDRESS
	Committed   uint64   `json:"committed"`      // index; only where Role is set
	Pending     bool     `json:"pending"`        // an entry is not committed yet
	DiskHealthy bool     `json:"diskFine"`
}

// Instance is one registered broker.
type Instance struct {
	ID      string            `json:"id"`
	Service string            `json:"service"`
	Address string            `json:"address"`
	Zone    string            `json:"zone"`
	State   string            `json:"state"`
	Models  map[string]uint64 `json:"models"` // versions of weights
}

// Choices counts the reasons by which brokers were chosen since the node started.
type Choices struct {
	ByPrediction uint64 `json:"byPrediction"` // a broker was skipped because it was predicted slow
	ByAffinity   uint64 `json:"byAffinity"`   // the broker that has cached the prompt's parts, or should
	ByLoad       uint64 `json:"byLoad"`       // the one with the fewest requests, or the least to prefill
	AllSlow      uint64 `json:"allSlow"`      // all were predicted slow, and the first took it
	Trials       uint64 `json:"trials"`       // requests to ejected brokers, to test them
	Fallback     uint64 `json:"fallback"`     // an ejected broker, as nothing better was left
	Ejected      uint64 `json:"setAside"`     // ejections of brokers, for their answers
	BudgetDenied uint64 `json:"budgetDenied"` // retries and hedges that the retry budget did not allow
}

// Requests counts the results of clients' requests since the node started.
type Requests struct {
	Received           uint64 `json:"taken"`
	Answered           uint64 `json:"answered"` // with a broker's answer
	Rejected           uint64 `json:"refused"`  // 503: not executed, to be retried
	Failed             uint64 `json:"failed"`   // 502 or 504
	Denied             uint64 `json:"denied"`   // 4xx of the node's own
	Aborted            uint64 `json:"aborted"`  // while the answer was being sent
	ClientDisconnected uint64 `json:"clientLeft"`
	Attempts           uint64 `json:"attempts"`
	Retries            uint64 `json:"retries"`
	Hedges             uint64 `json:"copies"`
	Resumed            uint64 `json:"resumed"`
}
