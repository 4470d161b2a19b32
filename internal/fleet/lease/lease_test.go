package lease

import (
	"fmt"
	"testing"
)

// apply applies a command as the next entry of the log.
func apply(t *testing.T, s *State, c Command) Result {
	t.Helper()
	return s.Apply(s.AppliedIndex+1, c.Encode())
}

func TestTokensRiseStrictly(t *testing.T) {
	s := NewState()
	last := uint64(0)
	for i := range 50 {
		role := fmt.Sprint("d", i%3)
		seen := uint64(0)
		if known := s.Roles[role]; known != nil {
			seen = known.Token
		}
		r := apply(t, s, Command{Kind: CommandGrant, Role: role, Token: seen, Target: "a"})
		if !r.OK || r.Role.Token <= last {
			t.Fatal(r, last)
		}
		last = r.Role.Token
		if r := apply(t, s, Command{Kind: CommandGrant, Role: role, Token: last, Target: "b"}); r.OK {
			t.Fatal("two holders")
		}
		if r := apply(t, s, Command{Kind: CommandProgress, Role: role, Token: seen, Progress: []byte("x")}); r.OK {
			t.Fatal("a stale holder made progress")
		}
		restored := NewState() // a snapshot keeps the next token
		if err := restored.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s = restored
		if r := apply(t, s, Command{Kind: []CommandKind{CommandRelease, CommandExpire, CommandRevoke}[i%3], Role: role, Token: last, Target: ""}); !r.OK {
			t.Fatal(r)
		}
	}
}

func TestStaleOperatorCommandsAreRejected(t *testing.T) {
	s := NewState()
	token := apply(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"}).Role.Token
	if r := apply(t, s, Command{Kind: CommandRevoke, Role: "d", Token: token, Target: "b"}); !r.OK {
		t.Fatal(r)
	}
	for _, k := range []CommandKind{CommandRevoke, CommandRelease, CommandExpire} {
		if r := apply(t, s, Command{Kind: k, Role: "d", Token: token, Target: "c"}); r.OK || r.Reason != ReasonStaleToken {
			t.Fatal(k, r)
		}
	}
	if r := apply(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: "c"}); r.OK {
		t.Fatal("it is reserved for b")
	}
	if r := apply(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: "b"}); !r.OK {
		t.Fatal(r)
	}
}

func TestInvalidCommandsChangeNothing(t *testing.T) {
	s := NewState()
	apply(t, s, Command{Kind: CommandDefine, Role: "d"})
	before := string(s.Snapshot())
	for i, text := range [][]byte{[]byte("{"), []byte(`{"kind":"grant"}`), Command{Kind: CommandRelease, Role: "nobody"}.Encode(),
		Command{Kind: "dance", Role: "d"}.Encode(), Command{Kind: CommandProgress, Role: "d", Progress: make([]byte, maxProgressBytes+1)}.Encode()} {
		if r := s.Apply(s.AppliedIndex, text); r.OK {
			t.Error(i, r)
		}
	}
	if after := string(s.Snapshot()); after != before {
		t.Error(before, after)
	}
	for i := range 3 * maxHistory {
		token := s.Roles["d"].Token
		apply(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: fmt.Sprint(i)})
		apply(t, s, Command{Kind: CommandRelease, Role: "d", Token: s.Roles["d"].Token})
	}
	if len(s.History) > maxHistory {
		t.Error(len(s.History), "lines of history")
	}
}

func TestFewRolesMoveWhenAnInstanceJoins(t *testing.T) {
	instances, moved := []string{"a", "b", "c", "d"}, 0
	rolesOf := map[string]int{}
	for i := range 1000 {
		role := fmt.Sprint(i)
		before := PreferredInstance(role, instances)
		rolesOf[before]++
		after := PreferredInstance(role, append(instances, "e"))
		if after == before {
			continue
		}
		moved++
		if after != "e" {
			t.Fatal("moved to one that was there before")
		}
	}
	if moved < 130 || moved > 270 || len(rolesOf) != 4 {
		t.Error(moved, rolesOf)
	}
}

