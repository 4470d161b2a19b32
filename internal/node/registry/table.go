package registry

import "kestrelspread/internal/node/core"

// State is what a broker says of itself, and what became of it.
type State uint8

// The states of a broker, in the order in which they may follow one another.
const (
	Ready State = iota
	Draining
	Gone
)

// Instance is one life of a broker, as the data plane sees it. Immutable.
type Instance struct {
	ID       string
	Service  string
	Address  string // IP:port for requests
	Zone     string
	Slots    int
	State    State
	Versions map[string]uint64 // by model, as last told
	// Loading: new weights are being brought to it; requests that have not begun would be turned away.
	Loading bool
	// Unresponsive: it has missed so many heartbeats that its callers should prefer others.
	Unresponsive bool
	// WarmingUpUntil is when it is no longer slow from its start.
	WarmingUpUntil core.Time
}

// Usable reports whether new requests may be sent to the broker.
func (i *Instance) Usable() bool { return i.State == Ready && !i.Loading }

// Table is an immutable picture of all brokers known, by service; each list is ordered by id.
type Table struct {
	Revision  uint64
	ByService map[string][]*Instance
	ByID      map[string]*Instance
}
