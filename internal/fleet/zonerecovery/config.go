package zonerecovery

// Config holds the parameters of a recovery schedule. Times are in ms.
type Config struct {
	Steps          int     // number of equal steps in which a site's share rises from 0 to 1
	MinStepMs      float64 // time between two steps; it doubles with each recent loss after the first
	MaxStepMs      float64 // upper limit of the time between two steps
	MinReporters   int     // number of instances that must report a site as lost before its share is set to 0
	MaxReportAgeMs float64 // reports that are older are discarded
	LossMemoryMs   float64 // time at the full share after which a site's recent losses are forgotten
	RepublishMs    float64 // interval at which stages below the full share are published again, as brokers discount old ones
}

// DefaultConfig is the configuration that is used in production.
var DefaultConfig = Config{
	Steps:          4,
	MinStepMs:      1000,
	MaxStepMs:      16000,
	MinReporters:   2,
	MaxReportAgeMs: 10000,
	LossMemoryMs:   60000,
	RepublishMs:    2000,
}
