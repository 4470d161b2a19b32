// Package lease says who does the fleet's work: each duty has one owner at a time, named by a grant with a token. Tokens rise
// strictly for ever. A lease says who may begin; only the token, checked by the receiver in the same step as the effect, says
// what counts (package fence).
//
// Three reducers, none of which reads a clock: State is what all voters agree on, changed by commands alone; Grantor is the
// leading voter's view of time, from which commands come; Holder is an instance's view of what it owns. Whatever time means
// is handed in by steady clocks, one for each process, that may drift by a stated share and stand still.
package lease

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Duty is a piece of the fleet's work.
type Duty struct {
	Name    string `json:"name"`
	Owner   string `json:"owner,omitempty"` // an instance's life; none: nobody's
	Token   uint64 `json:"token"`           // of the latest grant
	Next    string `json:"next,omitempty"`  // who is to have it, once its owner has let go
	Data    []byte `json:"data,omitempty"`  // how far the work has come; only the owner's token may change it
	Written uint64 `json:"written"`         // the token under which Data was written
	Changed uint64 `json:"changed"`         // the index at which
	Word    uint64 `json:"word"`            // the number of the owner's latest word under its token
	Deaths  int    `json:"deaths"`          // owners that ended while they held it, since one got on with it
	Forced  bool   `json:"forced,omitempty"`
}

// Event is a line of a duty's history.
type Event struct {
	Index uint64 `json:"index"`
	Duty  string `json:"duty"`
	What  string `json:"what"`
	Who   string `json:"who,omitempty"`
	Token uint64 `json:"token"`
}

// State is what voters agree on. It is a function of the commands alone.
type State struct {
	Next    uint64            `json:"next"`   // the token to be given next
	Voters  map[uint64]string `json:"voters"` // who a voter's number belongs to; each disk has a number of its own
	Duties  map[string]*Duty  `json:"duties"`
	History []Event           `json:"history"`
	Index   uint64            `json:"index"` // of the latest command
}

const (
	historyMost = 1000
	dutiesMost  = 200
	dataMost    = 16 << 10 // all of it goes over in one snapshot
	votersMost  = 1000
)

// NewState knows no duty.
func NewState() *State {
	return &State{Next: 1, Voters: map[uint64]string{}, Duties: map[string]*Duty{}}
}

// Kind is what a command does.
type Kind string

const (
	Grant    Kind = "grant"    // To becomes the owner of a duty that is nobody's
	Expire   Kind = "expire"   // the lease of Token has run out
	Release  Kind = "release"  // the owner lets go
	Progress Kind = "progress" // the owner got on: Data
	Move     Kind = "move"     // To is to be the next owner; nobody: whoever asks
	Force    Kind = "force"    // an operator takes it from its owner at once
	Define   Kind = "define"   // a duty is known
	Spare    Kind = "spare"    // To, whose lease of Token ran out, is there again: it was not its duty's death
	Seat     Kind = "seat"     // the number Token is the voter To's
)

// Command is what is agreed on, one after another.
type Command struct {
	Kind  Kind   `json:"kind"`
	Duty  string `json:"duty"`
	Token uint64 `json:"token,omitempty"` // that the giver of the command has seen
	To    string `json:"to,omitempty"`
	Data  []byte `json:"data,omitempty"`
	ID    string `json:"id,omitempty"`   // for whoever waits for the result
	Word  uint64 `json:"word,omitempty"` // of a progress: it rises under a token
}

// Result is what became of a command.
type Result struct {
	ID    string
	Index uint64
	OK    bool
	Why   string
	Duty  Duty
}

// Why a command is refused: of an old owner, or held up until a later word of the same one was there.
const (
	Stale = "the token is not the latest"
	Older = "a later word of the owner's is there"
)

// Encode writes a command for the log.
func (c Command) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and bytes alone
	}
	return b
}

