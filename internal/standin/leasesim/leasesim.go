// Package leasesim is voters, instances and a receiver on a virtual clock, with faults from a seed: messages late, lost or cut one
// way, processes stopped between a check and its act, killed, their disks lost; clocks that drift. What must hold is checked
// after every step, from outside: at the receiver, and over all processes at once.
package leasesim

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
)

// Plan is a run. Times are ms.
type Plan struct {
	Seed      uint64
	Voters    int
	Instances int
	Duties    int
	Until     float64
	Quiet     float64 // no faults in the last part: then work must go on
	Faults    float64 // one in so many ms, on average; 0: none
	NoFence   bool
	Rules     lease.Config
	Drift     float64 // that clocks really have
	Work      float64 // between two effects of an owner
	Calm      bool    // no kills, pauses or lost disks: cuts and delays alone
}

// Result is what came of it.
type Result struct {
	Broken    []string
	Effects   int // that counted
	Old       int // refused as an old owner's
	Again     int // seen before
	Grants    int
	Takeovers []float64 // ms from an owner's end until the next one's first effect
	Elections int
	Messages  int
	Syncs     int
	Fooled    int // without a fence: effects of old owners that counted
	Late      int // effects sent after their sender's lease had run out: a pause lay between check and act
	Trace     uint64
	Commands  int
	Lost      int // disks
	Replaced  int // voters under new numbers
	Unknown   int // histories that could not be decided in time
}

type event struct {
	at  float64
	seq int
	do  func()
}
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type proc struct {
	rate    float64 // its clock against the true one
	offset  float64
	stopped float64 // until when it is stopped
	down    bool
	life    int
	held    []func() // what came while it was stopped
}

type voter struct {
	proc
	no   int
	disk consensus.DurableState
	v    *replica.Replica
	r    *membership.Reconciler
	own  membership.Hello
}

type instance struct {
	proc
	no     int
	name   string
	holder *lease.Holder
	asks   int // voter that is asked
	work   map[string]*job
}

// job is a duty's work: effects numbered from 1, one after another.
type job struct {
	hold *lease.Lease
	done int // the latest that is known to count
	word uint64
}

type world struct {
	Plan
	now      float64
	seq      int
	events   queue
	rng      *rand.Rand
	voters   []*voter
	inst     []*instance
	byID     map[uint64]*voter
	book     fence.State
	counted  map[string]int // by duty: the latest effect that counted
	res      *Result
	cut      map[[2]string]bool
	slow     float64
	tokens   map[uint64]string // who was granted what
	states   map[uint64]string // by index
	lastEnd  map[string]float64
	lastTok  map[string]uint64
	quiet    bool
	number   uint64 // of the next disk
	founding map[uint64]string
	data     map[string]int // by duty: how far it had come, and under which token, at the latest index seen
	written  map[string]uint64
	dataAt   uint64
	ops      []porcupine.Operation
	forced   map[string]float64 // by duty: when it was last taken from its owner by force
	noted    map[uint64]bool    // indices of the history that are among them
}

// Run plays a plan.
func Run(p Plan) *Result {
	w := &world{Plan: p, rng: rand.New(rand.NewPCG(p.Seed, 11)), res: &Result{}, byID: map[uint64]*voter{}, counted: map[string]int{},
		cut: map[[2]string]bool{}, slow: 1, tokens: map[uint64]string{}, states: map[uint64]string{}, lastEnd: map[string]float64{},
		lastTok: map[string]uint64{}, number: 100, founding: map[uint64]string{}, data: map[string]int{}, written: map[string]uint64{}, noted: map[uint64]bool{}, forced: map[string]float64{}}
	var ids []uint64
	for i := range p.Voters {
		ids = append(ids, uint64(i+1))
	}
	for i, id := range ids {
		w.founding[id] = fmt.Sprint("v", i)
	}
	for i, d := range w.found(ids) {
		v := &voter{proc: w.clock(), no: i, disk: d, own: membership.Hello{Name: w.founding[d.ID], VoterID: d.ID, GroupID: 1, Founders: w.founding}}
		w.voters = append(w.voters, v)
		w.byID[d.ID] = v
	}
	for _, v := range w.voters {
		w.startVoter(v)
	}
	for i := range p.Instances {
		n := &instance{proc: w.clock(), no: i}
		w.inst = append(w.inst, n)
		w.startInstance(n)
	}
	w.after(0, func() { w.define() })
	if p.Faults > 0 {
		w.fault()
	}
	for len(w.events) > 0 && len(w.res.Broken) < 10 {
		e := heap.Pop(&w.events).(event)
		if e.at > p.Until {
			break
		}
		w.now = e.at
		if !w.quiet && w.now > p.Until-p.Quiet {
			w.heal()
		}
		e.do()
		w.check()
	}
	w.end()
	return w.res
}

