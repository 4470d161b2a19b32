package lossplan

import "fmt"

// Conditions is the true state of the fleet during one period, which no single broker knows: the present capacity of each server
// (which may be slow, warming up or lost), the servers whose answers reach the brokers of each site, and the sites at whose
// brokers the clients' searches arrive.
type Conditions struct {
	CapacityPerS []float64 // by server: sub-requests per second
	Reachable    [][]bool  // by the brokers' site, then by the servers' site
	ArrivalShare []float64 // by site: share of all searches; if the sum is below 1, the rest reaches no broker
}

// IdealConditions returns the conditions without any fault: all servers have their full capacity, all sites reach each other,
// and searches arrive evenly at all sites.
func (f *Fleet) IdealConditions() *Conditions {
	c := &Conditions{}
	for _, s := range f.Servers {
		c.CapacityPerS = append(c.CapacityPerS, s.CapacityPerS)
	}
	for range f.Sites {
		row := make([]bool, len(f.Sites))
		for i := range row {
			row[i] = true
		}
		c.Reachable = append(c.Reachable, row)
		c.ArrivalShare = append(c.ArrivalShare, 1/float64(len(f.Sites)))
	}
	return c
}

// LoseSites makes all servers and brokers of the given sites unreachable, and distributes the searches that arrived there evenly
// over the other sites. It changes the conditions in place and returns them.
func (c *Conditions) LoseSites(_ *Fleet, sites ...int) *Conditions {
	moved := 0.0
	lost := make([]bool, len(c.ArrivalShare))
	for _, site := range sites {
		lost[site] = true
		moved += c.ArrivalShare[site]
		c.ArrivalShare[site] = 0
		for other := range c.Reachable {
			c.Reachable[other][site] = false
			c.Reachable[site][other] = false
		}
	}
	remaining := 0
	for site := range lost {
		if !lost[site] {
			remaining++
		}
	}
	for site := range c.ArrivalShare {
		if !lost[site] {
			c.ArrivalShare[site] += moved / float64(remaining)
		}
	}
	return c
}

// Partition sets that the brokers of one site get no answers from the servers of another. It changes the conditions in place and
// returns them.
func (c *Conditions) Partition(brokers, servers int) *Conditions {
	c.Reachable[brokers][servers] = false
	return c
}

// Key returns a string that is equal for conditions that differ only by the rounding of each server's capacity to a hundredth
// of a sub-request per second.
func (c *Conditions) Key() string {
	rounded := make([]int, len(c.CapacityPerS))
	for i, capacity := range c.CapacityPerS {
		rounded[i] = int(100*capacity + 0.5)
	}
	return fmt.Sprint(rounded, c.Reachable, c.ArrivalShare)
}
