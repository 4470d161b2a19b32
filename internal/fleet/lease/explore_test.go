package lease

import (
	"flag"
	"fmt"
	"sort"
	"strings"
	"testing"
)

var deep = flag.Int("deep", 0, "how many steps are explored whole, beyond those that CI does")

// little is the smallest fleet: two instances, one duty, one leader at a time, a log whose commands wait to be agreed on, and
// answers that wait on their way, may overtake each other and get lost. Its clocks drift apart as far as they may.
type little struct {
	state   *State
	leader  *Lessor
	pending []Command
	index   uint64
	at      int // time, in steps of two fifths of a lease
	who     []*one
	acted   []string // tokens under which somebody could act, in order
}

type one struct {
	name    string
	rate    float64
	holder  *Holder
	answers []reply
}

type reply struct {
	at   float64 // when the question went, on the instance's clock
	own  bool
	d    Role
	lost bool
	let  bool
}

const answersMost = 2 // on their way to one instance

func newLittle() *little {
	rules := ConfigForLease(1000)
	rules.MaxDrift, rules.FailureBackoffMs = 0.1, 0
	w := &little{state: NewState()}
	w.apply(Command{Kind: CommandDefine, Role: "d"})
	w.leader = NewLessor(rules, w.state)
	w.leader.BecomeLeader(w.clock(1 + rules.MaxDrift/2))
	for i, rate := range []float64{1 - rules.MaxDrift/2, 1} {
		w.who = append(w.who, &one{name: string(rune('a' + i)), rate: rate, holder: NewHolder(rules)})
	}
	return w
}

func (w *little) clock(rate float64) float64 { return 10000 + float64(w.at)*400*rate }
func (w *little) leads() float64             { return w.clock(1 + w.leader.config.MaxDrift/2) }
func (w *little) apply(c Command) {
	w.index++
	w.state.Apply(w.index, c.Encode())
}

// steps gives what may happen next, by name.
func (w *little) steps() (list []string) {
	list = append(list, "tick", "lead")
	if len(w.pending) > 0 {
		list = append(list, "agree")
	}
	for i, o := range w.who {
		if len(o.answers) < answersMost {
			list = append(list, fmt.Sprint("ask ", i))
		}
		for k := range o.answers {
			list = append(list, fmt.Sprint("answer ", i, " ", k))
		}
		if len(o.answers) > 0 {
			list = append(list, fmt.Sprint("lose ", i))
		}
		if len(o.holder.Leases()) > 0 {
			list = append(list, fmt.Sprint("release ", i), fmt.Sprint("turn ", i))
		}
	}
	return list
}

func (w *little) step(name string) {
	var what string
	var i, k int
	fmt.Sscan(name, &what, &i, &k)
	o := w.who[i]
	switch what {
	case "tick":
		w.at++
		w.pending = append(w.pending, w.leader.DueCommands(w.leads())...)
	case "lead": // another one is elected: all that waits to be agreed on is, or is lost with the old one
		w.pending = nil
		rules := w.leader.config
		w.leader = NewLessor(rules, w.state)
		w.leader.BecomeLeader(w.leads())
	case "agree":
		w.apply(w.pending[0])
		w.pending = w.pending[1:]
	case "ask":
		q := reply{at: w.clock(o.rate)}
		w.leader.RecordRequest(w.leads(), o.name, nil)
		d := w.state.Roles["d"]
		if d.Holder == o.name {
			q.own, q.let = w.leader.Renew(w.leads(), "d", d.Token, o.name)
		} else if len(o.holder.Leases()) > 0 {
			q.lost = true
		}
		q.d = *d
		o.answers = append(o.answers, q)
		w.pending = append(w.pending, w.leader.DueCommands(w.leads())...)
	case "lose":
		o.answers = o.answers[1:]
	case "answer":
		a := o.answers[k]
		o.answers = append(o.answers[:k:k], o.answers[k+1:]...)
		if a.own {
			o.holder.HandleGrant(w.clock(o.rate), a.at, "d", a.d.Token, a.d.Progress, a.let)
		} else if a.lost {
			o.holder.HandleLost("d", a.d.Token)
		}
	case "release":
		h := o.holder.Leases()[0]
		o.holder.MarkReleased("d")
		w.pending = append(w.pending, Command{Kind: CommandRelease, Role: "d", Token: h.Token})
	case "turn":
		o.holder.ExpireLeases(w.clock(o.rate))
	}
}