func TestNewLeaderWaitsOutRunningLeases(t *testing.T) {
	s := NewState()
	apply(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"})
	lessor := NewLessor(DefaultConfig, s)
	lessor.BecomeLeader(1000)
	if due := lessor.DueCommands(1000 + DefaultConfig.LeaseMs); len(due) > 0 {
		t.Fatal("expired too soon: ", due)
	}
	if due := lessor.DueCommands(1001 + DefaultConfig.LeaseMs*(1+DefaultConfig.MaxDrift)); len(due) != 1 || due[0].Kind != CommandExpire {
		t.Fatal(due)
	}
	if ok, _ := lessor.Renew(1002+DefaultConfig.LeaseMs*(1+DefaultConfig.MaxDrift), "d", 1, "a"); ok {
		t.Fatal("renewed while its expiry may be in the log")
	}
	lessor.BecomeFollower()
	if lessor.DueCommands(1e9) != nil {
		t.Fatal("it does not lead")
	}
}

func TestRoleBacksOffAfterHolderFailures(t *testing.T) {
	s := NewState()
	lessor := NewLessor(DefaultConfig, s)
	apply(t, s, Command{Kind: CommandDefine, Role: "d"})
	now := 0.0
	lessor.BecomeLeader(now)
	var waits []float64
	for incarnation := range 4 {
		ended := now
		for granted := false; !granted; now += 50 {
			lessor.RecordRequest(now, fmt.Sprint("a.", incarnation), nil)
			for _, c := range lessor.DueCommands(now) {
				r := apply(t, s, c)
				granted = granted || r.OK && c.Kind == CommandGrant
			}
		}
		waits = append(waits, now-ended)
		for s.Roles["d"].Holder != "" { // it fails
			now += 50
			for _, c := range lessor.DueCommands(now) {
				apply(t, s, c)
			}
		}
	}
	if waits[1] < 1500 || waits[2] < 1.8*waits[1] || waits[3] < 1.8*waits[2] {
		t.Fatal(waits)
	}
}

// A holder whose requests were lost for a lease returns: its role doesn't back off for that,
// neither now nor, twice as long, the next time. One that returns as another incarnation, or only
// after the backoff, may have failed of its work.
func TestFailureIsForgivenWhenHolderReturns(t *testing.T) {
	for _, c := range []struct {
		incarnation string
		returnMs    float64 // after its lease has run out
		forgiven    bool
	}{{"a.1", 100, true}, {"a.2", 100, false}, {"a.1", DefaultConfig.FailureBackoffMs + 500, false}} {
		s := NewState()
		lessor := NewLessor(DefaultConfig, s)
		lessor.BecomeLeader(0)
		now := 0.0
		turn := func() (granted bool) {
			for _, c := range lessor.DueCommands(now) {
				r := apply(t, s, c)
				granted = granted || r.OK && c.Kind == CommandGrant
			}
			return granted
		}
		apply(t, s, Command{Kind: CommandDefine, Role: "d"})
		for round := range 3 {
			for lessor.RecordRequest(now, "a.1", nil); !turn(); now += 20 {
				lessor.RecordRequest(now, "a.1", nil)
			}
			for s.Roles["d"].Holder != "" { // its requests are lost
				now += 20
				turn()
			}
			ran, took := now, 0.0
			now += c.returnMs
			for took == 0 {
				lessor.RecordRequest(now, c.incarnation, nil)
				if turn() {
					took = now - ran
				}
				now += 20
			}
			if c.forgiven && (took > c.returnMs+50 || s.Roles["d"].HolderFailures != 0) || !c.forgiven && round == 0 && (took < DefaultConfig.FailureBackoffMs || s.Roles["d"].HolderFailures != 1) {
				t.Errorf("%+v: granted %.0f ms after the lease had run out, %d failures", c, took, s.Roles["d"].HolderFailures)
			}
			if c.forgiven != (s.History[len(s.History)-2].Kind == eventForgiven) {
				t.Errorf("%+v: %v", c, s.History)
			}
			if !c.forgiven {
				break
			}
			apply(t, s, Command{Kind: CommandRelease, Role: "d", Token: s.Roles["d"].Token})
			now += 20
		}
	}
	s := NewState()
	apply(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"})
	if r := apply(t, s, Command{Kind: CommandForgive, Role: "d", Token: 1, Target: "a"}); r.OK {
		t.Error("forgiven while it is held")
	}
	apply(t, s, Command{Kind: CommandRelease, Role: "d", Token: 1})
	if r := apply(t, s, Command{Kind: CommandForgive, Role: "d", Token: 1, Target: "a"}); r.OK {
		t.Error("there was no failure to forgive")
	}
}

func TestHolderLeaseEndsBeforeLessorsDoes(t *testing.T) {
	h := NewHolder(DefaultConfig)
	actions := h.HandleGrant(500, 100, "d", 7, []byte("x"), false)
	if len(actions) != 1 || actions[0].Start == nil || string(actions[0].Start.Progress) != "x" {
		t.Fatal(actions)
	}
	end := 100 + DefaultConfig.LeaseMs*(1-DefaultConfig.MaxDrift)
	if _, may := h.MayAct(end-1, "d"); !may {
		t.Fatal("too soon")
	}
	if _, may := h.MayAct(end, "d"); may {
		t.Fatal("the lease counts from the request")
	}
	if actions = h.ExpireLeases(end); len(actions) != 1 || actions[0].Stop == nil {
		t.Fatal(actions)
	}
	// A lease that ran out isn't taken up again, but reported as released, as the voters go on renewing it.
	if actions = h.HandleGrant(end, end-10, "d", 7, nil, false); len(actions) != 1 || actions[0].ReportReleased == nil {
		t.Fatal("a delayed response brought it back: ", actions)
	}
	if actions = h.HandleGrant(end, end-10, "d", 6, nil, false); len(actions) != 0 {
		t.Fatal(actions)
	}
	h.HandleGrant(end, end-10, "e", 8, nil, false)
	if actions = h.HandleGrant(end, end-5, "e", 8, nil, true); len(actions) != 1 || actions[0].Finish == nil {
		t.Fatal(actions)
	}
	h.MarkReleased("e")
	if actions = h.HandleGrant(end, end-1, "e", 8, nil, false); len(actions) != 1 || actions[0].ReportReleased == nil {
		t.Fatal("a delayed response brought it back: ", actions)
	}
	if actions = h.HandleGrant(end, end-1, "d", 8, nil, false); len(actions) != 1 {
		t.Fatal(actions)
	}
	if actions = h.HandleLost("d", 9); len(actions) != 1 || actions[0].Stop == nil {
		t.Fatal(actions)
	}
}
