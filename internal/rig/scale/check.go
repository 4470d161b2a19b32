package scale

import "fmt"

// Bound says how much a rate of the nodes may grow with the fleet: to the power Power of its size at most.
type Bound struct {
	Name  string
	Value func(*SizeResult) float64
	Power float64
	// Most bounds the value itself at the largest size; 0: only its growth is bounded.
	Most float64
}

// slack is added to the powers: the sizes are small, and what is sent by chance differs.
const slack = 0.25

// kindsThatStay are the messages of which a node sends as many in a fleet of any size.
var kindsThatStay = []string{
	"probe", "probe_ack", "state_poll", "registry_poll", "registry_snapshot", "voter_ping", "voter_pong", "barrier",
}

// Bounds are those that the fleet must keep. All but the index of kept prompts are to stay as they are, or to grow with the
// logarithm of the fleet; docs/CAPACITY.md lists what grows linearly and must not stay so.
func Bounds() []Bound {
	list := []Bound{
		{Name: "messages sent, heartbeats alone", Value: func(r *SizeResult) float64 { return r.Quiet[RoleNode].Sent }},
		{Name: "messages of other kinds than those that stay", Most: 6, Power: 1, Value: otherMessages},
		{Name: "messages sent, with events of kept parts", Power: 1, Value: func(r *SizeResult) float64 { return r.Busy[RoleNode].Sent }},
		{Name: "bytes sent, heartbeats alone", Power: 0.5, Value: func(r *SizeResult) float64 { return r.Quiet[RoleProxy].SentBytes }},
		{Name: "bytes received, with events of kept parts", Power: 1, Value: func(r *SizeResult) float64 { return r.Busy[RoleProxy].ReceivedBytes }},
	}
	for _, kind := range kindsThatStay {
		list = append(list, Bound{
			Name:  "messages " + kind + ", heartbeats alone",
			Value: func(r *SizeResult) float64 { return r.Quiet[RoleNode].Kind(kind).Sent },
		})
	}
	return list
}

func otherMessages(r *SizeResult) float64 {
	rate := r.Quiet[RoleNode]
	others := rate.Sent
	for _, kind := range kindsThatStay {
		others -= rate.Kind(kind).Sent
	}
	return others
}

// leastSpan is how many times as many nodes as the smallest fleet the largest must have for the growth between them to say
// anything.
const leastSpan = 2

// CheckSlopes lists the bounds that are broken by what was measured at several sizes, the smallest first. Fewer than three sizes, or
// sizes close together, break none.
func CheckSlopes(sizes []SizeResult, bounds []Bound) []string {
	var broken []string
	for _, bound := range bounds {
		var x, y []float64
		for i := range sizes {
			if value := bound.Value(&sizes[i]); value > 0 {
				x, y = append(x, float64(sizes[i].Shape.Nodes())), append(y, value)
			}
		}
		if len(x) < leastSizes || x[len(x)-1] < leastSpan*x[0] {
			continue
		}
		if power := powerOf(x, y); power > bound.Power+slack {
			broken = append(broken, fmt.Sprintf("%s: a node's share grows as the fleet to the power of %.2f, at most %.2f is allowed: %.3g at %.0f nodes, %.3g at %.0f",
				bound.Name, power, bound.Power+slack, y[0], x[0], y[len(y)-1], x[len(x)-1]))
		}
		if last := y[len(y)-1]; bound.Most > 0 && last > bound.Most {
			broken = append(broken, fmt.Sprintf("%s: %.3g at %.0f nodes, at most %.3g are allowed", bound.Name, last, x[len(x)-1], bound.Most))
		}
	}
	return broken
}
