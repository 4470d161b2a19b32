package lease

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"testing"
)

var extraDepth = flag.Int("deep", 0, "number of steps to explore exhaustively beyond the depth used in CI")

// smallFleet models a minimal fleet: two instances, one role "d", one leader at a time, a log whose
// commands wait to be committed, and responses that can be delayed, reordered and lost. Its clocks
// drift apart as far as Config.MaxDrift allows.
type smallFleet struct {
	state     *State
	lessor    *Lessor
	log       []Command // proposed, not committed yet
	index     uint64    // log index of the latest applied command
	time      int       // in steps of 400 ms, two fifths of a lease
	instances []*smallInstance
	actors    []string // token and name of each instance that could act, in order of time
}

// smallInstance is an instance of a smallFleet.
type smallInstance struct {
	name      string
	clockRate float64 // ms on the instance's clock per ms of real time
	holder    *Holder
	responses []delayedResponse // in flight to the instance
}

// delayedResponse is a response to a lease request that has not reached the instance yet.
type delayedResponse struct {
	sentAt  float64 // when the request was sent, in ms on the instance's clock
	granted bool    // the instance holds the role, and its lease was renewed
	role    Role    // the role when the request was handled
	lost    bool    // the instance has a lease of the role but is not its holder
	release bool    // the instance has to release the role
}

// maxResponses is the maximum number of responses in flight to one instance.
const maxResponses = 2

func newSmallFleet() *smallFleet {
	config := ConfigForLease(1000)
	config.MaxDrift, config.FailureBackoffMs = 0.1, 0
	f := &smallFleet{state: NewState()}
	f.apply(Command{Kind: CommandDefine, Role: "d"})
	f.lessor = NewLessor(config, f.state)
	f.lessor.BecomeLeader(f.clock(1 + config.MaxDrift/2))
	for i, rate := range []float64{1 - config.MaxDrift/2, 1} {
		f.instances = append(f.instances, &smallInstance{name: string(rune('a' + i)), clockRate: rate, holder: NewHolder(config)})
	}
	return f
}

// clock returns the time in ms on a clock that runs at the given rate.
func (f *smallFleet) clock(rate float64) float64 { return 10000 + float64(f.time)*400*rate }

// lessorClock returns the time in ms on the lessor's clock, which is the fastest of all.
func (f *smallFleet) lessorClock() float64 { return f.clock(1 + f.lessor.config.MaxDrift/2) }

// apply applies a command as the next committed entry of the log.
func (f *smallFleet) apply(c Command) {
	f.index++
	f.state.Apply(f.index, c.Encode())
}

// Kinds of steps. The name of a step is its kind, followed by the index of an instance and that of
// a response where the kind needs them.
const (
	stepTick    = "tick"    // time passes
	stepElect   = "elect"   // another leader is elected
	stepCommit  = "commit"  // the oldest command in the log is committed and applied
	stepRequest = "request" // the leader handles a request of an instance
	stepRespond = "respond" // a response reaches an instance
	stepLose    = "lose"    // the oldest response in flight to an instance is lost
	stepRelease = "release" // an instance releases its lease
	stepExpire  = "expire"  // an instance checks its leases for expiry
)

// steps returns the names of the steps that are possible next.
func (f *smallFleet) steps() (names []string) {
	names = append(names, stepTick, stepElect)
	if len(f.log) > 0 {
		names = append(names, stepCommit)
	}
	for i, instance := range f.instances {
		if len(instance.responses) < maxResponses {
			names = append(names, fmt.Sprint(stepRequest, " ", i))
		}
		for k := range instance.responses {
			names = append(names, fmt.Sprint(stepRespond, " ", i, " ", k))
		}
		if len(instance.responses) > 0 {
			names = append(names, fmt.Sprint(stepLose, " ", i))
		}
		if len(instance.holder.Leases()) > 0 {
			names = append(names, fmt.Sprint(stepRelease, " ", i), fmt.Sprint(stepExpire, " ", i))
		}
	}
	return names
}

// step performs the step of the given name.
func (f *smallFleet) step(name string) {
	var kind string
	var i, k int
	fmt.Sscan(name, &kind, &i, &k)
	instance := f.instances[i]
	switch kind {
	case stepTick:
		f.time++
		f.log = append(f.log, f.lessor.DueCommands(f.lessorClock())...)
	case stepElect: // the uncommitted commands are lost with the previous leader
		f.log = nil
		f.lessor = NewLessor(f.lessor.config, f.state)
		f.lessor.BecomeLeader(f.lessorClock())
	case stepCommit:
		f.apply(f.log[0])
		f.log = f.log[1:]
	case stepRequest:
		f.request(instance)
	case stepLose:
		instance.responses = instance.responses[1:]
	case stepRespond:
		f.respond(instance, k)
	case stepRelease:
		held := instance.holder.Leases()[0]
		instance.holder.MarkReleased("d")
		f.log = append(f.log, Command{Kind: CommandRelease, Role: "d", Token: held.Token})
	case stepExpire:
		instance.holder.ExpireLeases(f.clock(instance.clockRate))
	}
}

