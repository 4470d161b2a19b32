package fleetsim

import (
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/standin/servermodel"
)

// Config is the input of a run.
type Config struct {
	Seed                     uint64
	Brokers, Servers         int
	Sites                    int // brokers and servers are assigned to them in turn
	ShardCount, ReplicaCount int
	ServerModel              servermodel.Config
	RatePerS                 float64 // of queries, at all brokers together
	ShardsPerQuery           int
	TargetMs, TimeoutMs      float64
	DelayMs                  float64 // one way
	ConnectTimeoutMs         float64 // of a connect without answer
	MaxAttempts              int
	ClientRetries            int // of each query that was shed
	NotificationMs           float64
	DurationMs               float64
	SiteLosses               []SiteLoss
	UnresponsiveShare        float64 // share of servers that never answer
	FailingShare             float64 // share of servers that answer every attempt with an error, at once
	NewPolicy                func(out policy.Executor, seed uint64, site int) policy.Decider
	QueryTypes               []QueryType  // none: one of ShardsPerQuery, TargetMs and TimeoutMs
	Suspensions              []Suspension // of brokers
	EarlyRetryShare          float64      // share of shed clients that ignore the requested backoff
}

// QueryType is a query type; Share is its part of the queries.
type QueryType struct {
	Share               float64
	ShardsPerQuery      int
	TargetMs, TimeoutMs float64
	Customer            int
}

// Suspension suspends a share of the brokers for a time: their input waits.
type Suspension struct{ Share, StartMs, EndMs float64 }

// SiteLoss is the loss of a site for a time.
type SiteLoss struct {
	Site             int
	StartMs, EndMs   float64
	ReturnsWarmingUp bool
	PartitionOnly    bool // its brokers and servers run on, partitioned from the others
}

// Result is the result of a run.
type Result struct {
	Offered, InTime, Late, Shed, Failed, FalseAlarms int // FalseAlarms: sites reported lost that were not
	Seconds                                          []Second
	MaxWarmUpLoad                                    float64 // of a server in slow start, by capacity, once its restart had been announced for the window of its load
	MaxUnannouncedLoad                               float64 // the same before that: brokers could not know
	MaxWarmLoad                                      float64 // busiest second of another server, by capacity
	DetectionMs                                      []float64
	SentAttempts, FailedAttempts                     int
	SentToLostSites                                  int // attempts
	MaxBurstAfterReturn                              int // attempts to one server in 100 ms, in its slow start
	Logs                                             map[string]int
	RetryTimes                                       map[int]int // shed clients by the tenth of a second in which they were asked to retry
}

// Second counts the queries that started in a second.
type Second struct {
	Offered, InTime int
	AnsweredBySite  []int // in time, by the site of the broker that answered
	Types           []TypeSecond
}

// TypeSecond counts the queries of one type.
type TypeSecond struct{ Offered, InTime int }

// ofType is the part of a query type.
func (s *Second) ofType(queryType int) *TypeSecond {
	for len(s.Types) <= queryType {
		s.Types = append(s.Types, TypeSecond{})
	}
	return &s.Types[queryType]
}
