// Package membership is who votes: how a group is founded, how a voter whose disk is gone comes back, how one is added. It is a
// reducer: what voters say of themselves and what is agreed go in, steps come out.
//
// A number belongs to a disk, drawn when the disk is made and never given out again. So whoever has lost its disk has another
// number, knows nothing, and learns before it votes: it can't vote twice in a term. A group is founded once, by the voter that
// is named first, when all that are named have said that theirs are new; the others take the founding up only if it names the
// numbers of their own disks.
package membership

import "slices"

// Hello is what a voter says of itself. Group 0: its disk belongs to none yet. Voters: those of the founding, if it knows them.
type Hello struct {
	Name   string            `json:"name"`
	ID     uint64            `json:"id"`
	Group  uint64            `json:"group,omitempty"`
	Voters map[uint64]string `json:"voters,omitempty"`
}

// Rules are times in ms.
type Rules struct {
	Fresh float64 // what was said so long ago is no news
	Gone  float64 // a number not heard of for so long may be replaced by another of its name
	Again float64 // before a step that has led to nothing is taken again
}

// Usual are the rules that voters go by.
var Usual = Rules{Fresh: 4000, Gone: 10000, Again: 2000}

// Kind of a step.
type Kind uint8

const (
	Found   Kind = iota + 1 // write the founding to the own disk, in a group to be drawn
	Adopt                   // write another's founding to the own disk; without Voters: learn from it
	Name                    // agree that ID is Who's
	Learn                   // ID is to learn
	Promote                 // ID, which has learnt, is to vote; in Gone's place if that is not 0
)

// Step is what is to be done.
type Step struct {
	Kind     Kind
	ID, Gone uint64
	Who      string
	Group    uint64
	Voters   map[uint64]string
}

// View is what is agreed, as a leader knows it.
type View struct {
	Leading          bool
	Voters, Learners []uint64
	Names            map[uint64]string
	Caught           func(id uint64) bool
}

type heard struct {
	hello Hello
	at    float64
}

// Roster is one voter's view of the others.
type Roster struct {
	rules Rules
	own   Hello
	names []string
	heard map[string]heard
	last  map[uint64]float64 // by number: when it was last heard of; those of the names' latest few disks
	begun float64            // when this view began
	step  Step
	at    float64 // of the latest step
}

const numbersMost = 1000

// New is the view of a voter, which is among the names, at a time. Names are in the order of the operator's file.
func New(rules Rules, own Hello, names []string, now float64) *Roster {
	return &Roster{rules: rules, own: own, names: names, heard: map[string]heard{}, last: map[uint64]float64{}, begun: now,
		at: now - rules.Again}
}

// Own is what this voter says.
func (r *Roster) Own() Hello { return r.own }

// Joined: the own disk belongs to a group now.
func (r *Roster) Joined(group uint64, voters map[uint64]string) {
	r.own.Group, r.own.Voters = group, voters
}

// Heard takes what another voter says. Who is not named, or speaks in this one's name, is not listened to.
func (r *Roster) Heard(now float64, h Hello) {
	if h.ID == 0 || h.Name == r.own.Name || !slices.Contains(r.names, h.Name) {
		return
	}
	r.heard[h.Name] = heard{h, now}
	if len(r.last) >= numbersMost {
		clear(r.last)
		r.begun = now
	}
	r.last[h.ID] = now
}

// Of gives the number under which a voter was last heard of; 0: never.
func (r *Roster) Of(name string) uint64 { return r.heard[name].hello.ID }

// Who gives the name that a number was heard under.
func (r *Roster) Who(id uint64) string {
	for _, n := range r.names {
		if r.heard[n].hello.ID == id {
			return n
		}
	}
	return ""
}

// Silence is since when a number was last heard of, in ms; below 0: never, or the own.
func (r *Roster) Silence(now float64, id uint64) float64 {
	if at, known := r.last[id]; known {
		return now - at
	}
	return -1
}

// quiet: nothing was heard of a number for so long that its disk may be taken to be gone.
func (r *Roster) quiet(now float64, id uint64) bool {
	at, known := r.last[id]
	if !known {
		at = r.begun
	}
	return now-at > r.rules.Gone
}

// Turn gives the one step that is due, if one is.
func (r *Roster) Turn(now float64, v View) (Step, bool) {
	if now < r.at+r.rules.Again {
		return Step{}, false
	}
	s, due := r.next(now, v)
	if due {
		r.step, r.at = s, now
	}
	return s, due
}

func (r *Roster) next(now float64, v View) (Step, bool) {
	if r.own.Group == 0 {
		return r.join(now)
	}
	if !v.Leading {
		return Step{}, false
	}
	for _, name := range r.names {
		h := r.heard[name]
		id := h.hello.ID
		if id == 0 || now-h.at > r.rules.Fresh || h.hello.Group != r.own.Group || slices.Contains(v.Voters, id) {
			continue
		}
		switch {
		case v.Names[id] != name:
			return Step{Kind: Name, ID: id, Who: name}, true
		case !slices.Contains(v.Learners, id):
			return Step{Kind: Learn, ID: id, Who: name}, true
		case !v.Caught(id):
			continue
		}
		gone, wait := uint64(0), false
		for _, old := range v.Voters {
			if v.Names[old] == name {
				// Two processes under one name, each with a disk of its own, must not push each other out in turn.
				if gone = old; !r.quiet(now, old) {
					wait = true
				}
			}
		}
		if !wait {
			return Step{Kind: Promote, ID: id, Gone: gone, Who: name}, true
		}
	}
	return Step{}, false
}

// join is for a disk that belongs to no group.
func (r *Roster) join(now float64) (Step, bool) {
	others, fresh := 0, 0
	for _, name := range r.names {
		if name == r.own.Name {
			continue
		}
		others++
		h := r.heard[name]
		if h.hello.ID == 0 || now-h.at > r.rules.Fresh {
			continue
		}
		if g := h.hello.Group; g != 0 {
			s := Step{Kind: Adopt, Group: g}
			if h.hello.Voters[r.own.ID] == r.own.Name {
				s.ID, s.Voters = r.own.ID, h.hello.Voters
			}
			if plantByName { // a defect to be found: whoever lost its disk takes up its old number, and may vote twice
				for id, who := range h.hello.Voters {
					if who == r.own.Name {
						s.ID, s.Voters = id, h.hello.Voters
					}
				}
			}
			return s, true
		}
		fresh++
	}
	if fresh < others || r.own.Name != r.names[0] {
		return Step{}, false
	}
	voters := map[uint64]string{r.own.ID: r.own.Name}
	for _, name := range r.names {
		if name != r.own.Name {
			voters[r.heard[name].hello.ID] = name
		}
	}
	if len(voters) != len(r.names) {
		return Step{}, false // two disks of one number: one is a copy of the other
	}
	return Step{Kind: Found, Voters: voters}, true
}
