package core

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// AskEvents asks a broker or store for the events of its kept parts. The answer comes back by EventsDone with the same
// token. Source: PROTOCOL.md, "KV cache".
type AskEvents struct {
	Token    uint64
	Instance string // expected instance id; empty: a store
	Address  string // IP:port
	Since    uint64
	Wait     time.Duration // how long the call may be held until some events exist
}

// StoreSeen tells of a sign of life of a store of kept prompts.
type StoreSeen struct {
	Address string
	Lost    bool // it came back empty
}

// LoadHinted tells what other proxies have just sent to model brokers.
type LoadHinted struct{ Hints []*nodepb.LoadHint }

func (AskEvents) isOutput()  {}
func (LoadHinted) isOutput() {}
func (StoreSeen) isOutput()  {}