// found gives the disks of a new group, whose state knows whose numbers they are.
func (w *world) found(ids []uint64) []consensus.DurableState {
	st := lease.NewState()
	for id, name := range w.founding {
		st.VoterNames[id] = name
	}
	list := consensus.Bootstrap(ids...)
	for i := range list {
		list[i].Snapshot.Data = st.Snapshot()
	}
	return list
}

func (w *world) clock() proc {
	return proc{rate: 1 + w.Drift*(2*w.rng.Float64()-1), offset: 1e6 * w.rng.Float64()}
}

func (w *world) after(in float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + in, w.seq, do})
}

func (w *world) broken(form string, args ...any) {
	w.res.Broken = append(w.res.Broken, fmt.Sprintf("%.0f: ", w.now)+fmt.Sprintf(form, args...))
}

// at is a process's own steady clock.
func (p *proc) at(now float64) float64 { return p.offset + now*p.rate }

// run has a process do something: now, or when it moves again.
func (w *world) run(p *proc, do func()) {
	switch {
	case p.down:
	case p.stopped > w.now:
		p.held = append(p.held, do)
	default:
		do()
	}
}

func (w *world) stop(p *proc, span float64) {
	if p.down || p.stopped > w.now {
		return
	}
	p.stopped = w.now + span
	life := p.life
	w.after(span, func() {
		if p.life != life || p.down {
			return
		}
		p.stopped = 0
		held := p.held
		p.held = nil
		for _, do := range held {
			if p.down || p.life != life {
				return
			}
			do()
		}
	})
}

func (p *proc) kill() {
	p.down, p.held, p.stopped = true, nil, 0
	p.life++
}

// send brings something from one party to another, late, or not at all.
func (w *world) send(from, to string, do func()) { w.sendHeld(from, to, 200, do) }

// sendHeld holds one of so many for leases.
func (w *world) sendHeld(from, to string, odds int, do func()) {
	w.res.Messages++
	if w.cut[[2]string{from, to}] {
		return
	}
	delay := (0.5 + 3*w.rng.ExpFloat64()) * w.slow
	if !w.quiet && w.Faults > 0 && w.rng.IntN(odds) == 0 {
		delay += 3 * w.Rules.LeaseMs * w.rng.Float64() // held on the way, and delivered behind newer ones
	}
	w.after(delay, do)
}

func (v *voter) name() string     { return "v" + strconv.Itoa(v.no) }
func (n *instance) party() string { return "i" + strconv.Itoa(n.no) }

func (w *world) startVoter(v *voter) {
	v.down, v.held, v.stopped = false, nil, 0
	v.life++
	var err error
	v.v, err = replica.New(v.disk, w.Rules, consensus.DefaultConfig, w.Seed*100+uint64(v.no)+uint64(v.life)<<32)
	if err != nil {
		w.broken("%s does not start: %v", v.name(), err)
		v.down = true
		return
	}
	var names []string
	for i := range w.voters {
		names = append(names, fmt.Sprint("v", i))
	}
	v.r = membership.New(membership.DefaultConfig, v.own, names, v.at(w.now))
	life := v.life
	hellos := 0
	var beat func()
	beat = func() {
		if v.life != life {
			return
		}
		w.run(&v.proc, func() {
			v.v.Tick(v.at(w.now))
			w.roll(v)
			w.flush(v)
			if hellos++; hellos%10 == 1 {
				w.greet(v)
			}
		})
		w.after(100/v.rate, beat)
	}
	w.after(100*w.rng.Float64(), beat)
}

