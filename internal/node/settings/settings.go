// Package settings reads the settings file of a node's process: its name, where it listens, which
// machines it contacts first, the limits of its machine, and the time limits of the rules. Source:
// DEPLOY.md, "Settings of a process".
//
// It is not the configuration that operators change at run time: that is replicated control state
// (package config). Names of keys are the page's and stay; Go names follow them.
//
// Unknown fields are ignored, as the page asks; fields that are missing or null take the defaults
// stated at each of them here. A field of the wrong form makes the complete file malformed, and the
// error names the field's path. Invariant: Settings that were returned never change, and all their
// addresses and numbers have been checked. `discovery` and `entry` are not read: the page leaves them
// unexplained, and they may have any form.
package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// The location of the settings file.
const (
	// EnvironmentVariable holds the path of the settings file.
	EnvironmentVariable = "KESTRELSPREAD_SETTINGS"
	// DefaultPath is used where EnvironmentVariable is not set.
	DefaultPath = "/etc/kestrelspread/settings.json"
)

// Settings are the settings of one process. They don't change after Load: a changed file gives new
// Settings.
type Settings struct {
	NodeName     string // required
	Role         string
	MachineClass string
	Serves       []string          // "front", "control"
	MachineIP    string            // required: the machine's address
	Zone         string            // required
	Region       string            // default: what Zones says of Zone
	Zones        map[string]string // region by zone
	Listen       Listen
	PortRange    PortRange // required: ports for traffic between nodes
	Seeds        []string  // control addresses, "IP:port"
	// Bootstrap is true only at the first start of the whole system, with empty disks.
	Bootstrap bool
	// CountsForQuorum: this machine stores the control state, and counts in FaultTolerance.Machines.
	CountsForQuorum bool
	Limits          Limits
	DataDir         string  // empty: the machine has no disk
	HeartbeatMs     float64 // default 1,200
	Contracts       []string
	FaultTolerance  FaultTolerance
	Bounds          Bounds
}

// Listen holds the addresses, "IP:port", of the process's servers; an empty one is not served.
type Listen struct {
	Front     string // clients
	Readiness string // the platform
	Control   string // brokers and the operator
}

// PortRange is the range of ports, both ends included, that are free for traffic between nodes.
type PortRange struct{ First, Last uint16 }

// Limits are the resources of the process. Zero stands for a limit that was not stated.
type Limits struct {
	CPUShare float64 // share of a core; default 1
	Cores    float64 // speed of that core, as a multiple of the usual one; default 1
	MemoryMB int     // in MiB; the process is killed beyond it
	MaxFDs   int     // file descriptors, of which 200 are reserved for files outside DataDir
	LinkMbps float64 // of the machine's network link, in Mbit/s
	DiskMB   int     // size of the disk at DataDir, in MiB
}

// FaultTolerance is how many failures at one time leave all rules kept.
type FaultTolerance struct {
	Machines int // of those whose CountsForQuorum is true; default 1
	Zones    int // default 0
	Regions  int // default 0
}

// Path returns the path of the settings file; getenv reads the process's environment.
func Path(getenv func(string) string) string {
	if path := getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Heartbeat is the interval of a broker's heartbeats.
func (s *Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMs) }

// HasContract reports whether the named part of the rules is in force.
func (s *Settings) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// InternalAddress is where this node listens for other nodes: the first port of the range, which is the
// same on every machine.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.MachineIP) }

// SeedInternalAddresses returns the internal addresses of the seeds, in their order. This machine may
// be among them.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // Load has checked them
		}
		addresses = append(addresses, s.internalAddressOf(host))
	}
	return addresses
}

func (s *Settings) internalAddressOf(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(int(s.PortRange.First)))
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
