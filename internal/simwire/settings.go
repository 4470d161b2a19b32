package simwire

import (
	"math"
	"strconv"
	"strings"

	"kestrelspread/internal/decide"
)

// maxListed bounds a count of settings, against a text that states a huge one.
const maxListed = 4096

func (b *broker) num64(path string, missing float64) float64 {
	v, err := strconv.ParseFloat(b.settings[path], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return missing
	}
	return v
}

func (b *broker) whole(path string, missing int) int {
	return int(min(max(b.num64(path, float64(missing)), math.MinInt32), math.MaxInt32))
}

func (b *broker) flag(path string) bool { return b.settings[path] == "true" }

func (b *broker) has(path string) bool { return b.settings[path] != "" }

// nth reads one place of a plain list.
func (b *broker) nth(path string, i int, missing float64) float64 {
	values := strings.Split(b.settings[path], ",")
	if i < len(values) {
		if v, err := strconv.ParseFloat(values[i], 64); err == nil {
			return finite(v)
		}
	}
	return missing
}

func (b *broker) configure(seed uint64) decide.Port {
	const fam, safe, lim = "family-info.", "safety.", "limits."
	p := decide.New(b, seed, b.whole("balancers", 1), b.whole("zone", 0))
	for i := range min(b.whole("classes.count", 0), maxListed) {
		at := "classes." + strconv.Itoa(i) + "."
		effect := decide.NonIdempotent
		switch {
		case b.settings[at+"effect"] == "repeatable":
			effect = decide.Idempotent
		case b.settings[at+"effect"] == "by_key" && b.settings[at+"group"] == "all":
			effect = decide.Tokened
		}
		p.QueryType(b.num64(at+"aim-ms", 0), b.num64(at+"importance", 1),
			b.num64(at+"late-value", 0), effect, b.num64(at+"window-ms", 0))
		p.Shares(i, b.nth(fam+"class-need", i, 1), b.nth(fam+"class-floor", i, 1),
			b.nth(fam+"incomplete-worth", i, 0), int(b.nth(fam+"follow-up", i, 0)))
	}
	for i := range min(b.whole("customers.count", 0), maxListed) {
		p.Customer(b.num64("customers."+strconv.Itoa(i)+".quota-per-s", 0), b.num64("over-share-worth", 1))
	}
	p.Fleet(b.whole(fam+"places", 1), b.whole(fam+"span", 1), b.whole(fam+"batch", 1),
		b.num64(fam+"call-ms", 0), b.flag(fam+"warm-keys"))
	p.Limits(b.whole(lim+"attempts-cap", 1), b.whole(lim+"most-held", 0), b.flag(lim+"cancel"),
		b.flag(lim+"parallel-tries"))
	if b.flag(lim + "retry-after") {
		p.Advice(b.num64(lim+"max-retry-after-ms", 0))
	}
	if b.has(safe + "tip-multiple") {
		p.Cold(b.num64(safe+"cold-from", 0), b.num64(safe+"cold-ms", 0), b.num64(safe+"tip-multiple", 0),
			b.num64(safe+"tip-after-ms", 0))
	}
	if b.has(safe + "further-ratio") {
		p.Budget(b.num64(safe+"spare-attempts", 0), b.num64(safe+"further-ratio", 0), b.num64(safe+"counted-over-ms", 0))
	}
	var fields []decide.Field
	for name := range strings.SplitSeq(b.settings["report.fields"], ",") {
		field := decide.Other
		switch name {
		case "active":
			field = decide.InFlight
		case "cpu":
			field = decide.Busy
		case "waiting":
			field = decide.Queue
		}
		fields = append(fields, field)
	}
	p.Reports(b.settings["report.via"] == "answers", fields)
	if b.flag(lim + "may-probe") {
		p.Probes()
	}
	p.Discovery(b.settings["discovery"] == "ask")
	return p
}
