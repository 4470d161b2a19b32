package engine

import (
	"math"
	"strconv"

	"kestrelspread/internal/aggregator/settings"
)

const (
	maxShards             = 1 << 20 // used if the settings give no number of shards
	defaultConnectTimeout = 1000    // ms
)

// reportFieldAliases maps the report fields of the settings to other names by which servers may
// send them: those of the operator's own pages.
var reportFieldAliases = map[string]string{
	"active":  "inflight",
	"waiting": "queue",
	"cpu":     "util",
	"avg_ms":  "latency_ms",
	"rps":     "qps",
	"err_rps": "eps",
}

// config holds the settings that the engine uses. Times are in milliseconds.
type config struct {
	connectTimeout, connIdleTimeout, drainGrace float64 // drainGrace: how long new work may still begin at a server that is draining or gone
	streamsPerConn, maxBatch                    int
	maxPending                                  int     // limit on open searches and shard requests without a reply; 0: none
	longestTimeout                              float64 // longest client timeout of all query types
	shards                                      int
	positions, replicas                         int
	queryTypes, zones                           map[string]int // numbers of query types and zones by name
	twoPhase                                    []bool         // by query type: whether it needs a second phase, which is not implemented
	customers                                   map[string]int // numbers by name
	queryTypeNames                              []string
	customerNames                               []string
	reportFields                                map[string]int // index in a report's values by field name
	reportSize                                  int
	probeType                                   byte // frame type of health checks
	maxDescriptors                              int  // descriptors that the process may open
	pollsDiscovery                              bool // discovery must be polled; it does not push updates
}

// newConfig reads the settings. sockets is the number of descriptors that the process may open.
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
		queryTypes:      map[string]int{},
		zones:           map[string]int{},
		customers:       map[string]int{},
		reportFields:    map[string]int{},
		probeType:       'G',
		maxDescriptors:  sockets,
		pollsDiscovery:  set["discovery"] == "ask",
	}
	c.readQueryTypes(set)
	for i := range set.Count("customers") {
		addIfAbsent(c.customers, set.ItemField("customers", i, "name"), i)
		c.customerNames = append(c.customerNames, set.ItemField("customers", i, "name"))
	}
	for i, zone := range set.List("localities") {
		addIfAbsent(c.zones, zone, i)
	}
	c.readReportFields(set)
	return c
}

// readQueryTypes reads the settings of the query types.
func (c *config) readQueryTypes(set settings.Values) {
	for i := range set.Count("classes") {
		name := set.ItemField("classes", i, "name")
		addIfAbsent(c.queryTypes, name, i)
		c.queryTypeNames = append(c.queryTypeNames, name)
		timeout := set.Float("classes."+strconv.Itoa(i)+".deadline-ms", maxClientTimeout)
		c.longestTimeout = max(c.longestTimeout, timeout)
		c.twoPhase = append(c.twoPhase, set.FloatAt("family-info.follow-up", i, 0) > 0)
	}
}

// readReportFields reads which fields a load report has.
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

// addIfAbsent assigns a number to a name that has none yet: settings may contain a name twice, and
// the first one counts.
func addIfAbsent(numbers map[string]int, name string, number int) {
	if _, known := numbers[name]; !known {
		numbers[name] = number
	}
}
