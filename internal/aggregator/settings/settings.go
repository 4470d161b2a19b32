// Package settings reads the settings that an aggregator is given at its start and passes them to
// the policy. It defines no defaults and no struct of settings: each reader looks a value up by its
// path and states the value to use if it is absent.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/fleet/capacity"
	"kestrelspread/internal/fleet/zonefailure"
)

// maxListItems bounds the length of a list of objects, in case the settings state a huge one.
const maxListItems = 4096

// Values maps the path of each setting, such as classes.0.aim-ms, to its value. A list of plain
// values is one entry with its items joined by commas; where an item is empty or has a comma, each
// item also has an entry of its own. A list of objects has an entry for each field of each object,
// and its length under the path with .count appended.
type Values map[string]string

// FromLines returns the settings in a text of lines path=value. Other lines are ignored.
func FromLines(text string) Values {
	set := Values{}
	for line := range strings.SplitSeq(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			set[key] = value
		}
	}
	return set
}

// FromJSON returns the settings in a nested JSON object.
func FromJSON(text []byte) (Values, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var top map[string]any
	if err := d.Decode(&top); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	set := Values{}
	set.flatten("", top)
	return set, nil
}

// flatten adds value and all that is nested in it under path. Null values are left out.
func (v Values) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for key, inner := range value {
			v.flatten(path+key, inner)
		}
	case []any:
		if slices.ContainsFunc(value, func(x any) bool { _, object := x.(map[string]any); return object }) {
			v[path+".count"] = strconv.Itoa(len(value))
			for i, inner := range value {
				v.flatten(path+"."+strconv.Itoa(i), inner)
			}
			return
		}
		items := make([]string, len(value))
		for i, inner := range value {
			items[i] = fmt.Sprint(inner)
		}
		v[path] = strings.Join(items, ",")
		if slices.ContainsFunc(items, func(s string) bool { return s == "" || strings.Contains(s, ",") }) {
			v[path+itemsSuffix] = strconv.Itoa(len(items)) // splitting the joined text would give another number of items
			for i, item := range items {
				v[path+"."+strconv.Itoa(i)] = item
			}
		}
	case nil:
	default:
		v[path] = fmt.Sprint(value)
	}
}

// Float returns the number at a path, or fallback if there is none or it is not finite.
func (v Values) Float(path string, fallback float64) float64 {
	n, err := strconv.ParseFloat(v[path], 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return fallback
	}
	return n
}

// Int returns the number at a path, truncated and clamped to 32 bits, or fallback if there is none.
func (v Values) Int(path string, fallback int) int {
	return int(min(max(v.Float(path, float64(fallback)), math.MinInt32), math.MaxInt32))
}

// Bool reports whether the value at a path is true. An absent value counts as false.
func (v Values) Bool(path string) bool { return v[path] == "true" }

func (v Values) has(path string) bool { return v[path] != "" }

// itemsSuffix is appended to the path of a plain list for the number of its items, where the items
// have entries of their own because they can't be joined by commas.
const itemsSuffix = ".items"

// List returns the items of a list of plain values, or nil if there is none.
func (v Values) List(path string) []string {
	if _, separate := v[path+itemsSuffix]; separate {
		list := make([]string, v.Int(path+itemsSuffix, 0))
		for i := range list {
			list[i] = v[path+"."+strconv.Itoa(i)]
		}
		return list
	}
	if v[path] == "" {
		return nil
	}
	return strings.Split(v[path], ",")
}

// Count returns the number of objects in a list of objects, at most maxListItems.
func (v Values) Count(path string) int {
	return min(max(v.Int(path+".count", 0), 0), maxListItems)
}

// ItemField returns the field called name of object i in a list of objects, or "" if there is none.
func (v Values) ItemField(path string, i int, name string) string {
	return v[path+"."+strconv.Itoa(i)+"."+name]
}

// FloatAt returns the number at index i of a list of plain values, or fallback if there is none or
// it is not finite.
func (v Values) FloatAt(path string, i int, fallback float64) float64 {
	if list := v.List(path); i < len(list) {
		if n, err := strconv.ParseFloat(list[i], 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			return n
		}
	}
	return fallback
}