// greet tells all others who a voter is.
func (w *world) greet(v *voter) {
	h := v.r.Self()
	for _, o := range w.voters {
		if o != v {
			w.send(v.name(), o.name(), func() { w.run(&o.proc, func() { o.r.HandleHello(o.at(w.now), h) }) })
		}
	}
}

// roll takes the step of a voter's roster that is due.
func (w *world) roll(v *voter) {
	c := v.v.ConfState()
	step, due := v.r.NextStep(v.at(w.now), membership.View{IsLeader: v.v.IsLeader() && v.v.Lessor.IsLeader() && len(c.VotersOutgoing) == 0,
		Voters: c.Voters, Learners: c.Learners, VoterNames: v.v.State.VoterNames, CaughtUp: v.v.CaughtUp})
	if !due {
		return
	}
	switch step.Kind {
	case membership.StepJoin:
		v.own.GroupID, v.own.Founders = step.GroupID, step.Founders
		v.r.SetGroup(step.GroupID, step.Founders)
		if step.Founders != nil { // its disk was made before the founding: here only a defect brings that about
			ids := slices.Sorted(maps.Keys(step.Founders))
			v.disk = w.found(ids)[slices.Index(ids, step.VoterID)]
			delete(w.byID, v.own.VoterID)
			w.byID[step.VoterID], v.own.VoterID = v, step.VoterID
			w.startVoter(v)
		}
	case membership.StepNameVoter:
		v.v.Submit(v.at(w.now), lease.Command{Kind: lease.CommandNameVoter, Token: step.VoterID, Target: step.Name}, func(lease.Result) {})
	case membership.StepAddLearner:
		v.v.ProposeConfChange(raftpb.ConfChangeAddLearnerNode, step.VoterID)
	case membership.StepPromote:
		if w.res.Replaced++; step.ReplacedID != 0 {
			v.v.ProposeReplacement(step.VoterID, step.ReplacedID)
			return
		}
		v.v.ProposeConfChange(raftpb.ConfChangeAddNode, step.VoterID)
	}
}

// loseDisk takes a voter's disk away, unless another is still being replaced: a minority at a time.
func (w *world) loseDisk(v *voter, span float64) {
	for _, o := range w.voters {
		if o.down {
			return
		}
		for _, p := range w.voters {
			if !slices.Contains(o.v.ConfState().Voters, p.own.VoterID) || len(o.v.ConfState().Voters) != len(w.voters) || len(o.v.ConfState().VotersOutgoing) > 0 {
				return
			}
		}
	}
	w.res.Lost++
	v.kill()
	delete(w.byID, v.own.VoterID)
	w.number++
	v.disk = consensus.DurableState{ID: w.number}
	v.own = membership.Hello{Name: v.own.Name, VoterID: w.number}
	w.byID[w.number] = v
	w.after(span, func() { w.startVoter(v) })
}

