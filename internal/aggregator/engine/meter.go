package engine

import "kestrelspread/internal/must"

// Used is what one search used. It is told once nothing of the search is out any more; At is when its answer was given.
type Used struct {
	Kind, Customer int
	Front          int // 0 for HTTP's, else the door
	How            Ending
	Left           bool // its client went before the answer: How tells nothing
	At             float64
	Parts          int
	First          int     // sub-requests that were a part's first
	Repeat         int     // that followed one that had ended
	Copy           int     // that went beside one still out
	CalledOff      int     // of all these
	Work           float64 // hinted, ms
	Server         float64 // ms between the module's sending and the end of each sub-request
	In, Out        int64   // bytes of what the client sent and of its answer, without heads
}

// Meter is told of each search, once. It must not wait.
type Meter interface{ Used(u *Used) }

// Measure has a meter told; before the loop runs.
func (r *Router) Measure(m Meter) { r.meter = m }

// usage is kept with a search for its meter.
type usage struct {
	kind, customer, front int
	at, work              float64
	how                   Ending
	left                  bool
	in, out               int64
}

// class of a sub-request among those of its part.
type class uint8

const (
	firstOf class = iota
	repeatOf
	copyOf
)

func (p *part) classOf() class {
	if len(p.subs) == 0 {
		return firstOf
	}
	for _, s := range p.subs {
		if s.state != over {
			return copyOf
		}
	}
	return repeatOf
}

// meterSearch tells the meter of a search that is over and of which nothing is out.
func (r *Router) meterSearch(q *search) {
	if q.metered {
		must.Hold(false, "a search is counted once")
		return
	}
	q.metered = true
	r.Count.Metered++
	if r.meter == nil {
		return
	}
	g := &q.used
	if q.call != nil {
		g.in, g.out = q.call.Bytes()
	}
	u := Used{Kind: g.kind, Customer: g.customer, Front: g.front, How: g.how, Left: g.left, At: g.at, Parts: len(q.parts), Work: g.work,
		In: g.in, Out: g.out}
	for _, p := range q.parts {
		for _, s := range p.subs {
			switch s.class {
			case firstOf:
				u.First++
			case repeatOf:
				u.Repeat++
			default:
				u.Copy++
			}
			if s.calledOff {
				u.CalledOff++
			}
			u.Server += s.ended - s.began
		}
	}
	r.meter.Used(&u)
}

// Kinds names the query types that Used numbers.
func (r *Router) Kinds() []string { return r.rules.kindNames }

// Customers names the customers that Used numbers. A customer that no setting names is the first.
func (r *Router) Customers() []string { return r.rules.customerNames }
