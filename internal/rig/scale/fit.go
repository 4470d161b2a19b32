package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line through what was measured at several sizes: value = Base + Slope x size.
type Fit struct {
	Metric string    `json:"metric"`
	Unit   string    `json:"unit"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Base   float64   `json:"base"`
	Slope  float64   `json:"slope"`
	// Error is the largest deviation of a value from the line, as a share of the largest value.
	Error float64 `json:"error"`
	// Power is the slope between logarithms over the upper sizes: 0 constant, 1 linear, 2 quadratic.
	Power float64 `json:"power"`
	// AtTarget is the line's value at the target's proxies.
	AtTarget float64 `json:"atTarget"`
	// Limit is what the target allows; 0: none is stated. Share is AtTarget in it.
	Limit float64 `json:"limit,omitempty"`
	Share float64 `json:"share,omitempty"`
}

// leastSizes are needed for a fit that says anything.
const leastSizes = 3

// fitLine draws the line. ok is false where there are fewer than three sizes.
func fitLine(metric, unit string, sizes, values []float64, target, limit float64) (Fit, bool) {
	if len(sizes) < leastSizes {
		return Fit{}, false
	}
	f := Fit{Metric: metric, Unit: unit, Sizes: sizes, Values: values, Limit: limit}
	f.Base, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	largest := 0.0
	for i, size := range sizes {
		f.Error = max(f.Error, math.Abs(f.Base+f.Slope*size-values[i]))
		largest = max(largest, math.Abs(values[i]))
	}
	if largest > 0 {
		f.Error /= largest
	}
	f.Power = powerOf(sizes, values)
	f.AtTarget = f.Base + f.Slope*target
	if limit > 0 {
		f.Share = f.AtTarget / limit
	}
	return f, true
}

// powerOf is the slope between the logarithms of the last three sizes; 0 where a value is not positive.
func powerOf(sizes, values []float64) float64 {
	var x, y []float64
	for i := max(0, len(sizes)-leastSizes); i < len(sizes); i++ {
		if values[i] <= 0 {
			return 0
		}
		x, y = append(x, math.Log(sizes[i])), append(y, math.Log(values[i]))
	}
	if len(x) < 2 {
		return 0
	}
	_, slope := stat.LinearRegression(x, y, nil, false)
	return slope
}

// metric is one figure of a size that is followed over the sizes.
type metric struct {
	name  string
	unit  string
	value func(*SizeResult) float64
	limit float64
}

// metrics are those that the report follows.
func metrics(target Target) []metric {
	limitMs := target.ChangeEverywhere * 1000
	list := []metric{}
	for _, role := range []Role{RoleNoHome, RoleConfigHome, RoleBrokerHome, RoleIndexHome, RoleHead, RoleMiddle, RoleTail} {
		list = append(list,
			metric{string(role) + ": bytes sent, heartbeats alone", "B/s", func(r *SizeResult) float64 { return r.Quiet[role].SentBytes }, target.BytesPerS},
			metric{string(role) + ": messages sent, heartbeats alone", "1/s", func(r *SizeResult) float64 { return r.Quiet[role].Sent }, 0},
			metric{string(role) + ": processor, heartbeats alone", "% of a core", func(r *SizeResult) float64 { return r.Quiet[role].CPUPercent }, target.CPUPercent},
			metric{string(role) + ": bytes sent, with events", "B/s", func(r *SizeResult) float64 { return r.Busy[role].SentBytes }, target.BytesPerS},
			metric{string(role) + ": bytes received, with events", "B/s", func(r *SizeResult) float64 { return r.Busy[role].ReceivedBytes }, target.BytesPerS},
			metric{string(role) + ": processor, with events", "% of a core", func(r *SizeResult) float64 { return r.Busy[role].CPUPercent }, target.CPUPercent},
		)
	}
	return append(list,
		metric{"heap, heartbeats alone", "KB a node", func(r *SizeResult) float64 { return r.HeapPerNode / 1024 }, target.MemoryMB * 1024},
		metric{"heap, with events", "KB a node", func(r *SizeResult) float64 { return r.HeapBusy / 1024 }, target.MemoryMB * 1024},
		metric{"a change: acknowledged", "ms", func(r *SizeResult) float64 { return r.Changes.AckMs }, 0},
		metric{"a change: everywhere", "ms", func(r *SizeResult) float64 { return r.Changes.Everywhere.LastMs }, limitMs},
		metric{"a change: processor a proxy", "ms", func(r *SizeResult) float64 { return r.Changes.CPUMsANode }, 0},
		metric{"first configuration: everywhere", "ms", func(r *SizeResult) float64 { return r.Changes.FirstLastMs }, limitMs},
		metric{"a proxy's end: noticed by the last", "ms", func(r *SizeResult) float64 { return r.Death.Noticed.LastMs }, 0},
		metric{"a core machine's end: next acknowledgement", "ms", func(r *SizeResult) float64 {
			return max(r.CoreLoss.MiddleMs, r.CoreLoss.HeadMs)
		}, 0},
		metric{"a broker drains: messages of its home", "", func(r *SizeResult) float64 { return r.Brokers.MessagesAHome }, 0},
		metric{"a broker drains: bytes of its home", "B", func(r *SizeResult) float64 { return r.Brokers.BytesAHome }, 0},
		metric{"new weights: bytes of the holder, a broker", "B", func(r *SizeResult) float64 {
			return r.Campaign.HeadBytes / max(float64(r.Campaign.Brokers), 1)
		}, 0},
		metric{"new weights: bytes of the holder a second", "B/s", func(r *SizeResult) float64 {
			return 1000 * r.Campaign.HeadBytes / max(r.Campaign.LoadedMs, 1)
		}, target.BytesPerS},
		metric{"new weights: processor of the holder", "% of a core", func(r *SizeResult) float64 { return r.Campaign.HeadCPUPercent }, target.CPUPercent},
		metric{"regions cut and healed: processor a node", "ms", func(r *SizeResult) float64 { return r.Cut.CPUMsANode }, 0},
		metric{"regions cut and healed: bytes a node after the heal", "B", func(r *SizeResult) float64 { return r.Cut.BytesANode }, 0},
		metric{"regions cut and healed: all members again", "ms", func(r *SizeResult) float64 { return r.Cut.MembersMs }, 0},
		metric{"a zone ends: processor a node", "ms", func(r *SizeResult) float64 { return r.Zone.CPUMsANode }, 0},
		metric{"a zone ends: bytes a node", "B", func(r *SizeResult) float64 { return r.Zone.BytesANode }, 0},
		metric{"a zone ends: noticed by all", "ms", func(r *SizeResult) float64 { return r.Zone.NoticedMs }, 0},
		metric{"a zone ends: its brokers silent", "ms", func(r *SizeResult) float64 { return r.Zone.SilentMs }, 0},
		metric{"false suspicions while 0.5% of messages are lost", "a node an hour", func(r *SizeResult) float64 {
			return float64(r.Loss.Suspicions) / max(r.Loss.SpanS, 1) * 3600 / float64(r.Shape.Nodes())
		}, 0},
	)
}

// FitAll draws a line for each metric that was measured at three sizes or more.
func FitAll(sizes []SizeResult, target Target) []Fit {
	var fits []Fit
	for _, m := range metrics(target) {
		var x, y []float64
		for i := range sizes {
			if value := m.value(&sizes[i]); value != 0 {
				x, y = append(x, float64(sizes[i].Shape.Proxies)), append(y, value)
			}
		}
		if fit, ok := fitLine(m.name, m.unit, x, y, float64(target.Proxies), m.limit); ok {
			fits = append(fits, fit)
		}
	}
	return fits
}
