package core

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// FetchEvents asks a broker or store for the events of its kept parts. The answer comes back by EventsDone with the same
// token. Source: PROTOCOL.md, "KV cache".
type FetchEvents struct {
	Token    uint64
	Instance string // expected instance id; empty: a store
	Address  string // IP:port
	Since    uint64
	Wait     time.Duration // how long the call may be held until some events exist
}

// StoreContacted tells of a sign of life of a store of kept prompts.
type StoreContacted struct {
	Address      string
	ContentsLost bool // it came back empty
}

// LoadHintsReceived tells what other proxies have just sent to model brokers.
type LoadHintsReceived struct{ Hints []*nodepb.LoadHint }

func (FetchEvents) isOutput()       {}
func (LoadHintsReceived) isOutput() {}
func (StoreContacted) isOutput()    {}
