package settings

import (
	"fmt"
	"math"
	"net/netip"
)

// document is the file as it is written; nil stands for a number that is missing or null.
type document struct {
	NodeName        string            `json:"nodeName"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machineClass"`
	Serves          []string          `json:"serves"`
	MachineIP       string            `json:"ip"`
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

// listenDocument is the `listen` of the file.
type listenDocument struct {
	Front     string `json:"front"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
}

// limitsDocument is the `limits` of the file.
type limitsDocument struct {
	CPUShare *float64 `json:"cpuShare"`
	Cores    *float64 `json:"cores"`
	MemoryMB *float64 `json:"memoryMb"`
	MaxFDs   *float64 `json:"maxFds"`
	LinkMbps *float64 `json:"linkMbps"`
	DiskMB   *float64 `json:"diskMb"`
}

// toleranceDocument is the `faultTolerance` of the file.
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
		MachineIP:       check.ip("ip", d.MachineIP),
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

// settings validates the addresses.
func (d listenDocument) settings(check *checker) Listen {
	return Listen{
		Front:     check.optionalAddress("listen.front", d.Front),
		Readiness: check.optionalAddress("listen.readiness", d.Readiness),
		Control:   check.optionalAddress("listen.control", d.Control),
	}
}

// settings validates the limits and fills in the defaults.
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

// settings validates the tolerances and fills in the defaults.
func (d toleranceDocument) settings(check *checker) FaultTolerance {
	return FaultTolerance{
		Machines: check.integer("faultTolerance.machines", d.Machines, defaultFaultyMachines),
		Zones:    check.integer("faultTolerance.zones", d.Zones, 0),
		Regions:  check.integer("faultTolerance.regions", d.Regions, 0),
	}
}

// checker validates fields and keeps the first error.
type checker struct{ firstError *fieldError }

// fail records an error, unless one was recorded before.
func (c *checker) fail(path, problem string) {
	if c.firstError == nil {
		c.firstError = &fieldError{path: path, problem: problem}
	}
}

// required reads a string that must not be empty.
func (c *checker) required(path, value string) string {
	if value == "" {
		c.fail(path, problemMissing)
	}
	return value
}

// number reads a number from 0 to maxNumber.
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

// integer reads a number from 0 to maxNumber without a fraction; 3.0 is one too.
func (c *checker) integer(path string, value *float64, defaultValue float64) int {
	number := c.number(path, value, defaultValue)
	if number != math.Trunc(number) {
		c.fail(path, problemNotInteger)
	}
	return int(number)
}

// ip reads a required IP address.
func (c *checker) ip(path, value string) string {
	if c.required(path, value) == "" {
		return ""
	}
	if _, err := netip.ParseAddr(value); err != nil {
		c.fail(path, problemNotAnIP)
	}
	return value
}

// address reads an address of the form IP:port.
func (c *checker) address(path, value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, problemNotAnAddress)
	}
	return value
}

// optionalAddress reads an address of the form IP:port, or an empty string.
func (c *checker) optionalAddress(path, value string) string {
	if value == "" {
		return ""
	}
	return c.address(path, value)
}

// portRange reads a list of the first and the last port.
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

// port reads a port, which is a whole number from 1 to maxPort.
func (c *checker) port(path string, value float64) uint16 {
	if value < 1 || value > maxPort || value != math.Trunc(value) {
		c.fail(path, problemNotAPort)
		return 0
	}
	return uint16(value)
}