// NewPolicy returns a policy with these settings, which detects failures of each server separately.
func (v Values) NewPolicy(out policy.Executor, seed uint64) policy.Decider {
	p := policy.New(out, seed, v.Int("balancers", 1), v.Int("zone", 0))
	v.Configure(p)
	return p
}

// NewZoneAwarePolicy returns a policy with these settings that also learns of the failure and
// recovery of whole zones, as internal/fleet/zonefailure detects them from this aggregator's own
// requests.
func (v Values) NewZoneAwarePolicy(out policy.Executor, seed uint64) policy.Decider {
	ownZone := v.Int("zone", 0)
	p := zonefailure.Intercept(out, ownZone, zonefailure.DefaultConfig, func(out policy.Executor) policy.Decider {
		return policy.New(out, seed, v.Int("balancers", 1), ownZone)
	})
	v.Configure(p)
	return p
}

// NewCapacityAwarePolicy returns a zone-aware policy with these settings that, while the servers are
// full, also learns how much load they can take (internal/fleet/capacity).
func (v Values) NewCapacityAwarePolicy(out policy.Executor, seed uint64) policy.Decider {
	ownZone := v.Int("zone", 0)
	p := zonefailure.Intercept(out, ownZone, zonefailure.DefaultConfig, func(out policy.Executor) policy.Decider {
		return capacity.Wrap(out, capacity.DefaultConfig, func(out policy.Executor) policy.Decider {
			return policy.New(out, seed, v.Int("balancers", 1), ownZone)
		})
	})
	v.Configure(p)
	return p
}

// Configure passes the settings to a policy, or to another implementation of its interface that
// takes its place in a measurement.
func (v Values) Configure(p policy.Decider) {
	const family, safety, limits = "family-info.", "safety.", "limits."
	for i := range v.Count("classes") {
		class := "classes." + strconv.Itoa(i) + "."
		effect := policy.NonIdempotent
		switch {
		case v[class+"effect"] == "repeatable":
			effect = policy.Idempotent
		case v[class+"effect"] == "by_key" && v[class+"group"] == "all":
			effect = policy.TokenDeduplicated
		}
		p.AddQueryType(v.Float(class+"aim-ms", 0), v.Float(class+"importance", 1),
			v.Float(class+"late-value", 0), effect, v.Float(class+"window-ms", 0))
		p.SetAnswerShares(i, v.FloatAt(family+"class-need", i, 1), v.FloatAt(family+"class-floor", i, 1),
			v.FloatAt(family+"incomplete-worth", i, 0), int(v.FloatAt(family+"follow-up", i, 0)))
	}
	for i := range v.Count("customers") {
		p.AddCustomer(v.Float("customers."+strconv.Itoa(i)+".quota-per-s", 0), v.Float("over-share-worth", 1))
	}
	p.SetFleet(v.Int(family+"places", 1), v.Int(family+"span", 1), v.Int(family+"batch", 1),
		v.Float(family+"call-ms", 0), v.Bool(family+"warm-keys"))
	p.SetLimits(v.Int(limits+"attempts-cap", 1), v.Int(limits+"most-held", 0), v.Bool(limits+"cancel"),
		v.Bool(limits+"parallel-tries"))
	if v.Bool(limits + "retry-after") {
		p.SetMaxRetryAfter(v.Float(limits+"max-retry-after-ms", 0))
	}
	if v.has(safety + "tip-multiple") {
		p.SetWarmUp(v.Float(safety+"cold-from", 0), v.Float(safety+"cold-ms", 0), v.Float(safety+"tip-multiple", 0),
			v.Float(safety+"tip-after-ms", 0))
	}
	if v.has(safety + "further-ratio") {
		p.SetRetryBudget(v.Float(safety+"spare-attempts", 0), v.Float(safety+"further-ratio", 0), v.Float(safety+"counted-over-ms", 0))
	}
	var fields []policy.ReportField
	for _, name := range v.List("report.fields") {
		field := policy.OtherField
		switch name {
		case "active":
			field = policy.InFlightField
		case "cpu":
			field = policy.BusyField
		case "waiting":
			field = policy.QueueField
		}
		fields = append(fields, field)
	}
	p.SetLoadReports(v["report.via"] == "answers", fields)
	if v.Bool(limits + "may-probe") {
		p.AllowProbes()
	}
	p.SetDiscovery(v["discovery"] == "ask")
}
