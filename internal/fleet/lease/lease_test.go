package lease

import (
	"fmt"
	"testing"
)

func do(t *testing.T, s *State, c Command) Result {
	t.Helper()
	return s.Apply(s.AppliedIndex+1, c.Encode())
}

func TestTokensRiseForEver(t *testing.T) {
	s := NewState()
	last := uint64(0)
	for i := range 50 {
		duty := fmt.Sprint("d", i%3)
		d := s.Roles[duty]
		seen := uint64(0)
		if d != nil {
			seen = d.Token
		}
		r := do(t, s, Command{Kind: CommandGrant, Role: duty, Token: seen, Target: "a"})
		if !r.OK || r.Role.Token <= last {
			t.Fatal(r, last)
		}
		last = r.Role.Token
		if r := do(t, s, Command{Kind: CommandGrant, Role: duty, Token: last, Target: "b"}); r.OK {
			t.Fatal("two owners")
		}
		if r := do(t, s, Command{Kind: CommandProgress, Role: duty, Token: seen, Progress: []byte("x")}); r.OK {
			t.Fatal("an old owner got on")
		}
		again := NewState() // a snapshot keeps where tokens stand
		if err := again.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s = again
		if r := do(t, s, Command{Kind: []CommandKind{CommandRelease, CommandExpire, CommandRevoke}[i%3], Role: duty, Token: last, Target: ""}); !r.OK {
			t.Fatal(r)
		}
	}
}

func TestTwoOperatorsDoNotUndoEachOther(t *testing.T) {
	s := NewState()
	token := do(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"}).Role.Token
	if r := do(t, s, Command{Kind: CommandRevoke, Role: "d", Token: token, Target: "b"}); !r.OK {
		t.Fatal(r)
	}
	for _, k := range []CommandKind{CommandRevoke, CommandRelease, CommandExpire} {
		if r := do(t, s, Command{Kind: k, Role: "d", Token: token, Target: "c"}); r.OK || r.Reason != ReasonStaleToken {
			t.Fatal(k, r)
		}
	}
	if r := do(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: "c"}); r.OK {
		t.Fatal("it is kept for b")
	}
	if r := do(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: "b"}); !r.OK {
		t.Fatal(r)
	}
}

func TestUnsoundCommandsChangeNothing(t *testing.T) {
	s := NewState()
	do(t, s, Command{Kind: CommandDefine, Role: "d"})
	was := string(s.Snapshot())
	for i, text := range [][]byte{[]byte("{"), []byte(`{"kind":"grant"}`), Command{Kind: CommandRelease, Role: "nobody"}.Encode(),
		Command{Kind: "dance", Role: "d"}.Encode(), Command{Kind: CommandProgress, Role: "d", Progress: make([]byte, maxProgressBytes+1)}.Encode()} {
		if r := s.Apply(s.AppliedIndex, text); r.OK {
			t.Error(i, r)
		}
	}
	if now := string(s.Snapshot()); now != was {
		t.Error(was, now)
	}
	for i := range 3 * maxHistory {
		token := s.Roles["d"].Token
		do(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: fmt.Sprint(i)})
		do(t, s, Command{Kind: CommandRelease, Role: "d", Token: s.Roles["d"].Token})
	}
	if len(s.History) > maxHistory {
		t.Error(len(s.History), "lines of history")
	}
}

func TestFewDutiesMoveWhenAnInstanceComes(t *testing.T) {
	among, moved := []string{"a", "b", "c", "d"}, 0
	count := map[string]int{}
	for i := range 1000 {
		duty := fmt.Sprint(i)
		count[PreferredInstance(duty, among)]++
		if to := PreferredInstance(duty, append(among, "e")); to != PreferredInstance(duty, among) {
			if moved++; to != "e" {
				t.Fatal("moved to one that was there before")
			}
		}
	}
	if moved < 130 || moved > 270 || len(count) != 4 {
		t.Error(moved, count)
	}
}

