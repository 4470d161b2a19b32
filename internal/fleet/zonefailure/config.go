package zonefailure

// Config holds the thresholds. docs/measure/site.md has the measurements behind DefaultConfig.
type Config struct {
	// MinFailedServers is how many servers of one burst have to fail for a loss. A smaller site needs all of its servers.
	MinFailedServers int

	// TimeoutQuantile and TimeoutFactor give the time-out from observed latencies; MinTimeoutMs is its lower bound.
	TimeoutQuantile float64
	TimeoutFactor   float64
	MinTimeoutMs    float64
	// InitialTimeoutMs is the time-out before enough answers were observed. It is raised to InitialTimeoutTargetShare of the
	// shortest latency target: a server that works for seconds on each request answers nothing in a quarter of one.
	InitialTimeoutMs          float64
	InitialTimeoutTargetShare float64

	// StallMs without a turn, with sub-requests in flight, mean that this process was stalled: what it didn't receive in
	// that time is no evidence.
	StallMs float64
	// ContactFreshMs is how long another site's answer shows that this broker receives answers at all.
	ContactFreshMs float64

	// ProbeIntervalMs is the interval between two probes of a lost site, by this broker.
	ProbeIntervalMs float64
	// RecoveryStepMs is the time over which a recovering site's servers are probed. Each further loss within LossMemoryMs
	// multiplies it by RelapseFactor, up to MaxRecoveryStepMs.
	RecoveryStepMs    float64
	RelapseFactor     float64
	MaxRecoveryStepMs float64
	LossMemoryMs      float64
	// MinAnsweringServers is how many answers a recovery takes.
	MinAnsweringServers int
	// FalseAlarmMs: a loss that is disproved within this time is undone at once, without a recovery in steps.
	FalseAlarmMs float64

	// ReportFreshMs is how long a peer's report counts; MinPeers have to report the same.
	ReportFreshMs float64
	MinPeers      int
}

// DefaultConfig is the configuration in service.
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
	MinAnsweringServers:       3,
	FalseAlarmMs:              1000,
	ReportFreshMs:             5000,
	MinPeers:                  2,
}
