package scenario

import (
	"fmt"

	"kestrelspread/internal/standin/servermodel"
)

// ServerModel is the model of the file's servers.
func (f *File) ServerModel() servermodel.Config {
	k := servermodel.Config{Slots: f.Servers.Slots, WorkMs: f.Servers.WorkMs, WorkCV: f.Servers.WorkCV, QueueLength: f.Servers.QueueLength}
	if c := f.Servers.WarmUp; c != nil {
		k.WarmUpShare, k.WarmUpMs, k.OverloadFactor, k.OverloadWindowMs = c.CapacityShare, c.DurationMs, c.TipMultiple, c.TipAfterMs
	}
	return k
}

// Server is one server of a scenario. It holds the shards of its cell and of the cells before it, as many as there are replicas.
type Server struct {
	Name string
	Site int
	Cell int
}

// ServerLayout returns the servers in the order of the list. With the layout "apart" the cells of a site are adjacent, else sites take
// turns, in proportion to their sizes.
func (f *File) ServerLayout() (servers []Server) {
	remaining := make([]int, len(f.Sites))
	total := 0
	for i, s := range f.Sites {
		remaining[i] = s.Servers
		total += s.Servers
	}
	site := 0
	for n := range total {
		cell := n % f.ShardCount
		if f.Layout == "apart" {
			cell = n * f.ShardCount / total
			for remaining[site] == 0 {
				site++
			}
		} else {
			site = f.fullestSite(remaining)
		}
		remaining[site]--
		servers = append(servers, Server{Name: fmt.Sprintf("s%d", n), Site: site, Cell: cell})
	}
	return servers
}

// fullestSite is the site with the greatest share of its servers remaining; the first of several.
func (f *File) fullestSite(remaining []int) int {
	fullest, maxShare := -1, -1.0
	for i, s := range f.Sites {
		share := float64(remaining[i]) / float64(s.Servers)
		if remaining[i] > 0 && share > maxShare {
			fullest, maxShare = i, share
		}
	}
	return fullest
}

// Holds reports whether a server of a cell holds a shard.
func (f *File) Holds(cell, shard int) bool {
	return ((cell-shard)%f.ShardCount+f.ShardCount)%f.ShardCount < f.ReplicaCount
}
