// Package bear learns which share of what is asked servers bear while they are full, and plans with it: below which worth
// searches are refused. It is a reducer: what was asked and how it ended goes in, a line comes out; no I/O, no clock, no chance.
//
// A broker sees only its own part of the load, and knows nothing of a server's capacity. What it can see is harm: its work
// turned away, or late. So it gives a share of what is asked back, the least of worth first, for as long as harm lasts, and
// feels its way up again. All brokers see the same servers and go by the same steps, each of its own: the shares come out
// alike, and the sum is what servers bear. When a site is lost, the share is held against what is left at once.
package bear

import (
	"math"
	"sort"

	"kestrelspread/internal/window"
)

// Rules are the steps. What they bring is measured in docs/measure/site.md.
type Rules struct {
	Span   float64 // ms over which it is told who asks for what
	Every  float64 // ms between two steps
	Few    float64 // sub-requests that ended, under which a step waits
	Harm   float64 // share of them that were turned away or late: over it, back
	Calm   float64 // under it, up. Servers' queues differ by chance: where some are full, others are idle still
	Strict float64 // harm that is too much while less valued ones are still taken
	Down   float64 // a step back
	Up     float64
	Least  float64 // share that is always taken, or nothing would be heard of servers again
	Late   float64 // share of its latency target past which one sub-request is harm: its search waits for the slowest
	Levels int     // of worth that are told apart, at most
}

// Usual are the rules that brokers go by.
var Usual = Rules{Span: 8000, Every: 250, Few: 12, Harm: 0.4, Calm: 0.3, Strict: 0.2, Down: 0.95, Up: 1.02, Least: 0.05, Late: 0.6, Levels: 64}

// End is how a sub-request ended, as far as it tells of what its server bears.
type End uint8

// How a sub-request ended, as far as the plan has to know.
const (
	Well End = iota
	Harm     // turned away, or late
	Mute     // it tells nothing: unreachable, reset, called off early
)

// Line is what servers bear: searches worth less than Worth are beyond it, and of those worth just that the share Beyond.
// Worth 0: all are borne, or nothing is known.
type Line struct{ Worth, Beyond float64 }

type level struct {
	worth float64
	asked *window.Counts // sub-requests that searches of this worth need
	at    float64        // the latest
}

// Plan is one broker's.
type Plan struct {
	rules       Rules
	now         float64
	at          float64 // of the latest step
	levels      []level // by worth, the least first
	size        float64
	share       float64    // of what is asked; 1: no line
	ended, hurt [2]float64 // since the latest step: of all, and of the most valued type
	line        Line
	Back        int // steps back, for reports
}

// New makes a plan without a line.
func New(rules Rules) *Plan {
	return &Plan{rules: rules, at: math.Inf(-1), share: 1}
}

// Size is how much there is to carry it: of what is listed, ready and at no lost site, in the units of the list. Where a line is
// drawn already and half of that goes, half of the share is what is left: nobody has to meet the crowd first.
func (p *Plan) Size(usable float64) {
	if usable <= 0 {
		return // nothing can be asked then, and of nothing no share of what comes back could be told
	}
	if p.share < 1 && p.size > 0 && usable != p.size && !plantBlind {
		p.share = min(max(p.share*usable/p.size, p.rules.Least), 1)
	}
	p.size = usable
}

// Share is what of all that is asked is taken.
func (p *Plan) Share() float64 { return p.share }

// Line is the latest.
func (p *Plan) Line() Line { return p.line }

// Begin opens a turn. Times never fall.
func (p *Plan) Begin(now float64) { p.now = now }

// Asked counts a search that came, by what it is worth and its number of parts.
func (p *Plan) Asked(worth float64, parts int) {
	at := sort.Search(len(p.levels), func(i int) bool { return p.levels[i].worth >= worth })
	if at == len(p.levels) || p.levels[at].worth != worth {
		if len(p.levels) >= p.rules.Levels && !p.forget() {
			at = max(min(at, len(p.levels))-1, 0) // counted with the next lower one
		} else {
			at = sort.Search(len(p.levels), func(i int) bool { return p.levels[i].worth >= worth })
			p.levels = append(p.levels, level{})
			copy(p.levels[at+1:], p.levels[at:])
			p.levels[at] = level{worth: worth, asked: window.NewCounts(10, p.rules.Span/8)}
		}
	}
	p.levels[at].asked.Add(p.now, float64(parts))
	p.levels[at].at = p.now
}

// forget drops a level that nobody has asked at for long.
func (p *Plan) forget() bool {
	for i := range p.levels {
		if p.now-p.levels[i].at > 2*p.rules.Span {
			p.levels = append(p.levels[:i], p.levels[i+1:]...)
			return true
		}
	}
	return false
}

// Ended counts n sub-requests that came back, of the most valued type (top) or of another. One of the most
// valued that is refused by anything else than the line was harmed in all its parts.
func (p *Plan) Ended(how End, top bool, n float64) {
	for i := range p.ended {
		if how == Mute || i == ofTop && !top {
			break
		}
		if p.ended[i] += n; how == Harm {
			p.hurt[i] += n
		}
	}
}

const (
	ofAll = 0
	ofTop = 1
)

// Strict tells whether less valued searches are taken still: then the most valued are to come to no harm by them.
func (p *Plan) Strict() bool {
	n := len(p.levels)
	return n > 1 && p.line.Worth < p.levels[n-1].worth
}

// End closes a turn: true where the line has moved.
func (p *Plan) End() bool {
	if p.now < p.at+p.rules.Every {
		return false
	}
	p.at = p.now
	if p.ended[ofAll] >= p.rules.Few {
		most, calm, of := p.rules.Harm, p.rules.Calm, ofAll
		if p.Strict() {
			// What is slow to one type is quick to another: while there are enough of the most valued, they are the measure.
			if most, calm = p.rules.Strict, p.rules.Strict/2; p.ended[ofTop] >= p.rules.Few/2 {
				of = ofTop
			}
		}
		switch harm := p.hurt[of] / p.ended[of]; {
		case harm > most:
			p.share = max(p.share*p.rules.Down, p.rules.Least)
			p.Back++
		case harm < calm && !plantStuck:
			p.share = min(p.share*p.rules.Up, 1)
		}
		p.ended, p.hurt = [2]float64{}, [2]float64{}
	} else if p.ended[ofAll] == 0 && p.share < 1 {
		p.share = min(p.share*p.rules.Up, 1) // nothing is heard: whoever asks now is to find out
	}
	was := p.line
	p.line = p.draw()
	return p.line != was
}

// draw finds the worth under which what is beyond the share lies.
func (p *Plan) draw() Line {
	if p.share >= 1 {
		return Line{}
	}
	all := 0.0
	for i := range p.levels {
		all += p.levels[i].asked.Sum(p.now, p.rules.Span)
	}
	beyond := (1 - p.share) * all
	for i := range p.levels {
		if plantMost {
			i = len(p.levels) - 1 - i
		}
		asked := p.levels[i].asked.Sum(p.now, p.rules.Span)
		if asked > 0 && asked >= beyond {
			return Line{p.levels[i].worth, beyond / asked}
		}
		beyond -= asked
	}
	return Line{}
}