// Apply changes the state by one command of the log. An empty one, as elections leave behind, changes nothing. What can't be
// read is refused by all alike.
func (s *State) Apply(index uint64, text []byte) Result {
	s.Index = index
	if len(text) == 0 {
		return Result{Index: index, OK: true}
	}
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return Result{Index: index, Why: "no command"}
	}
	r := Result{ID: c.ID, Index: index}
	if c.Kind == Seat {
		if r.OK = c.To != "" && len(c.To) <= 256 && c.Token > 0 && len(s.Voters) < votersMost; r.OK {
			s.Voters[c.Token] = c.To
		}
		return r
	}
	if len(c.Duty) == 0 || len(c.Duty) > 128 || len(c.To) > 256 || len(c.Data) > dataMost {
		r.Why = "a name or data too long"
		return r
	}
	d := s.Duties[c.Duty]
	if d == nil {
		if c.Kind != Define && c.Kind != Grant || len(s.Duties) >= dutiesMost {
			r.Why = "no such duty"
			return r
		}
		d = &Duty{Name: c.Duty}
		s.Duties[c.Duty] = d
	}
	r.OK = true
	refuse := func(why string) {
		r.OK, r.Why = false, why
	}
	note := func(what, who string) {
		s.History = append(s.History, Event{index, d.Name, what, who, d.Token})
		if len(s.History) > historyMost {
			s.History = append(s.History[:0], s.History[len(s.History)-historyMost:]...)
		}
	}
	switch c.Kind {
	case Define:
	case Grant:
		switch {
		case d.Owner != "":
			refuse("it has an owner")
		case c.To == "":
			refuse("nobody is named")
		case c.Token != d.Token:
			refuse(Stale) // it was granted and lost since this command was given
		case d.Next != "" && d.Next != c.To:
			refuse("it is kept for " + d.Next)
		default:
			d.Owner, d.Next, d.Forced = c.To, "", false
			if !plantReuse {
				d.Token = s.Next
				s.Next++
			}
			note("granted", c.To)
		}
	case Expire, Release, Force:
		if c.Token != d.Token || d.Owner == "" {
			refuse(Stale)
			break
		}
		who := d.Owner
		d.Owner = ""
		switch c.Kind {
		case Expire:
			d.Deaths++
			note("expired", who)
		case Release:
			note("released", who)
		case Force:
			d.Forced, d.Next = true, c.To
			note("forced", who)
		}
	case Progress:
		if c.Token != d.Token && !plantOldProgress || d.Owner == "" && !plantOldProgress {
			refuse(Stale)
			break
		}
		if c.Token == d.Written && c.Word < d.Word && !plantOldWord {
			refuse(Older)
			break
		}
		d.Data, d.Written, d.Changed, d.Word, d.Deaths = c.Data, c.Token, index, c.Word, 0
	case Spare:
		if c.Token != d.Token || d.Owner != "" || d.Deaths == 0 {
			refuse(Stale) // the next one has it already, and what it may have died of is the next one's affair
			break
		}
		d.Deaths--
		note("spared", c.To)
	case Move:
		if c.Token != d.Token {
			refuse(Stale) // two operators do not undo each other
			break
		}
		d.Next = c.To
		note("to move", c.To)
	default:
		refuse("no such command")
	}
	r.Duty = *d
	return r
}

// Snapshot writes the state; Restore reads it.
func (s *State) Snapshot() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return b
}

