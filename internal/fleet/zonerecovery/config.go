package zonerecovery

// Config holds the schedule's constants. Times are in ms.
type Config struct {
	Steps         int     // from the first probes to the full share
	MinStepMs     float64 // the length of a step; it doubles with each further recent loss
	MaxStepMs     float64
	MinReporters  int     // instances that have to report a loss
	ReportFreshMs float64 // after which a report counts no more
	LossMemoryMs  float64 // at the full share, after which losses are forgotten
	RepublishMs   float64 // a stage below the full share is published again, as old ones count for little
}

// DefaultConfig is the configuration in service.
var DefaultConfig = Config{
	Steps:         4,
	MinStepMs:     1000,
	MaxStepMs:     16000,
	MinReporters:  2,
	ReportFreshMs: 10000,
	LossMemoryMs:  60000,
	RepublishMs:   2000,
}
