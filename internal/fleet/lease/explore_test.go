package lease

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"testing"
)

var extraDepth = flag.Int("deep", 0, "steps explored exhaustively, beyond those of CI")

// smallFleet is the smallest fleet: two instances, one role, one leader at a time, a log whose
// commands wait to be committed, and responses that are delayed, overtake each other and get lost.
// Its clocks drift apart as far as they may.
type smallFleet struct {
	state     *State
	lessor    *Lessor
	log       []Command
	index     uint64
	time      int // in steps of two fifths of a lease
	instances []*smallInstance
	actors    []string // tokens and instances that could act, in order
}

type smallInstance struct {
	name      string
	clockRate float64
	holder    *Holder
	responses []delayedResponse
}

type delayedResponse struct {
	sentAt  float64 // on the instance's clock
	granted bool
	role    Role
	lost    bool
	release bool
}

const maxResponses = 2 // in flight to one instance

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

func (f *smallFleet) clock(rate float64) float64 { return 10000 + float64(f.time)*400*rate }

func (f *smallFleet) lessorClock() float64 { return f.clock(1 + f.lessor.config.MaxDrift/2) }

func (f *smallFleet) apply(c Command) {
	f.index++
	f.state.Apply(f.index, c.Encode())
}

// Steps that may happen, followed by the number of an instance and that of a response.
const (
	stepTick    = "tick"
	stepElect   = "elect"
	stepCommit  = "commit"
	stepRequest = "request"
	stepRespond = "respond"
	stepLose    = "lose"
	stepRelease = "release"
	stepExpire  = "expire"
)

// steps returns what may happen next, by name.
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

func (f *smallFleet) step(name string) {
	var kind string
	var i, k int
	fmt.Sscan(name, &kind, &i, &k)
	instance := f.instances[i]
	switch kind {
	case stepTick:
		f.time++
		f.log = append(f.log, f.lessor.DueCommands(f.lessorClock())...)
	case stepElect: // another leader; what waited to be committed is lost with the one before
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

// request has the leader handle an instance's request, and puts its response in flight.
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

// respond delivers one of the responses in flight.
func (f *smallFleet) respond(instance *smallInstance, k int) {
	r := instance.responses[k]
	instance.responses = append(instance.responses[:k:k], instance.responses[k+1:]...)
	if r.granted {
		instance.holder.HandleGrant(f.clock(instance.clockRate), r.sentAt, "d", r.role.Token, r.role.Progress, r.release)
	} else if r.lost {
		instance.holder.HandleLost("d", r.role.Token)
	}
}

// violation says what doesn't hold of: one instance at most may act, and under tokens that rise.
func (f *smallFleet) violation() string {
	var may []string
	for _, instance := range f.instances {
		token, ok := instance.holder.MayAct(f.clock(instance.clockRate), "d")
		if !ok {
			continue
		}
		actor := fmt.Sprint(token, instance.name)
		may = append(may, actor)
		if n := len(f.actors); n == 0 || f.actors[n-1] != actor {
			f.actors = append(f.actors, actor)
		}
	}
	if len(may) > 1 {
		return "two may act: " + strings.Join(may, ", ")
	}
	n := len(f.actors)
	sameToken := n > 1 && f.actors[n-1][:1] == f.actors[n-2][:1]
	if !sort.StringsAreSorted(f.actors) || sameToken {
		return fmt.Sprint("tokens do not rise: ", f.actors)
	}
	return ""
}

// stateKey is equal for fleets to which the same can still happen.
func (f *smallFleet) stateKey() string {
	var b strings.Builder
	now := f.lessorClock()
	fmt.Fprint(&b, *f.state.Roles["d"], f.log, f.actors, f.lessor.leadingSince-now, f.lessor.proposed, f.lessor.notBefore["d"]-now, f.lessor.lastExpired["d"])
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

func (f *smallFleet) play(path []string) (*smallFleet, string) {
	for i, s := range path {
		f.step(s)
		if violation := f.violation(); violation != "" {
			return f, fmt.Sprintf("%s after %v", violation, path[:i+1])
		}
	}
	return f, ""
}

// All that can happen in so many steps is played, in every order: not a sample of it.
func TestSmallSizesAreExploredExhaustively(t *testing.T) {
	depth := 8 + *extraDepth
	if testing.Short() {
		depth = 7
	}
	// From where one holds the role and may act.
	begun := []string{"request 0", "lose 0", "commit", "request 0", "respond 0 0"}
	f, _ := newSmallFleet().play(begun)
	if _, may := f.instances[0].holder.MayAct(f.clock(f.instances[0].clockRate), "d"); !may {
		t.Fatal("nobody may act at the beginning")
	}
	level, seen, withSecond := [][]string{begun}, map[string]bool{}, 0
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
		t.Logf("%d steps: %d states, %d in all", n+1, len(level), len(seen))
	}
	t.Logf("in %d of them a second holder has acted", withSecond)
	if len(seen) < 1000 || withSecond == 0 && !testing.Short() {
		t.Error("hardly anything was explored:", len(seen))
	}
}
