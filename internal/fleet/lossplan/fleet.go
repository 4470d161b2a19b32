// Package lossplan computes beforehand what a fleet serves once some of its sites are lost, and by which arithmetic: what the
// survivors' capacity is, which shards are left without a replica, and what is rejected in which order. Its upper bound
// is what the harness holds a run against, too. Pure: figures in, figures out; nothing in service depends on it.
//
// Invariants: an outcome promises no more than the survivors' capacity, its shares of each type add up to one, and no less
// valued type is served while a more valued one is rejected for want of capacity. A bound is never below an outcome.
package lossplan

import (
	"errors"
	"fmt"
)

// Fleet is what is planned for. Shards lie on a ring: a server holds as many as there are replicas, from its cell backwards.
type Fleet struct {
	Sites    []string
	Servers  []Server
	Shards   int
	Replicas int
	Headroom float64 // share of the servers' capacity that may be planned with
	Loads    []Load
}

// Server is one server.
type Server struct {
	Site         int // index into Fleet.Sites
	Cell         int // its latest shard
	CapacityPerS float64
}

// Load is one query type's. Each search takes neighbouring shards, from any one on, all alike.
type Load struct {
	Name             string
	SearchesPerS     float64
	ShardsPerSearch  int
	Value            float64 // of one search answered in time
	MinAnsweredShare float64 // the least share of shards that a partial answer may have; 1: all or nothing
}

// shareTolerance is by how much a share of shards may miss its bound by rounding.
const shareTolerance = 1e-9

// acceptsPartial tells whether answers of some of a search's shards suffice.
func (l *Load) acceptsPartial(available int) bool {
	return float64(available) >= l.MinAnsweredShare*float64(l.ShardsPerSearch)-shareTolerance
}

// Check returns what is wrong with a fleet.
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

// hasReplica tells whether servers of a cell hold a shard.
func (f *Fleet) hasReplica(cell, shard int) bool {
	return ((cell-shard)%f.Shards+f.Shards)%f.Shards < f.Replicas
}
