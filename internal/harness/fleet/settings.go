package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// Bounds are the limits of the rules that the fleet is run with. Source: DEPLOY.md and RULES.md.
type Bounds struct {
	Heartbeat        time.Duration
	Contact          time.Duration
	Ack              time.Duration
	Drain            time.Duration
	Grace            time.Duration
	LossSlack        time.Duration
	ConfigApply      time.Duration
	DowngradeSlack   time.Duration
	Revoke           time.Duration
	GlobalRevocation bool
	Lease            time.Duration
	Version          time.Duration
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	BudgetWindow     time.Duration
}

// DefaultBounds are those of the operators' sites, with a shorter grace.
func DefaultBounds() Bounds {
	return Bounds{
		Heartbeat: 1200 * time.Millisecond, Contact: 3 * time.Second, Ack: 4 * time.Second, Drain: 2 * time.Second,
		Grace: 6 * time.Second, LossSlack: 200 * time.Millisecond, ConfigApply: 2 * time.Second,
		DowngradeSlack: 250 * time.Millisecond, Revoke: 5 * time.Second, GlobalRevocation: true,
		Lease: 3 * time.Second, Version: 8 * time.Second,
		RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, BudgetWindow: 10 * time.Second,
	}
}

// settingsFile is a node's settings file. Source: DEPLOY.md, "Settings of a process".
type settingsFile struct {
	NodeName        string            `json:"nodeName"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machineClass"`
	Serves          []string          `json:"serves"`
	IP              string            `json:"ip"`
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	Listen          listenFile        `json:"listen"`
	PortRange       [2]int            `json:"portRange"`
	Seeds           []string          `json:"seeds"`
	Bootstrap       bool              `json:"bootstrap"`
	CountsForQuorum bool              `json:"countsForQuorum"`
	Limits          limitsFile        `json:"limits"`
	DataDir         string            `json:"dataDir,omitempty"`
	HeartbeatMs     float64           `json:"heartbeatMs"`
	Contracts       []string          `json:"contracts"`
	FaultTolerance  toleranceFile     `json:"faultTolerance"`
	Bounds          map[string]any    `json:"bounds"`
}

// listenFile is the addresses that a node listens on.
type listenFile struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// limitsFile is the resources of a machine.
type limitsFile struct {
	CPUShare float64 `json:"cpuShare"`
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memoryMb"`
	MaxFDs   int     `json:"maxFds"`
	LinkMbps float64 `json:"linkMbps"`
	DiskMB   int     `json:"diskMb,omitempty"`
}

// toleranceFile is how many losses at a time are tolerated.
type toleranceFile struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// versionAll is the bound on the stable stretches since new weights were acknowledged, taken together.
func (b Bounds) versionAll() time.Duration { return b.Version + 3*time.Second }

// file is the bounds in the form of the settings file.
func (b Bounds) file() map[string]any {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": ms(b.Contact), "ackMs": ms(b.Ack), "catchUpS": 4,
		"drainMs": ms(b.Drain), "graceS": b.Grace.Seconds(), "lossSlackMs": ms(b.LossSlack),
		"configApplyMs": ms(b.ConfigApply), "downgradeSlackMs": ms(b.DowngradeSlack), "skewMaxMs": 5000,
		"globalRevocation": b.GlobalRevocation, "revokeMs": ms(b.Revoke),
		"retryBudgetRatio": b.RetryBudgetRatio, "budgetWindowS": b.BudgetWindow.Seconds(),
		"retryBudgetSlack": b.RetryBudgetSlack, "recoveryS": 12, "transitMs": 120, "again_s": 10,
		"fencing": true, "leaseMs": ms(b.Lease), "thawMs": 300, "versionMs": ms(b.Version), "versionAllMs": ms(b.versionAll()),
	}
}

// The limits in the settings of nodes. They are not enforced here.
const (
	cpuShare    = 1
	memoryMB    = 284
	diskMB      = 16
	descriptors = 4100
	linkMbps    = 1000
)

// region is the one region of the fleet.
const region = "loopback"

// settings is the content of a node's settings file.
func (f *Fleet) settings(n *Node) settingsFile {
	p := f.layout.ports
	file := settingsFile{
		NodeName: n.Name, Role: "node", MachineClass: "front", Serves: []string{"front", "control"},
		IP: n.ipAddress, Zone: n.Zone, Region: region, Zones: map[string]string{},
		Listen:    listenFile{Front: hostPort(n.ipAddress, p.front), Readiness: hostPort(n.ipAddress, p.readiness), Control: hostPort(n.ipAddress, p.control)},
		PortRange: [2]int{p.internal, p.internal}, Seeds: n.seedAddresses(), Bootstrap: n.incarnations == 0,
		CountsForQuorum: n.HasDisk,
		Limits:          limitsFile{CPUShare: cpuShare, Cores: 1, MemoryMB: cmp.Or(f.options.MemoryMB, memoryMB), MaxFDs: cmp.Or(f.options.Descriptors, descriptors), LinkMbps: linkMbps},
		HeartbeatMs:     float64(f.options.Bounds.Heartbeat.Milliseconds()),
		Contracts:       []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		FaultTolerance:  toleranceFile{Machines: 1}, Bounds: f.options.Bounds.file(),
	}
	for _, zone := range Zones {
		file.Zones[zone] = region
	}
	if n.HasDisk {
		file.DataDir, file.Limits.DiskMB = n.DataDir(), cmp.Or(f.options.DiskMB, diskMB)
	}
	return file
}

// writeSettings writes a node's settings file and returns its path.
func (f *Fleet) writeSettings(n *Node) (string, error) {
	text, err := json.MarshalIndent(f.settings(n), "", "  ")
	if err != nil {
		return "", err
	}
	directory := filepath.Join(f.dir, n.Name)
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return "", err
	}
	if _, err := os.Stat(n.DataDir()); errors.Is(err, fs.ErrNotExist) {
		if err := os.Mkdir(n.DataDir(), 0o700); err != nil {
			return "", err
		}
	}
	path := filepath.Join(directory, "settings.json")
	return path, os.WriteFile(path, text, 0o600)
}
