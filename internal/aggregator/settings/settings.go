// Package settings turns what an aggregator is told at its start into calls of the policy's Port.
// It holds no values of its own and no record of them: each reader asks by path.
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

// maxListItems bounds a count of settings, against a text that states a huge one.
const maxListItems = 4096

// Values holds settings by path, such as classes.0.aim-ms; the items of plain lists are joined by
// commas.
type Values map[string]string

// FromFacts reads lines of path=value.
func FromFacts(facts string) Values {
	set := Values{}
	for line := range strings.SplitSeq(facts, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "="); ok {
			set[key] = value
		}
	}
	return set
}

// FromJSON reads the same as one nested object.
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
		plain := make([]string, len(value))
		for i, inner := range value {
			plain[i] = fmt.Sprint(inner)
		}
		v[path] = strings.Join(plain, ",")
		if slices.ContainsFunc(plain, func(s string) bool { return s == "" || strings.Contains(s, ",") }) {
			v[path+itemsSuffix] = strconv.Itoa(len(plain)) // joined, it would read as more items, or fewer
			for i, item := range plain {
				v[path+"."+strconv.Itoa(i)] = item
			}
		}
	case nil:
	default:
		v[path] = fmt.Sprint(value)
	}
}

// Float reads a number, or gives missing.
func (v Values) Float(path string, missing float64) float64 {
	n, err := strconv.ParseFloat(v[path], 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return missing
	}
	return n
}

// Int reads a whole number.
func (v Values) Int(path string, missing int) int {
	return int(min(max(v.Float(path, float64(missing)), math.MinInt32), math.MaxInt32))
}

// Bool tells whether the value at a path is true; false where there is none.
func (v Values) Bool(path string) bool { return v[path] == "true" }

func (v Values) has(path string) bool { return v[path] != "" }

const itemsSuffix = ".items"

// List gives the items of a plain list.
func (v Values) List(path string) []string {
	if _, told := v[path+itemsSuffix]; told {
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

// Count is how many objects a list holds.
func (v Values) Count(path string) int {
	return min(max(v.Int(path+".count", 0), 0), maxListItems)
}

// ItemField reads a word of one object of a list.
func (v Values) ItemField(path string, i int, name string) string {
	return v[path+"."+strconv.Itoa(i)+"."+name]
}

// FloatAt reads one place of a plain list.
func (v Values) FloatAt(path string, i int, missing float64) float64 {
	if list := v.List(path); i < len(list) {
		if n, err := strconv.ParseFloat(list[i], 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			return n
		}
	}
	return missing
}

// NewPolicy gives a module that knows the settings and judges each server by itself.
func (v Values) NewPolicy(out policy.Out, seed uint64) policy.Port {
	p := policy.New(out, seed, v.Int("balancers", 1), v.Int("zone", 0))
	v.Configure(p)
	return p
}

// NewZoneAwarePolicy gives one that is told of whole sites, too, by this aggregator's own sight
// (internal/fleet/zonefailure).
func (v Values) NewZoneAwarePolicy(out policy.Out, seed uint64) policy.Port {
	own := v.Int("zone", 0)
	p := zonefailure.Intercept(out, own, zonefailure.DefaultConfig, func(out policy.Out) policy.Port {
		return policy.New(out, seed, v.Int("balancers", 1), own)
	})
	v.Configure(p)
	return p
}

// NewCapacityAwarePolicy gives one that is also told what servers bear while they are full
// (internal/fleet/capacity).
func (v Values) NewCapacityAwarePolicy(out policy.Out, seed uint64) policy.Port {
	own := v.Int("zone", 0)
	p := zonefailure.Intercept(out, own, zonefailure.DefaultConfig, func(out policy.Out) policy.Port {
		return capacity.Wrap(out, capacity.DefaultConfig, func(out policy.Out) policy.Port {
			return policy.New(out, seed, v.Int("balancers", 1), own)
		})
	})
	v.Configure(p)
	return p
}

// Configure tells a module, or what stands in its place in a measurement, the settings.
func (v Values) Configure(p policy.Port) {
	const fam, safe, lim = "family-info.", "safety.", "limits."
	for i := range v.Count("classes") {
		at := "classes." + strconv.Itoa(i) + "."
		effect := policy.NonIdempotent
		switch {
		case v[at+"effect"] == "repeatable":
			effect = policy.Idempotent
		case v[at+"effect"] == "by_key" && v[at+"group"] == "all":
			effect = policy.Tokened
		}
		p.QueryType(v.Float(at+"aim-ms", 0), v.Float(at+"importance", 1),
			v.Float(at+"late-value", 0), effect, v.Float(at+"window-ms", 0))
		p.Shares(i, v.FloatAt(fam+"class-need", i, 1), v.FloatAt(fam+"class-floor", i, 1),
			v.FloatAt(fam+"incomplete-worth", i, 0), int(v.FloatAt(fam+"follow-up", i, 0)))
	}
	for i := range v.Count("customers") {
		p.Customer(v.Float("customers."+strconv.Itoa(i)+".quota-per-s", 0), v.Float("over-share-worth", 1))
	}
	p.Fleet(v.Int(fam+"places", 1), v.Int(fam+"span", 1), v.Int(fam+"batch", 1),
		v.Float(fam+"call-ms", 0), v.Bool(fam+"warm-keys"))
	p.Limits(v.Int(lim+"attempts-cap", 1), v.Int(lim+"most-held", 0), v.Bool(lim+"cancel"),
		v.Bool(lim+"parallel-tries"))
	if v.Bool(lim + "retry-after") {
		p.MaxRetryAfter(v.Float(lim+"max-retry-after-ms", 0))
	}
	if v.has(safe + "tip-multiple") {
		p.WarmUp(v.Float(safe+"cold-from", 0), v.Float(safe+"cold-ms", 0), v.Float(safe+"tip-multiple", 0),
			v.Float(safe+"tip-after-ms", 0))
	}
	if v.has(safe + "further-ratio") {
		p.Budget(v.Float(safe+"spare-attempts", 0), v.Float(safe+"further-ratio", 0), v.Float(safe+"counted-over-ms", 0))
	}
	var fields []policy.Field
	for _, name := range v.List("report.fields") {
		field := policy.Other
		switch name {
		case "active":
			field = policy.InFlight
		case "cpu":
			field = policy.Busy
		case "waiting":
			field = policy.Queue
		}
		fields = append(fields, field)
	}
	p.Reports(v["report.via"] == "answers", fields)
	if v.Bool(lim + "may-probe") {
		p.Probes()
	}
	p.Discovery(v["discovery"] == "ask")
}
