package core

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// Outputs of the index of cached prefixes, and of the exchange of load hints.

// FetchEvents asks a broker or store for the events of its prefix cache. The shell reports the
// result by HandleEvents with the same token. Source: PROTOCOL.md, "KV cache".
type FetchEvents struct {
	Token    uint64
	Instance string        // expected instance id; empty: a store
	Address  string        // IP:port
	Since    uint64        // sequence number of the last event known
	Wait     time.Duration // how long the server may hold the call open until there are events (long polling)
}

// StoreContacted reports that a prefix store has answered.
type StoreContacted struct {
	Address      string // IP:port
	ContentsLost bool   // it has started again without its contents
}

// LoadHintsReceived reports requests that other proxies have just sent to model brokers.
type LoadHintsReceived struct{ Hints []*nodepb.LoadHint }

func (FetchEvents) isOutput()       {}
func (StoreContacted) isOutput()    {}
func (LoadHintsReceived) isOutput() {}