// wrong tells what does not hold: one at most may act, and under tokens that rise.
func (w *little) wrong() string {
	var may []string
	for _, o := range w.who {
		if token, ok := o.holder.MayAct(w.clock(o.rate), "d"); ok {
			may = append(may, fmt.Sprint(token, o.name))
			if n := len(w.acted); n == 0 || w.acted[n-1] != may[len(may)-1] {
				w.acted = append(w.acted, may[len(may)-1])
			}
		}
	}
	if len(may) > 1 {
		return "two may act: " + strings.Join(may, ", ")
	}
	if !sort.StringsAreSorted(w.acted) || len(w.acted) > 1 && w.acted[len(w.acted)-1][:1] == w.acted[len(w.acted)-2][:1] {
		return fmt.Sprint("tokens do not rise: ", w.acted)
	}
	return ""
}

// key is the same for fleets to which the same can still happen.
func (w *little) key() string {
	var b strings.Builder
	now := w.leads()
	d := w.state.Roles["d"]
	fmt.Fprint(&b, *d, w.pending, w.acted, w.leader.leadingSince-now, w.leader.proposed, w.leader.notBefore["d"]-now, w.leader.lastExpired["d"])
	for _, l := range []string{"a", "b"} {
		fmt.Fprint(&b, w.leader.lastRequestAt[l]-now, " ")
	}
	if l, ok := w.leader.expiries["d"]; ok {
		fmt.Fprint(&b, l.token, l.expiresAt-now)
	}
	for k, v := range w.leader.proposedAt {
		fmt.Fprint(&b, k, v-now)
	}
	for _, o := range w.who {
		at := w.clock(o.rate)
		for _, h := range o.holder.Leases() {
			fmt.Fprint(&b, "|", h.Token, h.ExpiresAt-at, h.ReleaseRequested)
		}
		fmt.Fprint(&b, "/", o.holder.endedTokens["d"])
		for _, a := range o.answers {
			fmt.Fprint(&b, ";", a.at-at, a.own, a.lost, a.let, a.d.Token)
		}
	}
	return b.String()
}

func (w *little) play(path []string) (*little, string) {
	for i, s := range path {
		w.step(s)
		if bad := w.wrong(); bad != "" {
			return w, fmt.Sprintf("%s after %v", bad, path[:i+1])
		}
	}
	return w, ""
}

// All that can happen in so many steps, in every order, happens: not a sample of it.
func TestSmallSizesAreExploredWhole(t *testing.T) {
	depth := 8 + *deep
	if testing.Short() {
		depth = 7
	}
	// From where one has the duty and may act on.
	begun := []string{"ask 0", "lose 0", "agree", "ask 0", "answer 0 0"}
	w, _ := newLittle().play(begun)
	if _, may := w.who[0].holder.MayAct(w.clock(w.who[0].rate), "d"); !may {
		t.Fatal("nobody acts at the beginning")
	}
	level, seen, second := [][]string{begun}, map[string]bool{}, 0
	for n := range depth {
		var next [][]string
		for _, path := range level {
			w, _ := newLittle().play(path)
			for _, s := range w.steps() {
				p := append(path[:len(path):len(path)], s)
				v, bad := newLittle().play(p)
				if bad != "" {
					t.Fatal(bad)
				}
				if key := v.key(); !seen[key] {
					if seen[key] = true; len(v.acted) > 1 {
						second++
					}
					next = append(next, p)
				}
			}
		}
		level = next
		t.Logf("%d steps: %d states, %d in all", n+1, len(level), len(seen))
	}
	t.Logf("in %d of them a second owner has acted", second)
	if len(seen) < 1000 || second == 0 && !testing.Short() {
		t.Error("hardly anything was explored:", len(seen))
	}
}