// Restore takes a snapshot's state in place of this one's.
func (s *State) Restore(b []byte) error {
	next := NewState()
	if err := json.Unmarshal(b, next); err != nil {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	*s = *next
	return nil
}

// Names gives the duties in order.
func (s *State) Names() []string {
	list := make([]string, 0, len(s.Duties))
	for n := range s.Duties {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

// Rules are times, in ms, and the drift that steady clocks may have against each other, as a share.
type Rules struct {
	Lease   float64
	Drift   float64
	HandOff float64 // how long an owner may take to let go after it was asked to
	Held    float64 // a duty that killed its owner is held back for so long, doubled for each
	HeldTop float64
}

// Usual are the rules where a file names none.
var Usual = Rules{Lease: 3000, Drift: 0.02, HandOff: 15000, Held: 2000, HeldTop: 300000}

// For gives the rules for a lease of an operator's choice.
func For(lease float64) Rules {
	r := Usual
	r.Lease, r.HandOff, r.Held = lease, 5*lease, lease
	return r
}

// Ask is how often an instance asks: so that some of its questions may be lost within a lease.
func (r Rules) Ask() float64 { return r.Lease / 6 }

// Patience is for how long it waits for an answer before it asks another voter, so that there is time left for that.
func (r Rules) Patience() float64 { return r.Lease / 4 }

// Say is for how long an owner waits for its word to be agreed on before it says it again.
func (r Rules) Say() float64 { return r.Lease / 2 }

// Tick is a beat of a voter's clock, 100 ms at most: with short leases elections have to be over well within a few of them.
func (r Rules) Tick() float64 { return min(100, r.Lease/15) }

// Grantor is the leading voter's view: whose leases run, who is there, what is held back. All of it is lost with leadership,
// and a new leader assumes the longest of everything.
type Grantor struct {
	rules   Rules
	state   *State
	since   float64 // when this voter began to lead
	leading bool
	leases  map[string]lease
	seen    map[string]float64 // by instance: when it last asked
	can     map[string][]string
	wrote   map[string]written // by duty: when its data was seen to change
	held    map[string]float64 // by duty: not before
	asked   map[string]string  // by duty: the command that is on its way, by kind and token
	askedAt map[string]float64
	moving  map[string]float64 // by duty: since when its owner is asked to let go
	ran     map[string]ranOut  // by duty: whose lease ran out last
}

type ranOut struct {
	who   string
	token uint64
	at    float64
}

type lease struct {
	token uint64
	until float64
}

// written is a duty's data as it was last seen to change.
type written struct {
	index uint64
	at    float64
}

// Age is for how long a duty's data has stood, in ms, as far as this leader can know: of what was there when it began to lead
// it knows no better than that it may have been written a lease before.
func (g *Grantor) Age(now float64, duty string) float64 {
	d := g.state.Duties[duty]
	if d == nil {
		return math.Inf(1)
	}
	w, known := g.wrote[duty]
	switch {
	case !known:
		w = written{d.Changed, g.since - g.rules.Lease}
	case w.index != d.Changed:
		w = written{d.Changed, now}
	}
	g.wrote[duty] = w
	return now - w.at
}

// NewGrantor watches a state.
func NewGrantor(rules Rules, state *State) *Grantor { return &Grantor{rules: rules, state: state} }

// Lead begins, at a time, with nothing known of leases: each may have been renewed just now.
func (g *Grantor) Lead(now float64) {
	*g = Grantor{rules: g.rules, state: g.state, since: now, leading: true, leases: map[string]lease{}, seen: map[string]float64{},
		can: map[string][]string{}, wrote: map[string]written{},
		held: map[string]float64{}, asked: map[string]string{}, askedAt: map[string]float64{}, moving: map[string]float64{}, ran: map[string]ranOut{}}
	for _, name := range g.state.Names() {
		d := g.state.Duties[name]
		if d.Owner != "" {
			wait := g.rules.Lease * (1 + g.rules.Drift)
			if plantNoWait {
				wait = 0
			}
			g.leases[name] = lease{d.Token, now + wait}
		} else if d.Deaths > 0 {
			g.held[name] = now + g.back(d.Deaths)
		}
	}
}

// Follow ends it: nothing is granted or renewed by this voter.
func (g *Grantor) Follow() { g.leading = false }

// Leading tells whether this voter leads.
func (g *Grantor) Leading() bool { return g.leading }

func (g *Grantor) back(deaths int) float64 {
	wait := g.rules.Held
	for n := 1; n < deaths && wait < g.rules.HeldTop; n++ {
		wait *= 2
	}
	return min(wait, g.rules.HeldTop)
}

// Asked: an instance's life asks for duties, or says that it is still there. Only a leader whose lead a quorum has confirmed
// since the question came may pass it on here. can: the duties that it can do; nil: all.
func (g *Grantor) Asked(now float64, instance string, can []string) {
	if g.leading {
		g.seen[instance] = now
		g.can[instance] = can
		if len(g.seen) > 10000 {
			for who, at := range g.seen {
				if now-at > 2*g.rules.Lease {
					delete(g.seen, who)
					delete(g.can, who)
				}
			}
		}
	}
}

// Renew extends a lease, confirmed like Asked. letGo: the owner is to end and release. Only the latest token's is extended,
// and not without end once it is to move.
func (g *Grantor) Renew(now float64, duty string, token uint64, instance string) (ok, letGo bool) {
	d := g.state.Duties[duty]
	if !g.leading || d == nil || d.Owner != instance || d.Token != token {
		return false, false
	}
	if l, known := g.leases[duty]; known && l.token == token && now >= l.until && !plantRevive {
		return false, false // its end may be on its way through the log already
	}
	if d.Next != "" && d.Next != instance {
		since, asked := g.moving[duty]
		if !asked {
			g.moving[duty], since = now, now
		}
		if letGo = true; now-since > g.rules.HandOff {
			return false, true // asked for long enough: its lease runs out
		}
	} else {
		delete(g.moving, duty)
	}
	g.leases[duty] = lease{token, now + g.rules.Lease*(1+g.rules.Drift)}
	return true, letGo
}

// due keeps one command of a kind on its way for each duty and token, and gives it again where it was lost. Of a kind: a grant
// that waited for the expiry before it to be old made each take-over longer by a lease.
func (g *Grantor) due(now float64, kind Kind, duty string, token uint64) bool {
	what := fmt.Sprint(kind, token)
	if g.asked[duty] == what && now-g.askedAt[duty] < g.rules.Lease {
		return false
	}
	g.asked[duty], g.askedAt[duty] = what, now
	return true
}

// Turn gives the commands that are due: leases that have run out, and duties that are nobody's to who is there. Duties are
// spread by rendezvous hashing, so that few move when instances come and go; what is owned stays where it is.
func (g *Grantor) Turn(now float64) (list []Command) {
	if !g.leading {
		return nil
	}
	alive := make([]string, 0, len(g.seen))
	for who, at := range g.seen {
		if now-at <= g.rules.Lease {
			alive = append(alive, who)
		}
	}
	sort.Strings(alive)
	for _, name := range g.state.Names() {
		d := g.state.Duties[name]
		if d.Owner != "" {
			l, known := g.leases[name]
			if !known || l.token != d.Token {
				l = lease{d.Token, now + g.rules.Lease*(1+g.rules.Drift)} // just granted
				g.leases[name] = l
			}
			if now >= l.until && g.due(now, Expire, name, d.Token) {
				list = append(list, Command{Kind: Expire, Duty: name, Token: d.Token})
				g.held[name] = now + g.back(d.Deaths+1)
				if g.ran[name].token != d.Token {
					g.ran[name] = ranOut{d.Owner, d.Token, now}
				}
			}
			continue
		}
		delete(g.leases, name)
		delete(g.moving, name)
		// Who asks again under the same life, within the time for which its duty is held back, was not killed by it: only the way
		// to the voters was bad, or this machine was slow. One that comes back later may have hung in its work.
		if r := g.ran[name]; r.token == d.Token && d.Deaths > 0 && now < g.held[name] && g.seen[r.who] > r.at && g.due(now, Spare, name, d.Token) {
			list = append(list, Command{Kind: Spare, Duty: name, Token: d.Token, To: r.who})
			if g.held[name] = 0; d.Deaths > 1 {
				g.held[name] = r.at + g.back(d.Deaths-1)
			}
		}
		if now < g.held[name] && d.Deaths > 0 && !d.Forced || len(alive) == 0 {
			continue
		}
		to := d.Next
		if to != "" {
			at, seen := g.seen[to]
			if !seen || now-at > g.rules.Lease {
				// Who it is kept for is not there: after a while it is anybody's.
				if now-g.since > g.rules.HandOff && (!seen || now-at > g.rules.HandOff) && g.due(now, Move, name, d.Token) {
					list = append(list, Command{Kind: Move, Duty: name, Token: d.Token})
				}
				continue
			}
		} else {
			able := alive[:0:0]
			for _, who := range alive {
				if can := g.can[who]; can == nil || slices.Contains(can, name) {
					able = append(able, who)
				}
			}
			if to = Place(name, able); to == "" {
				continue
			}
		}
		if g.due(now, Grant, name, d.Token) {
			list = append(list, Command{Kind: Grant, Duty: name, Token: d.Token, To: to})
		}
	}
	return list
}

// Place gives the instance that a duty falls to among some.
func Place(duty string, among []string) (best string) {
	top := uint64(0)
	for _, who := range among {
		if h := xxhash.Sum64String(duty + "\x00" + who); best == "" || h > top || h == top && who < best {
			best, top = who, h
		}
	}
	return best
}

// Seen tells how long ago each instance last asked, in ms.
func (g *Grantor) Seen(now float64) map[string]float64 {
	list := map[string]float64{}
	for who, at := range g.seen {
		list[who] = now - at
	}
	return list
}

// Leases tells until when the leader lets each lease run, for operators.
func (g *Grantor) Leases() map[string]float64 {
	list := map[string]float64{}
	for n, l := range g.leases {
		list[n] = l.until
	}
	return list
}