// flush makes durable what a voter wants to be, sends what it says, and lets it go on.
func (w *world) flush(v *voter) {
	for range 100 {
		e := v.v.Ready()
		if !e.IsEmpty() {
			if e.Sync {
				w.res.Syncs++
			}
			if e.Snapshot != nil {
				v.disk.Snapshot, v.disk.Entries = *e.Snapshot, nil
			}
			v.disk.Entries = appendLog(v.disk.Entries, e.Entries)
			if e.HardState.Term > 0 || e.HardState.Commit > 0 {
				v.disk.HardState = e.HardState
			}
			for _, m := range e.Messages {
				to := w.byID[m.To]
				if to == nil {
					continue
				}
				w.send(v.name(), to.name(), func() {
					if to.disk.ID != m.To {
						return // another one by now
					}
					w.run(&to.proc, func() {
						to.v.HandleMessage(to.at(w.now), m)
						w.flush(to)
					})
				})
			}
		}
		led := v.v.ElectionsWon
		if err := v.v.Advance(); err != nil {
			w.broken("%s: %v", v.name(), err)
			return
		}
		w.res.Elections += v.v.ElectionsWon - led
		if snap, err := v.v.MaybeSnapshot(); err != nil {
			w.broken("%s: %v", v.name(), err)
		} else if snap != nil {
			v.disk.Snapshot = *snap
			kept := v.disk.Entries[:0:0]
			for _, en := range v.disk.Entries {
				if en.Index > snap.Metadata.Index {
					kept = append(kept, en)
				}
			}
			v.disk.Entries = kept
		}
		if e.IsEmpty() {
			break
		}
	}
	// What voters agree on is the same at the same index.
	s := v.v.State
	text := string(s.Snapshot())
	if was, known := w.states[s.AppliedIndex]; known && was != text && s.AppliedIndex > 0 { // whoever has learnt nothing yet is no other opinion
		w.broken("%s differs at %d: %s and %s", v.name(), s.AppliedIndex, was, text)
	}
	w.states[s.AppliedIndex] = text
	if s.AppliedIndex > w.dataAt { // how far the work has come never goes back, nor does the token under which that was said
		w.dataAt = s.AppliedIndex
		for name, d := range s.Roles {
			no, _ := strconv.Atoi(string(d.Progress))
			if no < w.data[name] || d.ProgressToken < w.written[name] {
				w.broken("%s: went back from %d under token %d to %d under %d", name, w.data[name], w.written[name], no, d.ProgressToken)
			}
			w.data[name], w.written[name] = no, d.ProgressToken
		}
	}
	for _, e := range s.History {
		if !w.noted[e.Index] {
			if w.noted[e.Index] = true; e.Kind == "forced" {
				w.forced[e.Role] = w.now
			}
			w.ops = append(w.ops, porcupine.Operation{Input: entry{e.Role, e.Kind, e.Token}, Output: true,
				Call: int64(1000 * max(w.now-eventsEarly, 0)), Return: int64(1000 * w.now)})
		}
	}
	for _, e := range s.History {
		if e.Kind != "granted" {
			continue
		}
		key := fmt.Sprint(e.Index, e.Role, e.Instance)
		if was, known := w.tokens[e.Token]; known && was != key {
			w.broken("token %d was given twice: %s and %s", e.Token, was, key)
		}
		if w.tokens[e.Token] == "" {
			w.res.Grants++
		}
		w.tokens[e.Token] = key
	}
}

func appendLog(log, more []raftpb.Entry) []raftpb.Entry {
	for _, e := range more {
		for len(log) > 0 && log[len(log)-1].Index >= e.Index {
			log = log[:len(log)-1]
		}
		log = append(log, e)
	}
	return log
}

// define has the duties known, by whoever leads.
func (w *world) define() {
	w.after(200, func() {
		for _, v := range w.voters {
			if v.down || v.stopped > w.now || !v.v.IsLeader() || !v.v.Lessor.IsLeader() {
				continue
			}
			missing := 0
			for d := range w.Duties {
				name := fmt.Sprint("d", d)
				if v.v.State.Roles[name] == nil {
					missing++
					v.v.Submit(v.at(w.now), lease.Command{Kind: lease.CommandDefine, Role: name}, func(lease.Result) {})
				}
			}
			w.flush(v)
			if missing == 0 {
				return
			}
			break
		}
		w.define()
	})
}

func (w *world) startInstance(n *instance) {
	n.down, n.held, n.stopped = false, nil, 0
	n.life++
	n.name = fmt.Sprintf("i%d.%d", n.no, n.life)
	n.holder, n.work, n.asks = lease.NewHolder(w.Rules), map[string]*job{}, w.rng.IntN(len(w.voters))
	life := n.life
	var beat func()
	beat = func() {
		if n.life != life {
			return
		}
		w.run(&n.proc, func() { w.ask(n) })
		w.after(w.Rules.LeaseMs/6*(0.8+0.4*w.rng.Float64()), beat)
	}
	w.after(300*w.rng.Float64(), beat)
}

