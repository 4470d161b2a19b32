package scale

import (
	"math"
	"time"
)

// Target is the size that the operators plan for, and what control may take there. Sources: the operators' figures of the size to
// come, as docs/CAPACITY.md lists them.
type Target struct {
	Proxies          int     `json:"proxies"`
	ModelBrokers     int     `json:"modelBrokers"`
	Accelerators     int     `json:"accelerators"`
	Models           int     `json:"models"`
	Tenants          int     `json:"tenants"`
	Regions          int     `json:"regions"`
	Zones            int     `json:"zones"`
	ControlMachines  int     `json:"controlMachines"`
	RequestsPerS     float64 `json:"requestsPerS"`
	TokensPerS       float64 `json:"tokensPerS"`
	KeptBlocks       float64 `json:"keptBlocks"`
	EventsPerS       float64 `json:"eventsPerS"`
	ChangesPerDay    float64 `json:"changesPerDay"`
	ChangeEverywhere float64 `json:"changeEverywhereS"`
	CPUPercent       float64 `json:"cpuPercent"`  // of a core, for control, a proxy
	MemoryMB         float64 `json:"memoryMb"`    // for control, a proxy
	BytesPerS        float64 `json:"bytesPerS"`   // for control, a proxy
	FailuresPerDay   float64 `json:"failuresDay"` // machines that fail
	RestartsPerDay   float64 `json:"restartsDay"` // machines that restart
}

// TwoYears is the operators' size in two years.
var TwoYears = Target{
	Proxies: 410, ModelBrokers: 600, Accelerators: 4800, Models: 23, Tenants: 3800, Regions: 2, Zones: 5, ControlMachines: 8,
	RequestsPerS: 5300, TokensPerS: 2.1e6, KeptBlocks: 63e6, EventsPerS: 270_000, ChangesPerDay: 420, ChangeEverywhere: 3,
	CPUPercent: 1.1, MemoryMB: 256, BytesPerS: 12_000, FailuresPerDay: 12, RestartsPerDay: 180,
}

// Shape is what stands in a hollow fleet: the target's proportions at a number of proxies.
type Shape struct {
	Proxies         int     `json:"proxies"`
	Core            int     `json:"core"` // machines with a disk, beside the proxies
	Zones           int     `json:"zones"`
	Regions         int     `json:"regions"`
	Services        int     `json:"services"` // one model each
	Brokers         int     `json:"brokers"`
	Tenants         int     `json:"tenants"`
	Routes          int     `json:"routes"`
	EventsPerBroker float64 `json:"eventsPerBroker"` // a second
}

const (
	leastServices    = 2
	routesPerService = 4
)

// ShapeOf scales the target to a number of proxies. Machines of the core, zones and regions stay as they are.
func ShapeOf(proxies int, target Target) Shape {
	share := float64(proxies) / float64(target.Proxies)
	scaled := func(whole int, least int) int { return max(least, int(math.Round(share*float64(whole)))) }
	services := scaled(target.Models, leastServices)
	return Shape{
		Proxies: proxies, Core: target.ControlMachines, Zones: target.Zones, Regions: target.Regions, Services: services,
		Brokers: scaled(target.ModelBrokers, services), Tenants: scaled(target.Tenants, 1), Routes: services * routesPerService,
		EventsPerBroker: target.EventsPerS / float64(target.ModelBrokers),
	}
}

// Nodes is the number of nodes, those of the core among them.
func (s Shape) Nodes() int { return s.Proxies + s.Core }

// The delays of messages, one way.
const (
	delayInZone   = 300 * time.Microsecond
	delayInRegion = 1400 * time.Microsecond
	delayRegions  = 12 * time.Millisecond
	delayOfBroker = time.Millisecond
	syncOfDisk    = 2 * time.Millisecond
)

// Heartbeat lies between two heartbeats of a broker.
const Heartbeat = 1200 * time.Millisecond
