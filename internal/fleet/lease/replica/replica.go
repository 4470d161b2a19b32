// Package replica is a voter as the others see it: agreement, grants and who asks for them, in one reducer. Shells and the virtual
// fleet drive the same.
package replica

import (
	"fmt"
	"sort"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
)

// Question is an instance's: it is there, and holds these duties under these tokens.
type Question struct {
	Instance string            `json:"instance"` // one life of it: a restart under the same name is another
	At       float64           `json:"at"`       // on its own steady clock; comes back with the answer
	Holds    map[string]uint64 `json:"holds,omitempty"`
	Can      []string          `json:"can,omitempty"`   // duties that it can do; nil: all
	Reads    []string          `json:"reads,omitempty"` // duties of which it wants to know how far they have come
}

// Granted is one duty in an answer.
type Granted struct {
	Duty  string `json:"duty"`
	Token uint64 `json:"token"`
	LetGo bool   `json:"let_go,omitempty"`
	Data  []byte `json:"data,omitempty"`
}

// Said is how far a duty has come, by its owner's own word, and how old that is, in ms: it is no better than that.
type Said struct {
	Duty  string  `json:"duty"`
	Token uint64  `json:"token"`
	Data  []byte  `json:"data,omitempty"`
	Age   float64 `json:"age"`
}

// Answer is what a voter says. Leader: who is to be asked instead, where it does not lead; 0: not known.
type Answer struct {
	OK     bool              `json:"ok"`
	At     float64           `json:"at"`
	Leader uint64            `json:"leader,omitempty"`
	Grants []Granted         `json:"grants,omitempty"`
	Lost   map[string]uint64 `json:"lost,omitempty"` // what it thought it held, with the latest token
	Said   []Said            `json:"said,omitempty"`
}

// Voter is one of those who agree.
type Voter struct {
	*consensus.Node
	State      *lease.State
	Grantor    *lease.Grantor
	now        float64
	waiting    map[string]func(lease.Result)
	since      map[string]float64
	serial     int
	asking     bool // whether it leads is being confirmed, before it acts as a leader
	rules      lease.Rules
	led        int             // which of its elections the grantor's knowledge is from
	asked      []func(ok bool) // questions that wait for the next confirmation
	confirming bool
}

// machine lets the log change the state.
type machine struct{ v *Voter }

func (m machine) Apply(index uint64, command []byte) {
	r := m.v.State.Apply(index, command)
	if then := m.v.waiting[r.ID]; then != nil && r.ID != "" {
		delete(m.v.waiting, r.ID)
		delete(m.v.since, r.ID)
		then(r)
	}
}
func (m machine) Snapshot() []byte       { return m.v.State.Snapshot() }
func (m machine) Restore(b []byte) error { return m.v.State.Restore(b) }

// New starts a voter from its disk.
func New(d consensus.Disk, rules lease.Rules, times consensus.Rules, seed uint64) (*Voter, error) {
	v := &Voter{State: lease.NewState(), rules: rules, waiting: map[string]func(lease.Result){}, since: map[string]float64{}}
	v.Grantor = lease.NewGrantor(rules, v.State)
	var err error
	v.Node, err = consensus.New(d, times, machine{v}, seed)
	return v, err
}

const waitMost = 10000 // ms that a command may take before its giver is told that nobody knows

// Beat is one tick of the voter's clock, at a time of it: what is due is proposed.
func (v *Voter) Beat(now float64) {
	v.now = now
	v.Node.Tick()
	if v.Leading() && !v.Grantor.Leading() && !v.asking {
		v.asking = true
		lead := func(ok bool) {
			v.asking = false
			if ok {
				v.led = v.Elected
				v.Grantor.Lead(v.now) // all that was agreed before is applied by now
			}
		}
		v.Confirm(lead)
	}
	if v.Grantor.Leading() && (!v.Leading() || v.Elected != v.led) {
		v.Grantor.Follow() // also where it was elected anew between two beats: what it knew of leases is from before
	}
	for _, c := range v.Grantor.Turn(now) {
		v.Propose(c.Encode())
	}
	ids := make([]string, 0, len(v.since))
	for id, at := range v.since {
		if now-at > waitMost {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		v.giveUp(id, "no answer from a quorum: it may or may not have been agreed on")
	}
}

func (v *Voter) giveUp(id, why string) {
	then := v.waiting[id]
	delete(v.waiting, id)
	delete(v.since, id)
	if then != nil {
		then(lease.Result{ID: id, Why: why})
	}
}

// Ask answers an instance, once a quorum has confirmed that this voter leads.
func (v *Voter) Ask(now float64, q Question, reply func(Answer)) {
	v.now = now
	if !v.Leading() || !v.Grantor.Leading() || v.Elected != v.led || q.Instance == "" || len(q.Instance) > 256 || len(q.Holds) > 1000 || len(q.Can) > 1000 || len(q.Reads) > 1000 {
		reply(Answer{At: q.At, Leader: v.other()})
		return
	}
	v.confirm(func(ok bool) {
		if !ok || !v.Grantor.Leading() {
			reply(Answer{At: q.At, Leader: v.other()})
			return
		}
		// Leases run from when the question came, not from now: a quorum has confirmed the lead since then.
		v.Grantor.Asked(now, q.Instance, q.Can)
		a := Answer{OK: true, At: q.At}
		for _, name := range v.State.Names() {
			d := v.State.Duties[name]
			token, holds := q.Holds[name]
			if d.Owner == q.Instance {
				if ok, letGo := v.Grantor.Renew(v.now, name, d.Token, q.Instance); ok {
					a.Grants = append(a.Grants, Granted{name, d.Token, letGo, d.Data})
				}
			} else if holds && token <= d.Token {
				if a.Lost == nil {
					a.Lost = map[string]uint64{}
				}
				a.Lost[name] = d.Token
			}
		}
		for _, name := range q.Reads {
			if d := v.State.Duties[name]; d != nil && d.Data != nil {
				a.Said = append(a.Said, Said{name, d.Written, d.Data, v.Grantor.Age(v.now, name)})
			}
		}
		reply(a)
	})
}

// confirm asks a quorum before anything is said in its name: whoever led and was cut off does not know that another leads.
func (v *Voter) confirm(then func(ok bool)) {
	if plantUnconfirmed {
		then(true)
		return
	}
	if v.asked = append(v.asked, then); !v.confirming {
		v.round()
	}
}

// round confirms for all who wait: however many ask, a quorum is asked once at a time. Who comes while it is being asked waits
// for the next, as an answer proves nothing of a question that came after it was asked for.
func (v *Voter) round() {
	list := v.asked
	v.asked, v.confirming = nil, true
	v.Confirm(func(ok bool) {
		v.confirming = false
		for _, then := range list {
			then(ok)
		}
		if len(v.asked) > 0 && !v.confirming {
			v.round()
		}
	})
}

func (v *Voter) other() uint64 {
	if l := v.Leader(); l != v.ID {
		return l
	}
	return 0
}

// Do gives a command, and tells what became of it.
func (v *Voter) Do(now float64, c lease.Command, reply func(lease.Result)) {
	v.now = now
	v.serial++
	c.ID = fmt.Sprintf("%x-%d-%d", v.ID, v.Term(), v.serial)
	v.waiting[c.ID], v.since[c.ID] = reply, now
	if err := v.Propose(c.Encode()); err != nil {
		v.giveUp(c.ID, err.Error())
	}
}

// Hear takes a message of another voter.
func (v *Voter) Hear(now float64, m raftpb.Message) {
	v.now = now
	v.Step(m)
}
