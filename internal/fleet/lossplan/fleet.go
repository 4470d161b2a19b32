// Package lossplan computes in advance what a fleet can serve after the loss of some of its sites, and explains the result: the
// capacity of the surviving servers, the shards that are left without a replica, and the searches that are rejected, in order.
// The test harness also compares its runs with the package's upper bound. The package is pure: it computes results from its
// arguments only. No production service depends on it.
//
// Invariants: an outcome never exceeds the survivors' capacity. The shares of each type in an outcome add up to one. A type of
// lower value is not served while a type of higher value is rejected for lack of capacity. A bound is never below an outcome.
package lossplan

import (
	"errors"
	"fmt"
)

// Fleet describes the fleet and its load. Shards are arranged on a ring, and a server holds Replicas neighboring shards: the one
// with the number of its cell and those before it.
type Fleet struct {
	Sites    []string
	Servers  []Server
	Shards   int     // number of shards, and of cells
	Replicas int     // replicas of each shard if every cell has one server; at most Shards
	Headroom float64 // share of the servers' capacity that the plan may use; above 0, at most 1
	Loads    []Load  // by query type
}

// Server is one server of the fleet.
type Server struct {
	Site         int     // index into Fleet.Sites
	Cell         int     // the last of the shards that it holds
	CapacityPerS float64 // sub-requests per second
}

// Load is the load of one query type. Each search queries ShardsPerSearch neighboring shards on the ring; each shard is equally
// likely to be the first of them.
type Load struct {
	Name             string
	SearchesPerS     float64
	ShardsPerSearch  int
	Value            float64 // value of one search that is answered in time
	MinAnsweredShare float64 // smallest share of its shards that a partial answer must cover; 1: no partial answers
}

// shareTolerance is the rounding error that is allowed when a share of shards is compared with MinAnsweredShare.
const shareTolerance = 1e-9

// acceptsPartial reports whether answers from the given number of a search's shards are enough.
func (l *Load) acceptsPartial(available int) bool {
	return float64(available) >= l.MinAnsweredShare*float64(l.ShardsPerSearch)-shareTolerance
}

// Check returns an error if the description of the fleet is not valid.
func (f *Fleet) Check() error {
	switch {
	case f.Shards < 1 || f.Replicas < 1 || f.Replicas > f.Shards:
		return fmt.Errorf("%d places with %d copies", f.Shards, f.Replicas)
	case f.Headroom <= 0 || f.Headroom > 1:
		return fmt.Errorf("headroom %v", f.Headroom)
	case len(f.Servers) == 0:
		return errors.New("no servers")
	}
	for i, s := range f.Servers {
		if s.Site < 0 || s.Site >= len(f.Sites) || s.Cell < 0 || s.Cell >= f.Shards || s.CapacityPerS <= 0 {
			return fmt.Errorf("server %d: {Site:%d Cell:%d Bears:%v}", i, s.Site, s.Cell, s.CapacityPerS)
		}
	}
	for _, l := range f.Loads {
		if l.ShardsPerSearch < 1 || l.ShardsPerSearch > f.Shards || l.SearchesPerS < 0 || l.Value <= 0 {
			return fmt.Errorf("load {Name:%s PerS:%v Parts:%d Value:%v Floor:%v}",
				l.Name, l.SearchesPerS, l.ShardsPerSearch, l.Value, l.MinAnsweredShare)
		}
	}
	return nil
}

// hasReplica reports whether the servers of a cell hold a replica of a shard.
func (f *Fleet) hasReplica(cell, shard int) bool {
	return ((cell-shard)%f.Shards+f.Shards)%f.Shards < f.Replicas
}
