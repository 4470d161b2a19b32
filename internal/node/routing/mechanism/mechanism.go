// Package mechanism names the parts of the routing decisions that can be switched off one by one.
//
// The printed names are an interface of the command kestrelnode and of scenario files, and stay as
// they are.
package mechanism

import (
	"fmt"
	"strings"
)

// Set is a set of mechanisms, one bit each: parts of the decisions that can be switched off by
// name, so that their effect can be measured and on-call can rule them out.
type Set uint32

// The mechanisms.
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
	Mechanism Set    // one bit
	Name      string // as operators write it
	About     string // one line
}

// All lists all mechanisms, those of the design first.
func All() []Info {
	return []Info{
		{Prediction, "prediction", "brokers that are predicted slow are passed over"},
		{Hedging, "copies", "a late request that may be repeated gets one copy"},
		{HistoryExpiry, "history-expiry", "latencies older than a second no longer count in the prediction"},
		{Affinity, "affinity", "requests with the same shared parts prefer one broker by a rendezvous order"},
		{PromptIndex, "index", "what brokers and the store tell of the parts that they keep"},
		{KVFetch, "fetch", "brokers fetch parts of prompts from other brokers"},
		{KVStore, "store", "parts are saved in the store and fetched from there"},
		{RecentPrefills, "recent-reads", "what was sent to brokers lately counts before the index tells of it"},
		{BrokerPace, "broker-pace", "a pace for each broker, by the pauses of its streams"},
		{RefusalBackoff, "refusal-pause", "a broker that had no room is left alone for a moment"},
		{Postponing, "postponing", "first tries that would be late are told when to come again"},
		{Overload, "overload", "a share of the least urgent is refused while most answers are late"},
		{NewestFirst, "newest-first", "only brokers with the newest weights shortly before older ones are over"},
		{LoadingMarks, "loading-marks", "brokers that are marked as loading weights get no request"},
		{OutlierEjection, "broker-trials", "brokers that fail or hang are set aside and tried again"},
	}
}

// Parse returns the set of the mechanisms that a comma-separated list names. An unknown name is an
// error.
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

// Names lists the names of the mechanisms of a set, in the order of All.
func (m Set) Names() []string {
	var names []string
	for _, info := range All() {
		if m&info.Mechanism != 0 {
			names = append(names, info.Name)
		}
	}
	return names
}

// Switches tells which mechanisms are on: all but the disabled ones.
type Switches struct{ disabled Set }

// NewSwitches has all mechanisms on but those of the set.
func NewSwitches(disabled Set) Switches { return Switches{disabled} }

// On reports whether a mechanism is on.
func (s Switches) On(m Set) bool { return s.disabled&m == 0 }
