package lossplan

import "fmt"

// Conditions are what holds in one stretch of time, as one who sees everything would know it: each server's capacity now (slow,
// warming up or lost), whose answers each site's brokers receive, and at which sites' brokers clients' searches arrive.
type Conditions struct {
	CapacityPerS []float64 // by server, sub-requests
	Reachable    [][]bool  // by the brokers' site, then the servers'
	ArrivalShare []float64 // by site, of all searches; what is missing to 1 finds no broker
}

// IdealConditions are those of the fleet at its best: everybody reaches everybody, and load arrives alike at all sites.
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

// LoseSites takes sites away with all that is there; their searches arrive at the others, alike.
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
	left := 0
	for site := range lost {
		if !lost[site] {
			left++
		}
	}
	for site := range c.ArrivalShare {
		if !lost[site] {
			c.ArrivalShare[site] += moved / float64(left)
		}
	}
	return c
}

// Partition has brokers of one site get no answers from servers of another.
func (c *Conditions) Partition(brokers, servers int) *Conditions {
	c.Reachable[brokers][servers] = false
	return c
}

// Key is the same for conditions that are alike to a hundredth of the servers' capacity.
func (c *Conditions) Key() string {
	rounded := make([]int, len(c.CapacityPerS))
	for i, capacity := range c.CapacityPerS {
		rounded[i] = int(100*capacity + 0.5)
	}
	return fmt.Sprint(rounded, c.Reachable, c.ArrivalShare)
}
