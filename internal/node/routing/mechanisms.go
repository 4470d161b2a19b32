package routing

import (
	"fmt"
	"strings"
)

// Mechanism is a part of the decisions that can be switched off by name, for its worth to be measured and for on-call to rule it out.
type Mechanism uint32

// The mechanisms.
const (
	Prediction Mechanism = 1 << iota
	Copies
	HistoryExpiry
	Affinity
	PromptIndex
	KVFetch
	KVStore
	RecentReads
	BrokerPace
	RefusalPause
	Postponing
	Overload
	NewestFirst
	LoadingMarks
	BrokerTrials
)

// MechanismInfo describes a mechanism.
type MechanismInfo struct {
	Mechanism Mechanism
	Name      string
	About     string // one line
}

// Mechanisms lists all mechanisms, the design's own first.
func Mechanisms() []MechanismInfo {
	return []MechanismInfo{
		{Prediction, "prediction", "brokers that are predicted slow are passed over"},
		{Copies, "copies", "a late request that may be repeated gets one copy"},
		{HistoryExpiry, "history-expiry", "latencies older than a second no longer count in the prediction"},
		{Affinity, "affinity", "requests with the same shared parts prefer one broker by a rendezvous order"},
		{PromptIndex, "index", "what brokers and the store tell of the parts that they keep"},
		{KVFetch, "fetch", "brokers fetch parts of prompts from other brokers"},
		{KVStore, "store", "parts are saved in the store and fetched from there"},
		{RecentReads, "recent-reads", "what was sent to brokers lately counts before the index tells of it"},
		{BrokerPace, "broker-pace", "a pace for each broker, by the pauses of its streams"},
		{RefusalPause, "refusal-pause", "a broker that had no room is left alone for a moment"},
		{Postponing, "postponing", "first tries that would be late are told when to come again"},
		{Overload, "overload", "a share of the least urgent is refused while most answers are late"},
		{NewestFirst, "newest-first", "only brokers with the newest weights shortly before older ones are over"},
		{LoadingMarks, "loading-marks", "brokers that are marked as loading weights get no request"},
		{BrokerTrials, "broker-trials", "brokers that fail or hang are set aside and tried again"},
	}
}

// ParseMechanisms reads names separated by commas; an unknown name is an error.
func ParseMechanisms(names string) (Mechanism, error) {
	var set Mechanism
	for name := range strings.SplitSeq(names, ",") {
		if name == "" {
			continue
		}
		found := false
		for _, info := range Mechanisms() {
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

// Names lists the names of a set of mechanisms.
func (m Mechanism) Names() []string {
	var names []string
	for _, info := range Mechanisms() {
		if m&info.Mechanism != 0 {
			names = append(names, info.Name)
		}
	}
	return names
}

// Switches tells which mechanisms are on: all but the disabled ones.
type Switches struct{ disabled Mechanism }

// NewSwitches has all mechanisms on but those of the set.
func NewSwitches(disabled Mechanism) Switches { return Switches{disabled} }

// On reports whether a mechanism is on.
func (s Switches) On(m Mechanism) bool { return s.disabled&m == 0 }
