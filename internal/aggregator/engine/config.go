package engine

import (
	"math"
	"strconv"

	"kestrelspread/internal/aggregator/settings"
)

const (
	maxShards             = 1 << 20
	defaultConnectTimeout = 1000 // ms
)

// reportFieldAliases are names that servers may write a value by: those of the site's own pages.
var reportFieldAliases = map[string]string{
	"active":  "inflight",
	"waiting": "queue",
	"cpu":     "util",
	"avg_ms":  "latency_ms",
	"rps":     "qps",
	"err_rps": "eps",
}

// config holds the settings that the network obeys. Times are in milliseconds.
type config struct {
	connectTimeout, connIdleTimeout, drainGrace float64
	streamsPerConn, maxBatch                    int
	maxPending                                  int
	longestTimeout                              float64 // of a query type's clients
	shards                                      int
	positions, replicas                         int
	kinds, zones                                map[string]int
	twoPhase                                    []bool // by query type: its answer takes a second phase, which is not spoken here
	customers                                   map[string]int
	kindNames                                   []string
	customerNames                               []string
	reportFields                                map[string]int
	reportSize                                  int
	probeType                                   byte
	maxDescriptors                              int
	pollsDiscovery                              bool // discovery is asked, it does not push
}

// newConfig reads the settings; sockets is how many descriptors the process may hold.
func newConfig(set settings.Values, sockets int) config {
	c := config{
		connectTimeout:  set.Float("limits.connect-timeout-ms", defaultConnectTimeout),
		connIdleTimeout: set.Float("limits.conn-idle-ms", math.Inf(1)),
		drainGrace:      set.Float("safety.drain-grace-ms", 0),
		streamsPerConn:  max(set.Int("limits.streams-per-conn", 1), 1),
		maxBatch:        max(set.Int("family-info.batch", 1), 1),
		maxPending:      set.Int("limits.most-held", 0),
		shards:          set.Int("family-info.slabs", maxShards),
		positions:       max(set.Int("family-info.places", 1), 1),
		replicas:        max(set.Int("family-info.span", 1), 1),
		kinds:           map[string]int{},
		zones:           map[string]int{},
		customers:       map[string]int{},
		reportFields:    map[string]int{},
		probeType:       'G',
		maxDescriptors:  sockets,
		pollsDiscovery:  set["discovery"] == "ask",
	}
	c.readKinds(set)
	for i := range set.Count("customers") {
		keepFirst(c.customers, set.ItemField("customers", i, "name"), i)
		c.customerNames = append(c.customerNames, set.ItemField("customers", i, "name"))
	}
	for i, zone := range set.List("localities") {
		keepFirst(c.zones, zone, i)
	}
	c.readReportFields(set)
	return c
}

func (c *config) readKinds(set settings.Values) {
	for i := range set.Count("classes") {
		name := set.ItemField("classes", i, "name")
		keepFirst(c.kinds, name, i)
		c.kindNames = append(c.kindNames, name)
		timeout := set.Float("classes."+strconv.Itoa(i)+".deadline-ms", maxClientTimeout)
		c.longestTimeout = max(c.longestTimeout, timeout)
		c.twoPhase = append(c.twoPhase, set.FloatAt("family-info.follow-up", i, 0) > 0)
	}
}

func (c *config) readReportFields(set settings.Values) {
	for i, name := range set.List("report.fields") {
		c.reportFields[name] = i
		if alias, ok := reportFieldAliases[name]; ok {
			c.reportFields[alias] = i
		}
		c.reportSize = i + 1
	}
	if c.reportSize > 0 && set["report.via"] != "none" {
		c.probeType = 'T'
	}
}

// keepFirst keeps a name's first number: settings may state a name twice.
func keepFirst(of map[string]int, name string, i int) {
	if _, known := of[name]; !known {
		of[name] = i
	}
}
