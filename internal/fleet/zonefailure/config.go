package zonefailure

// Config holds the thresholds by which a Detector declares and ends the loss of a site. docs/measure/site.md has the measurements
// behind DefaultConfig.
type Config struct {
	// MinFailedServers is how many servers of a site have to fail in one burst of sub-requests before the site is declared lost.
	// In a site with fewer ready servers, all of them have to fail.
	MinFailedServers int

	// The timeout is TimeoutFactor times the TimeoutQuantile quantile of the observed latencies, and at least MinTimeoutMs.
	TimeoutQuantile float64
	TimeoutFactor   float64
	MinTimeoutMs    float64
	// InitialTimeoutMs is the timeout until enough answers have been observed. It is raised to InitialTimeoutTargetShare of the
	// shortest latency target, because a server that works for seconds on each request answers nothing within a quarter of a
	// second.
	InitialTimeoutMs          float64
	InitialTimeoutTargetShare float64

	// StallMs is the time between two turns above which this process counts as stalled, if sub-requests were in flight.
	// Answers that it did not read during a stall are no evidence against a server.
	StallMs float64
	// ContactFreshMs is how long an answer of another site counts as evidence that this aggregator receives answers at all.
	ContactFreshMs float64

	// ProbeIntervalMs is the mean interval between two probes that this aggregator sends to a lost site.
	ProbeIntervalMs float64
	// RecoveryStepMs is the time over which the probes of a recovering site's servers are spread. Each further loss within
	// LossMemoryMs multiplies it by RelapseFactor, up to MaxRecoveryStepMs.
	RecoveryStepMs    float64
	RelapseFactor     float64
	MaxRecoveryStepMs float64
	LossMemoryMs      float64
	// MinRecoveryAnswers is how many answers complete a recovery, or as many as the site has ready servers if that is fewer.
	MinRecoveryAnswers int
	// FalseAlarmWindowMs is the time after a loss within which an answer to an earlier sub-request undoes the loss at once, without a
	// recovery in steps.
	FalseAlarmWindowMs float64

	// ReportFreshMs is how long a peer's report counts. MinPeers is how many peers have to report the same before it has an effect.
	ReportFreshMs float64
	MinPeers      int
}

// DefaultConfig is the configuration that aggregators use in production.
var DefaultConfig = Config{
	MinFailedServers:          5,
	TimeoutQuantile:           0.95,
	TimeoutFactor:             1.25,
	MinTimeoutMs:              25,
	InitialTimeoutMs:          250,
	InitialTimeoutTargetShare: 0.5,
	StallMs:                   100,
	ContactFreshMs:            2000,
	ProbeIntervalMs:           500,
	RecoveryStepMs:            250,
	RelapseFactor:             2,
	MaxRecoveryStepMs:         8000,
	LossMemoryMs:              60000,
	MinRecoveryAnswers:        3,
	FalseAlarmWindowMs:        1000,
	ReportFreshMs:             5000,
	MinPeers:                  2,
}