func TestANewLeaderWaitsOutTheLongestLease(t *testing.T) {
	s := NewState()
	do(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"})
	g := NewLessor(DefaultConfig, s)
	g.BecomeLeader(1000)
	if list := g.DueCommands(1000 + DefaultConfig.LeaseMs); len(list) > 0 {
		t.Fatal("too soon: ", list)
	}
	if list := g.DueCommands(1001 + DefaultConfig.LeaseMs*(1+DefaultConfig.MaxDrift)); len(list) != 1 || list[0].Kind != CommandExpire {
		t.Fatal(list)
	}
	if ok, _ := g.Renew(1002+DefaultConfig.LeaseMs*(1+DefaultConfig.MaxDrift), "d", 1, "a"); ok {
		t.Fatal("renewed while its end is on its way")
	}
	g.BecomeFollower()
	if g.DueCommands(1e9) != nil {
		t.Fatal("it does not lead")
	}
}

func TestADutyThatKillsItsOwnersIsHeldBack(t *testing.T) {
	s := NewState()
	g := NewLessor(DefaultConfig, s)
	do(t, s, Command{Kind: CommandDefine, Role: "d"})
	now := 0.0
	g.BecomeLeader(now)
	var waits []float64
	for life := range 4 {
		ended := now
		for granted := false; !granted; now += 50 {
			g.RecordRequest(now, fmt.Sprint("a.", life), nil)
			for _, c := range g.DueCommands(now) {
				r := do(t, s, c)
				granted = granted || r.OK && c.Kind == CommandGrant
			}
		}
		waits = append(waits, now-ended)
		for s.Roles["d"].Holder != "" { // it dies
			now += 50
			for _, c := range g.DueCommands(now) {
				do(t, s, c)
			}
		}
	}
	if waits[1] < 1500 || waits[2] < 1.8*waits[1] || waits[3] < 1.8*waits[2] {
		t.Fatal(waits)
	}
}

// An owner whose questions were lost for a lease is there again: the duty is not held back for it, neither now nor, twice as long,
// the next time. One that comes back as another life, or only after the time for which its duty is held back, may have died of it.
func TestWhoIsThereAgainWasNotKilledByItsDuty(t *testing.T) {
	for _, c := range []struct {
		life   string
		silent float64 // ms after its lease ran out
		spared bool
	}{{"a.1", 100, true}, {"a.2", 100, false}, {"a.1", DefaultConfig.FailureBackoffMs + 500, false}} {
		s := NewState()
		g := NewLessor(DefaultConfig, s)
		g.BecomeLeader(0)
		now := 0.0
		turn := func() (granted bool) {
			for _, c := range g.DueCommands(now) {
				r := do(t, s, c)
				granted = granted || r.OK && c.Kind == CommandGrant
			}
			return granted
		}
		do(t, s, Command{Kind: CommandDefine, Role: "d"})
		for rounds := range 3 {
			for g.RecordRequest(now, "a.1", nil); !turn(); now += 20 {
				g.RecordRequest(now, "a.1", nil)
			}
			for s.Roles["d"].Holder != "" { // nothing of it is heard
				now += 20
				turn()
			}
			ran, took := now, 0.0
			now += c.silent
			for took == 0 {
				g.RecordRequest(now, c.life, nil)
				if turn() {
					took = now - ran
				}
				now += 20
			}
			if c.spared && (took > c.silent+50 || s.Roles["d"].HolderFailures != 0) || !c.spared && rounds == 0 && (took < DefaultConfig.FailureBackoffMs || s.Roles["d"].HolderFailures != 1) {
				t.Errorf("%+v: granted %.0f ms after the lease had run out, %d deaths", c, took, s.Roles["d"].HolderFailures)
			}
			if c.spared != (s.History[len(s.History)-2].Kind == "spared") {
				t.Errorf("%+v: %v", c, s.History)
			}
			if !c.spared {
				break
			}
			do(t, s, Command{Kind: CommandRelease, Role: "d", Token: s.Roles["d"].Token})
			now += 20
		}
	}
	s := NewState()
	do(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"})
	if r := do(t, s, Command{Kind: CommandForgive, Role: "d", Token: 1, Target: "a"}); r.OK {
		t.Error("spared while it is owned")
	}
	do(t, s, Command{Kind: CommandRelease, Role: "d", Token: 1})
	if r := do(t, s, Command{Kind: CommandForgive, Role: "d", Token: 1, Target: "a"}); r.OK {
		t.Error("there was no death to spare")
	}
}

func TestAHolderEndsBeforeItsGrantor(t *testing.T) {
	h := NewHolder(DefaultConfig)
	acts := h.HandleGrant(500, 100, "d", 7, []byte("x"), false)
	if len(acts) != 1 || acts[0].Start == nil || string(acts[0].Start.Progress) != "x" {
		t.Fatal(acts)
	}
	end := 100 + DefaultConfig.LeaseMs*(1-DefaultConfig.MaxDrift)
	if _, may := h.MayAct(end-1, "d"); !may {
		t.Fatal("too soon")
	}
	if _, may := h.MayAct(end, "d"); may {
		t.Fatal("the lease counts from the question")
	}
	if acts = h.ExpireLeases(end); len(acts) != 1 || acts[0].Stop == nil {
		t.Fatal(acts)
	}
	// What it has let run out it does not take up again, but lets the voters know, as they go on renewing it.
	if acts = h.HandleGrant(end, end-10, "d", 7, nil, false); len(acts) != 1 || acts[0].ReportReleased == nil {
		t.Fatal("an old answer brought it back: ", acts)
	}
	if acts = h.HandleGrant(end, end-10, "d", 6, nil, false); len(acts) != 0 {
		t.Fatal(acts)
	}
	h.HandleGrant(end, end-10, "e", 8, nil, false)
	if acts = h.HandleGrant(end, end-5, "e", 8, nil, true); len(acts) != 1 || acts[0].Finish == nil {
		t.Fatal(acts)
	}
	h.MarkReleased("e")
	if acts = h.HandleGrant(end, end-1, "e", 8, nil, false); len(acts) != 1 || acts[0].ReportReleased == nil {
		t.Fatal("an old answer brought it back: ", acts)
	}
	if acts = h.HandleGrant(end, end-1, "d", 8, nil, false); len(acts) != 1 {
		t.Fatal(acts)
	}
	if acts = h.HandleLost("d", 9); len(acts) != 1 || acts[0].Stop == nil {
		t.Fatal(acts)
	}
}