func (w *world) ask(n *instance) {
	w.acts(n, n.holder.ExpireLeases(n.at(w.now)))
	q := replica.Request{Instance: n.name, SentAt: n.at(w.now), HeldTokens: map[string]uint64{}}
	for _, h := range n.holder.Leases() {
		q.HeldTokens[h.Role] = h.Token
	}
	v, life := w.voters[n.asks%len(w.voters)], n.life
	heard := false
	w.after(400, func() { // no answer: another one
		if !heard && n.life == life {
			n.asks = w.rng.IntN(len(w.voters))
		}
	})
	w.send(n.party(), v.name(), func() {
		vlife := v.life
		w.run(&v.proc, func() {
			v.v.HandleRequest(v.at(w.now), q, func(a replica.Response) {
				if v.life != vlife {
					return
				}
				w.sendHeld(v.name(), n.party(), 60, func() {
					if n.life != life {
						return
					}
					w.run(&n.proc, func() {
						heard = true
						w.told(n, a)
					})
				})
			})
			w.flush(v)
		})
	})
}

func (w *world) told(n *instance, a replica.Response) {
	if !a.OK {
		if to := w.byID[a.LeaderID]; to != nil {
			n.asks = to.no
		} else {
			n.asks = w.rng.IntN(len(w.voters))
		}
		return
	}
	for _, g := range a.Grants {
		w.acts(n, n.holder.HandleGrant(n.at(w.now), a.SentAt, g.Role, g.Token, g.Progress, g.ReleaseRequested))
	}
	for d := range w.Duties {
		name := fmt.Sprint("d", d)
		if token, lost := a.LostRoles[name]; lost {
			w.acts(n, n.holder.HandleLost(name, token))
		}
	}
}

func (w *world) acts(n *instance, list []lease.Action) {
	for _, a := range list {
		switch {
		case a.Start != nil:
			done, _ := strconv.Atoi(string(a.Start.Progress))
			j := &job{hold: a.Start, done: done}
			n.work[a.Start.Role] = j
			w.next(n, j)
		case a.Stop != nil:
			if j := n.work[a.Stop.Role]; j != nil && j.hold.Token == a.Stop.Token {
				delete(n.work, a.Stop.Role)
			}
		case a.ReportReleased != nil:
			w.command(n, lease.Command{Kind: lease.CommandRelease, Role: a.ReportReleased.Role, Token: a.ReportReleased.Token}, func(lease.Result) {})
		case a.Finish != nil:
			w.release(n, a.Finish.Role, a.Finish.Token)
		}
	}
}

func (w *world) release(n *instance, duty string, token uint64) {
	delete(n.work, duty)
	n.holder.MarkReleased(duty)
	w.command(n, lease.Command{Kind: lease.CommandRelease, Role: duty, Token: token}, func(lease.Result) {})
}

// command brings a command to whoever is asked.
func (w *world) command(n *instance, c lease.Command, then func(lease.Result)) {
	w.res.Commands++
	call := w.now
	v, life := w.voters[n.asks%len(w.voters)], n.life
	w.sendHeld(n.party(), v.name(), 25, func() {
		vlife := v.life
		w.run(&v.proc, func() {
			v.v.Submit(v.at(w.now), c, func(r lease.Result) {
				if v.life != vlife {
					return
				}
				w.send(v.name(), n.party(), func() {
					if c.Kind == lease.CommandProgress && r.Index > 0 && r.Reason != lease.ReasonStaleProgress {
						w.ops = append(w.ops, porcupine.Operation{ClientId: n.no, Input: entry{c.Role, "progress", c.Token}, Output: r.OK,
							Call: int64(1000 * call), Return: int64(1000 * w.now)})
					}
					if n.life == life {
						w.run(&n.proc, func() { then(r) })
					}
				})
			})
			w.flush(v)
		})
	})
}

// next does the following effect of a duty's work: check, then act, with whatever comes between.
func (w *world) next(n *instance, j *job) {
	life := n.life
	w.after(w.Work*(0.5+w.rng.Float64()), func() {
		if n.life != life || n.work[j.hold.Role] != j {
			return
		}
		w.run(&n.proc, func() {
			if n.work[j.hold.Role] != j {
				return
			}
			token, may := n.holder.MayAct(n.at(w.now), j.hold.Role)
			if !may || token != j.hold.Token {
				w.next(n, j) // its lease may yet be renewed
				return
			}
			e := fence.Effect{Role: j.hold.Role, Token: token, Key: strconv.Itoa(j.done + 1)}
			act := func() {
				if _, still := n.holder.MayAct(n.at(w.now), e.Role); !still {
					w.res.Late++
				}
				w.send(n.party(), "r", func() { w.receive(n, life, j, e) })
			}
			// The process may be stopped just here, for ten leases.
			if !w.quiet && w.Faults > 0 && !w.Calm && w.rng.IntN(60) == 0 {
				w.stop(&n.proc, 10*w.Rules.LeaseMs*w.rng.Float64())
			}
			w.run(&n.proc, act)
		})
	})
}

