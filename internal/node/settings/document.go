package settings

import (
	"fmt"
	"math"
	"net/netip"
)

// document is the file as it is written; nil stands for a field that is missing or null.
type document struct {
	NodeName        string            `json:"nodeName"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machineClass"`
	Serves          []string          `json:"serves"`
	IP              string            `json:"ip"`
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	Listen          listenDocument    `json:"listen"`
	PortRange       []float64         `json:"portRange"`
	Seeds           []string          `json:"seeds"`
	Bootstrap       bool              `json:"bootstrap"`
	CountsForQuorum bool              `json:"countsForQuorum"`
	Limits          limitsDocument    `json:"limits"`
	DataDir         string            `json:"dataDir"`
	HeartbeatMs     *float64          `json:"heartbeatMs"`
	Contracts       []string          `json:"contracts"`
	FaultTolerance  toleranceDocument `json:"faultTolerance"`
	Bounds          boundsDocument    `json:"bounds"`
}

type listenDocument struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

type limitsDocument struct {
	CPUShare *float64 `json:"cpuShare"`
	Cores    *float64 `json:"cores"`
	MemoryMB *float64 `json:"memoryMb"`
	MaxFDs   *float64 `json:"maxFds"`
	LinkMbps *float64 `json:"linkMbps"`
	DiskMB   *float64 `json:"diskMb"`
}

type toleranceDocument struct {
	Machines *float64 `json:"machines"`
	Zones    *float64 `json:"zones"`
	Regions  *float64 `json:"regions"`
}

// The defaults of fields outside Bounds, in the units of the fields.
const (
	defaultHeartbeatMs     = 1200
	defaultFaultyMachines  = 1
	defaultCPUShare        = 1
	defaultCores           = 1
	maxNumber              = 1e9 // in any field; 1e9 s fit a time.Duration
	maxPort                = 65535
	portRangeLength        = 2
	problemNegative        = "is negative"
	problemTooLarge        = "is too large"
	problemNotInteger      = "is not a whole number"
	problemMissing         = "is missing"
	problemNotAnAddress    = "is not IP:port"
	problemNotAnIP         = "is not an IP address"
	problemNotAPort        = "is not a port"
	problemNotTwoPorts     = "does not hold two ports"
	problemPortsOutOfOrder = "ends before it begins"
)

// settings checks the document and fills in defaults.
func (d *document) settings() (*Settings, error) {
	check := &checker{}
	settings := &Settings{
		NodeName:        check.required("nodeName", d.NodeName),
		Role:            d.Role,
		MachineClass:    d.MachineClass,
		Serves:          d.Serves,
		IP:              check.ip("ip", d.IP),
		Zone:            check.required("zone", d.Zone),
		Region:          d.Region,
		Zones:           d.Zones,
		Listen:          d.Listen.settings(check),
		PortRange:       check.portRange("portRange", d.PortRange),
		Seeds:           d.Seeds,
		Bootstrap:       d.Bootstrap,
		CountsForQuorum: d.CountsForQuorum,
		Limits:          d.Limits.settings(check),
		DataDir:         d.DataDir,
		HeartbeatMs:     check.number("heartbeatMs", d.HeartbeatMs, defaultHeartbeatMs),
		Contracts:       d.Contracts,
		FaultTolerance:  d.FaultTolerance.settings(check),
		Bounds:          d.Bounds.settings(check),
	}
	for i, seed := range d.Seeds {
		check.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if settings.Region == "" {
		settings.Region = settings.Zones[settings.Zone]
	}
	if check.firstError != nil {
		return nil, check.firstError
	}
	return settings, nil
}

func (d listenDocument) settings(check *checker) Listen {
	return Listen{
		Front:     check.optionalAddress("listen.front", d.Front),
		Readiness: check.optionalAddress("listen.readiness", d.Readiness),
		Control:   check.optionalAddress("listen.control", d.Control),
	}
}

func (d limitsDocument) settings(check *checker) Limits {
	return Limits{
		CPUShare: check.number("limits.cpuShare", d.CPUShare, defaultCPUShare),
		Cores:    check.number("limits.cores", d.Cores, defaultCores),
		MemoryMB: int(check.number("limits.memoryMb", d.MemoryMB, 0)),
		MaxFDs:   check.integer("limits.maxFds", d.MaxFDs, 0),
		LinkMbps: check.number("limits.linkMbps", d.LinkMbps, 0),
		DiskMB:   int(check.number("limits.diskMb", d.DiskMB, 0)),
	}
}

func (d toleranceDocument) settings(check *checker) FaultTolerance {
	return FaultTolerance{
		Machines: check.integer("faultTolerance.machines", d.Machines, defaultFaultyMachines),
		Zones:    check.integer("faultTolerance.zones", d.Zones, 0),
		Regions:  check.integer("faultTolerance.regions", d.Regions, 0),
	}
}

// checker reads fields and keeps the first error.
type checker struct{ firstError *fieldError }

func (c *checker) fail(path, problem string) {
	if c.firstError == nil {
		c.firstError = &fieldError{path: path, problem: problem}
	}
}

func (c *checker) required(path, value string) string {
	if value == "" {
		c.fail(path, problemMissing)
	}
	return value
}

// number reads a number of at least 0.
func (c *checker) number(path string, value *float64, defaultValue float64) float64 {
	if value == nil {
		return defaultValue
	}
	switch {
	case *value < 0:
		c.fail(path, problemNegative)
	case *value > maxNumber:
		c.fail(path, problemTooLarge)
	}
	return *value
}

// integer reads a whole number of at least 0; 3.0 is one too.
func (c *checker) integer(path string, value *float64, defaultValue float64) int {
	number := c.number(path, value, defaultValue)
	if number != math.Trunc(number) {
		c.fail(path, problemNotInteger)
	}
	return int(number)
}

func (c *checker) ip(path, value string) string {
	if c.required(path, value) == "" {
		return ""
	}
	if _, err := netip.ParseAddr(value); err != nil {
		c.fail(path, problemNotAnIP)
	}
	return value
}

func (c *checker) address(path, value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, problemNotAnAddress)
	}
	return value
}

func (c *checker) optionalAddress(path, value string) string {
	if value == "" {
		return ""
	}
	return c.address(path, value)
}

func (c *checker) portRange(path string, ports []float64) PortRange {
	if len(ports) != portRangeLength {
		c.fail(path, problemNotTwoPorts)
		return PortRange{}
	}
	first := c.port(path+"[0]", ports[0])
	last := c.port(path+"[1]", ports[1])
	if last < first {
		c.fail(path, problemPortsOutOfOrder)
	}
	return PortRange{First: first, Last: last}
}

func (c *checker) port(path string, value float64) uint16 {
	if value < 1 || value > maxPort || value != math.Trunc(value) {
		c.fail(path, problemNotAPort)
		return 0
	}
	return uint16(value)
}
