// Package settings reads the settings file of a process: what it is called, where it listens, which machines it
// starts from, what its machine can bear and which bounds the rules set. Source: DEPLOY.md, "Settings of a process".
//
// Fields that are not known are ignored, as the page asks; fields that are missing or null take the defaults stated at
// each of them here. A field of the wrong form makes the whole file malformed, and the error names its path.
// `discovery` and `entry` are not read: the page leaves them unexplained, and they may have any form.
package settings

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Where the settings file is found.
const (
	// EnvironmentVariable holds the path of the settings file.
	EnvironmentVariable = "KESTRELSPREAD_SETTINGS"
	// DefaultPath is used where EnvironmentVariable is not set.
	DefaultPath = "/etc/kestrelspread/settings.json"
)

// Settings are the settings of one process. They are not changed after Load: a changed file gives new Settings.
type Settings struct {
	NodeName     string // required
	Role         string
	MachineClass string
	Serves       []string          // "front", "control"
	IP           string            // required: the machine's address
	Zone         string            // required
	Region       string            // default: what Zones says of Zone
	Zones        map[string]string // region by zone
	Listen       Listen
	PortRange    PortRange // required: what this program's processes may use among themselves
	Seeds        []string  // control addresses, "IP:port"
	// Bootstrap is true only at the first start of the whole system, with empty disks.
	Bootstrap bool
	// CountsForQuorum: this machine keeps the control state, and is counted in FaultTolerance.Machines.
	CountsForQuorum bool
	Limits          Limits
	DataDir         string  // empty: the machine has no disk
	HeartbeatMs     float64 // default 1,200
	Contracts       []string
	FaultTolerance  FaultTolerance
	Bounds          Bounds
}

// Listen holds the addresses, "IP:port", of what the process serves to others; empty: it does not serve that.
type Listen struct {
	Front     string // clients
	Readiness string // the platform
	Control   string // brokers and the operator
}

// PortRange is the ports, from the first to the last, that are free for traffic between nodes.
type PortRange struct{ First, Last uint16 }

// Limits are what the process has. Zero stands for a limit that was not stated.
type Limits struct {
	CPUShare float64 // share of a core; default 1
	Cores    float64 // how many times as fast that core is; default 1
	MemoryMB int     // the process is killed beyond it
	MaxFDs   int     // descriptors, of which 200 are reserved for files outside the disk folder
	LinkMbps float64 // of the machine's own link
	DiskMB   int
}

// FaultTolerance is what may be lost at one time while all rules are kept.
type FaultTolerance struct {
	Machines int // of those whose CountsForQuorum is true; default 1
	Zones    int // default 0
	Regions  int // default 0
}

// Path gives the path of the settings file, where getenv reads the process's environment.
func Path(getenv func(string) string) string {
	if path := getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Heartbeat is how often a broker announces itself.
func (s *Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMs) }

// HasContract reports whether a part of the rules is in force.
func (s *Settings) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// InternalAddress is where this node listens for other nodes: the first port of the range, which is the same on
// every machine.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedInternalAddresses gives the internal addresses of the seeds, in their order; this machine may be among them.
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