// receive is the receiver: it judges and does an effect in one step, and keeps the audit.
func (w *world) receive(n *instance, life int, j *job, e fence.Effect) {
	fresh, err := w.book.Admit(e)
	if err == fence.ErrStaleToken {
		w.res.Old++
		if w.NoFence {
			w.res.Fooled++
		}
	}
	no, _ := strconv.Atoi(e.Key)
	if err == nil && e.Token < w.lastTok[e.Role] { // also where its key made it harmless: another time it would not
		w.broken("%s: token %d was admitted after %d", e.Role, e.Token, w.lastTok[e.Role])
	}
	if err == nil && fresh {
		w.res.Effects++
		if no != w.counted[e.Role]+1 {
			w.broken("%s: effect %d came after %d", e.Role, no, w.counted[e.Role])
		}
		if e.Token < w.lastTok[e.Role] {
			w.broken("%s: an effect of token %d counted after %d", e.Role, e.Token, w.lastTok[e.Role])
		}
		if e.Token > w.lastTok[e.Role] {
			if at, ended := w.lastEnd[e.Role]; ended {
				w.res.Takeovers = append(w.res.Takeovers, w.now-at)
			}
		}
		w.counted[e.Role], w.lastTok[e.Role], w.lastEnd[e.Role] = no, e.Token, w.now
	} else if err == nil {
		w.res.Again++
	}
	w.send("r", n.party(), func() {
		if n.life != life || n.work[j.hold.Role] != j {
			return
		}
		w.run(&n.proc, func() {
			if n.work[j.hold.Role] != j {
				return
			}
			if err != nil {
				delete(n.work, j.hold.Role)
				n.holder.MarkReleased(j.hold.Role)
				return
			}
			if no <= j.done {
				return // a reply that was held up, of what was done and answered since
			}
			j.done = no
			j.word++
			w.command(n, lease.Command{Kind: lease.CommandProgress, Role: e.Role, Token: e.Token, ProgressSeq: j.word, Progress: []byte(e.Key)}, func(lease.Result) {})
			w.next(n, j)
		})
	})
	// Without an answer it is tried again: the key makes that harmless.
	w.after(600, func() {
		if n.life == life && n.work[j.hold.Role] == j && j.done == no-1 {
			w.next(n, j)
		}
	})
}

// check is what must hold after every step, over all processes at once.
func (w *world) check() {
	for d := range w.Duties {
		name := fmt.Sprint("d", d)
		who := ""
		for _, n := range w.inst {
			if n.down {
				continue
			}
			if _, may := n.holder.MayAct(n.at(w.now), name); may {
				// Whoever was owner when it was taken by force goes on until its lease ends: the fence is what counts then.
				at, forced := w.forced[name]
				if who != "" && !(forced && w.now < at+w.Rules.LeaseMs*(1+w.Rules.MaxDrift)) {
					w.broken("%s: %s and %s both may act", name, who, n.name)
				}
				who = n.name
			}
		}
	}
}