// request lets the leader handle a request of the instance, and puts the response in flight.
func (f *smallFleet) request(instance *smallInstance) {
	response := delayedResponse{sentAt: f.clock(instance.clockRate)}
	f.lessor.RecordRequest(f.lessorClock(), instance.name, nil)
	role := f.state.Roles["d"]
	if role.Holder == instance.name {
		response.granted, response.release = f.lessor.Renew(f.lessorClock(), "d", role.Token, instance.name)
	} else if len(instance.holder.Leases()) > 0 {
		response.lost = true
	}
	response.role = *role
	instance.responses = append(instance.responses, response)
	f.log = append(f.log, f.lessor.DueCommands(f.lessorClock())...)
}

// respond delivers response k of those in flight to the instance.
func (f *smallFleet) respond(instance *smallInstance, k int) {
	r := instance.responses[k]
	instance.responses = append(instance.responses[:k:k], instance.responses[k+1:]...)
	if r.granted {
		instance.holder.HandleGrant(f.clock(instance.clockRate), r.sentAt, "d", r.role.Token, r.role.Progress, r.release)
	} else if r.lost {
		instance.holder.HandleLost("d", r.role.Token)
	}
}

// violation describes how the fleet violates an invariant, or returns "" if it violates none: at
// most one instance may act at a time, and later holders act under higher tokens.
func (f *smallFleet) violation() string {
	var allowed []string
	for _, instance := range f.instances {
		token, ok := instance.holder.MayAct(f.clock(instance.clockRate), "d")
		if !ok {
			continue
		}
		actor := fmt.Sprint(token, instance.name)
		allowed = append(allowed, actor)
		if n := len(f.actors); n == 0 || f.actors[n-1] != actor {
			f.actors = append(f.actors, actor)
		}
	}
	if len(allowed) > 1 {
		return "two instances may act at the same time: " + strings.Join(allowed, ", ")
	}
	n := len(f.actors)
	sameToken := n > 1 && f.actors[n-1][:1] == f.actors[n-2][:1]
	if !sort.StringsAreSorted(f.actors) || sameToken {
		return fmt.Sprint("the tokens of successive holders are not increasing: ", f.actors)
	}
	return ""
}

// stateKey returns a key that is equal for fleets with the same possible futures. Times enter
// it relative to the current time.
func (f *smallFleet) stateKey() string {
	var b strings.Builder
	now := f.lessorClock()
	fmt.Fprint(&b, *f.state.Roles["d"], f.log, f.actors, f.lessor.leadingSince-now, f.lessor.proposed,
		f.lessor.notBefore["d"]-now, f.lessor.lastExpired["d"])
	for _, name := range []string{"a", "b"} {
		fmt.Fprint(&b, f.lessor.lastRequestAt[name]-now, " ")
	}
	if current, ok := f.lessor.expiries["d"]; ok {
		fmt.Fprint(&b, current.token, current.expiresAt-now)
	}
	for role, proposedAt := range f.lessor.proposedAt {
		fmt.Fprint(&b, role, proposedAt-now)
	}
	for _, instance := range f.instances {
		now := f.clock(instance.clockRate)
		for _, held := range instance.holder.Leases() {
			fmt.Fprint(&b, "|", held.Token, held.ExpiresAt-now, held.ReleaseRequested)
		}
		fmt.Fprint(&b, "/", instance.holder.endedTokens["d"])
		for _, r := range instance.responses {
			fmt.Fprint(&b, ";", r.sentAt-now, r.granted, r.lost, r.release, r.role.Token)
		}
	}
	return b.String()
}

// play performs the steps of a path in order. It stops at the first violation and describes it.
func (f *smallFleet) play(path []string) (*smallFleet, string) {
	for i, name := range path {
		f.step(name)
		if violation := f.violation(); violation != "" {
			return f, fmt.Sprintf("%s after %v", violation, path[:i+1])
		}
	}
	return f, ""
}

// TestSmallSizesAreExploredExhaustively checks the invariants of smallFleet.violation after every
// possible sequence of steps up to a depth, not only after a random sample of them.
func TestSmallSizesAreExploredExhaustively(t *testing.T) {
	depth := 8 + *extraDepth
	if testing.Short() {
		depth = 7
	}
	// Each sequence starts after instance 0 was granted the role and may act.
	initialPath := []string{"request 0", "lose 0", "commit", "request 0", "respond 0 0"}
	f, _ := newSmallFleet().play(initialPath)
	if _, may := f.instances[0].holder.MayAct(f.clock(f.instances[0].clockRate), "d"); !may {
		t.Fatal("instance 0 may not act after the initial steps")
	}
	level, seen, withSecond := [][]string{initialPath}, map[string]bool{}, 0
	for n := range depth {
		var nextLevel [][]string
		for _, path := range level {
			f, _ := newSmallFleet().play(path)
			for _, step := range f.steps() {
				longer := append(path[:len(path):len(path)], step)
				next, violation := newSmallFleet().play(longer)
				if violation != "" {
					t.Fatal(violation)
				}
				key := next.stateKey()
				if seen[key] {
					continue
				}
				seen[key] = true
				if len(next.actors) > 1 {
					withSecond++
				}
				nextLevel = append(nextLevel, longer)
			}
		}
		level = nextLevel
		t.Logf("%d steps: %d new states, %d in total", n+1, len(level), len(seen))
	}
	t.Logf("in %d of the states a second holder has acted", withSecond)
	if len(seen) < 1000 || withSecond == 0 && !testing.Short() {
		t.Errorf("too little was explored: %d states, in %d of them a second holder has acted", len(seen), withSecond)
	}
}
