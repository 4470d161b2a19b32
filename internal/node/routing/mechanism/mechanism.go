// Package mechanism lists the parts of the routing decisions that can be disabled one by one.
//
// Their names are part of the interface of the command kestrelnode and of scenario files, so they
// must not change.
package mechanism

import (
	"fmt"
	"strings"
)

// Set is a set of mechanisms, with one bit for each. Mechanisms can be disabled by name, to measure
// their effect or to rule them out as the cause of a fault in operation.
type Set uint32

// The mechanisms. All describes them.
const (
	Prediction Set = 1 << iota
	Hedging
	HistoryExpiry
	Affinity
	PromptIndex
	KVFetch
	KVStore
	RecentPrefills
	BrokerPace
	RefusalBackoff
	Postponing
	Overload
	NewestFirst
	LoadingMarks
	OutlierEjection
)

// Info describes one mechanism.
type Info struct {
	Mechanism   Set    // one bit
	Name        string // as operators write it
	Description string // one line
}

// All returns all mechanisms, those of the design first.
func All() []Info {
	return []Info{
		{Prediction, "prediction", "brokers whose answers are predicted to be slow are avoided"},
		{Hedging, "copies", "a request with a late answer that may run twice is hedged once"},
		{HistoryExpiry, "history-expiry", "latencies older than a second don't count in the prediction"},
		{Affinity, "affinity", "requests with the same shared prompt parts prefer one broker by rendezvous hashing"},
		{PromptIndex, "index", "the index of the prompt parts that brokers and stores report as cached is used"},
		{KVFetch, "fetch", "brokers fetch cached prompt parts from other brokers"},
		{KVStore, "store", "prompt parts are saved in the store and fetched from there"},
		{RecentPrefills, "recent-reads", "prompt parts that were sent to a broker recently count as cached there before the index knows"},
		{BrokerPace, "broker-pace", "the speed of each broker is estimated by the intervals between events of its streams"},
		{RefusalBackoff, "refusal-pause", "a broker that refused a request for lack of capacity is avoided for a short time"},
		{Postponing, "postponing", "first tries that would be answered late are refused with a retry delay"},
		{Overload, "overload", "a share of the least urgent requests is refused while most answers are late"},
		{NewestFirst, "newest-first", "only brokers with the newest weights are used shortly before older weights expire"},
		{LoadingMarks, "loading-marks", "brokers that are marked as loading weights get no requests"},
		{OutlierEjection, "broker-trials", "brokers that fail or don't answer are ejected and probed"},
	}
}

// Parse returns the set of mechanisms that a comma-separated list names. It fails if a name is
// unknown. Empty names are ignored.
func Parse(names string) (Set, error) {
	var set Set
	for name := range strings.SplitSeq(names, ",") {
		if name == "" {
			continue
		}
		found := false
		for _, info := range All() {
			if info.Name == name {
				set |= info.Mechanism
				found = true
			}
		}
		if !found {
			return 0, fmt.Errorf("unknown mechanism %q", name)
		}
	}
	return set, nil
}

// Names returns the names of the mechanisms in the set, in the order of All.
func (m Set) Names() []string {
	var names []string
	for _, info := range All() {
		if m&info.Mechanism != 0 {
			names = append(names, info.Name)
		}
	}
	return names
}

// Switches tells which mechanisms are enabled: all but the disabled ones.
type Switches struct{ disabled Set }

// NewSwitches returns switches with all mechanisms enabled except those of the set.
func NewSwitches(disabled Set) Switches { return Switches{disabled} }

// On reports whether a mechanism is enabled.
func (s Switches) On(m Set) bool { return s.disabled&m == 0 }