// fault draws troubles, one after another.
func (w *world) fault() {
	w.after(w.Faults*w.rng.ExpFloat64(), func() {
		if w.quiet {
			return
		}
		span := w.Rules.LeaseMs * 4 * w.rng.Float64()
		kind := w.rng.IntN(13)
		if w.Calm {
			kind = 6 + kind%4
		}
		switch kind {
		case 0, 1: // an instance is stopped
			w.stop(&w.inst[w.rng.IntN(len(w.inst))].proc, 10*w.Rules.LeaseMs*w.rng.Float64())
		case 2: // or killed, and starts again under the same name
			n := w.inst[w.rng.IntN(len(w.inst))]
			if !n.down {
				n.kill()
				w.after(span, func() { w.startInstance(n) })
			}
		case 3: // a voter is stopped
			w.stop(&w.voters[w.rng.IntN(len(w.voters))].proc, span)
		case 4: // or killed
			v := w.voters[w.rng.IntN(len(w.voters))]
			if !v.down {
				v.kill()
				w.after(span, func() { w.startVoter(v) })
			}
		case 5: // all voters at once, started one by one, with clocks apart
			if w.rng.IntN(4) > 0 {
				break
			}
			for i, v := range w.voters {
				if !v.down {
					v.kill()
					w.after(span+float64(i)*200*w.rng.Float64(), func() {
						v.offset += 3600e3 * w.rng.Float64()
						w.startVoter(v)
					})
				}
			}
		case 6: // one way between two parties
			a, b := w.party(), w.party()
			w.cutFor([2]string{a, b}, span)
		case 7: // one voter from the others, both ways
			v := w.voters[w.rng.IntN(len(w.voters))]
			for _, o := range w.voters {
				if o != v {
					w.cutFor([2]string{v.name(), o.name()}, span)
					w.cutFor([2]string{o.name(), v.name()}, span)
				}
			}
		case 8: // an instance from all voters, not from the receiver
			n := w.inst[w.rng.IntN(len(w.inst))]
			for _, o := range w.voters {
				w.cutFor([2]string{n.party(), o.name()}, span)
				w.cutFor([2]string{o.name(), n.party()}, span)
			}
		case 9: // everything is slow
			w.slow = 1 + 100*w.rng.Float64()
			w.after(span/2, func() { w.slow = 1 })
		case 10: // an operator moves a duty, or takes it from its owner; now and then by an old token
			n := w.inst[w.rng.IntN(len(w.inst))]
			v := w.voters[w.rng.IntN(len(w.voters))]
			d := v.v.State.Roles[fmt.Sprint("d", w.rng.IntN(w.Duties))]
			if d == nil || v.down {
				break
			}
			c := lease.Command{Kind: lease.CommandTransfer, Role: d.Name, Token: d.Token, Target: n.name}
			if w.rng.IntN(3) == 0 {
				c.Kind = lease.CommandRevoke
			}
			w.command(n, c, func(lease.Result) {})
		case 11: // an instance lets go of all it has, as at a drain
			n := w.inst[w.rng.IntN(len(w.inst))]
			if !n.down && n.stopped <= w.now {
				for _, h := range n.holder.Leases() {
					w.release(n, h.Role, h.Token)
				}
			}
		case 12: // a disk is lost
			w.loseDisk(w.voters[w.rng.IntN(len(w.voters))], span)
		}
		w.fault()
	})
}

func (w *world) party() string {
	if w.rng.IntN(2) == 0 {
		return w.voters[w.rng.IntN(len(w.voters))].name()
	}
	return w.inst[w.rng.IntN(len(w.inst))].party()
}

func (w *world) cutFor(way [2]string, span float64) {
	w.cut[way] = true
	w.after(span, func() { delete(w.cut, way) })
}

// heal ends all faults: from here on work has to go on.
func (w *world) heal() {
	w.quiet = true
	clear(w.cut)
	w.slow = 1
	for _, v := range w.voters {
		if v.down {
			w.startVoter(v)
		}
	}
	for _, n := range w.inst {
		if n.down {
			w.startInstance(n)
		}
	}
	for d := range w.Duties {
		name := fmt.Sprint("d", d)
		was := w.counted[name]
		w.after(w.Quiet*0.95, func() {
			if w.counted[name] == was {
				w.broken("%s does not go on once faults have ended", name)
			}
		})
	}
}

func (w *world) end() {
	switch porcupine.CheckOperationsTimeout(model, w.ops, historyWait) {
	case porcupine.Illegal:
		w.broken("the history of grants is not linearizable: %d operations", len(w.ops))
	case porcupine.Unknown:
		w.res.Unknown++
	}
	w.res.Trace = uint64(w.res.Messages)<<20 ^ uint64(w.res.Effects)<<8 ^ math.Float64bits(w.now) ^ uint64(w.seq)
}
