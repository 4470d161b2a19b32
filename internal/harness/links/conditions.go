package links

import (
	"fmt"
	"math"
	"strings"
)

// Conditions are what holds for one direction of a link. The zero value passes all bytes at once.
type Conditions struct {
	DelayMs      float64 `json:"delay-ms,omitempty"`
	JitterMs     float64 `json:"jitter-ms,omitempty"` // bound of a random addition to the delay; the order is preserved
	RateKBps     float64 `json:"kb-per-s,omitempty"`  // 0: no limit
	LossRate     float64 `json:"loss,omitempty"`      // probability that a chunk is delayed as by a retransmission
	RetransmitMs float64 `json:"stall-ms,omitempty"`  // delay of a retransmission; 0: defaultRetransmitMs
	Partitioned  bool    `json:"cut,omitempty"`       // nothing arrives until it ends
}

// defaultRetransmitMs is about the minimal retransmission time-out of TCP.
const defaultRetransmitMs = 200

// maxValue bounds delays and rates, in the unit of each.
const maxValue = 1e6

// Validate returns what is wrong with the conditions.
func (c Conditions) Validate() error {
	for name, value := range map[string]float64{
		"delay-ms": c.DelayMs, "jitter-ms": c.JitterMs, "kb-per-s": c.RateKBps, "stall-ms": c.RetransmitMs,
	} {
		if value < 0 || math.IsNaN(value) || value > maxValue {
			return fmt.Errorf("%s is %v", name, value)
		}
	}
	if c.LossRate < 0 || c.LossRate > 1 || math.IsNaN(c.LossRate) {
		return fmt.Errorf("loss is %v", c.LossRate)
	}
	return nil
}

// combine is both conditions together: delays add, the lower rate counts, losses are independent, one partition is enough.
func (c Conditions) combine(other Conditions) Conditions {
	c.DelayMs += other.DelayMs
	c.JitterMs += other.JitterMs
	c.RetransmitMs = max(c.RetransmitMs, other.RetransmitMs)
	if other.RateKBps > 0 && (c.RateKBps == 0 || other.RateKBps < c.RateKBps) {
		c.RateKBps = other.RateKBps
	}
	c.LossRate = 1 - (1-c.LossRate)*(1-other.LossRate)
	c.Partitioned = c.Partitioned || other.Partitioned
	return c
}

// ConnectMode is what happens to new connections. Of several faults the highest counts.
type ConnectMode uint8

// The modes for new connections.
const (
	ConnectAccepted   ConnectMode = iota
	ConnectRefused                // with a reset, at once
	ConnectUnanswered             // the handshake is never answered
)

// Fault applies to the links between some endpoints until it is removed. A pattern is an endpoint's name, @SITE or *.
type Fault struct {
	Source, Destination string     // patterns
	Forward             Conditions // from Source to Destination
	Reverse             Conditions
	Connect             ConnectMode
}

// Endpoint is an end of links.
type Endpoint struct{ Name, Site string }

// matches reports whether a pattern of a fault names the endpoint.
func (e Endpoint) matches(pattern string) bool {
	return pattern == "*" || pattern == e.Name || strings.HasPrefix(pattern, "@") && pattern[1:] == e.Site
}

// BySite are base conditions by site: one within a site, another between two sites.
func BySite(within, between Conditions) func(source, destination Endpoint) Conditions {
	return func(source, destination Endpoint) Conditions {
		if source.Site == destination.Site {
			return within
		}
		return between
	}
}
