package lease

import (
	"fmt"
	"testing"
)

// apply applies a command to s as the next entry of the log.
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
			t.Fatalf("grant %d of role %s: %+v, previous token %d", i, role, r, last)
		}
		last = r.Role.Token
		if r := apply(t, s, Command{Kind: CommandGrant, Role: role, Token: last, Target: "b"}); r.OK {
			t.Fatalf("role %s was granted to a second holder: %+v", role, r)
		}
		if r := apply(t, s, Command{Kind: CommandProgress, Role: role, Token: seen, Progress: []byte("x")}); r.OK {
			t.Fatalf("progress under the stale token %d of role %s was accepted", seen, role)
		}
		restored := NewState() // the snapshot must preserve the next token
		if err := restored.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s = restored
		kind := []CommandKind{CommandRelease, CommandExpire, CommandRevoke}[i%3]
		if r := apply(t, s, Command{Kind: kind, Role: role, Token: last, Target: ""}); !r.OK {
			t.Fatalf("role %s could not be taken from its holder: %+v", role, r)
		}
	}
}

func TestStaleOperatorCommandsAreRejected(t *testing.T) {
	s := NewState()
	token := apply(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"}).Role.Token
	if r := apply(t, s, Command{Kind: CommandRevoke, Role: "d", Token: token, Target: "b"}); !r.OK {
		t.Fatalf("revoke was rejected: %+v", r)
	}
	for _, k := range []CommandKind{CommandRevoke, CommandRelease, CommandExpire} {
		if r := apply(t, s, Command{Kind: k, Role: "d", Token: token, Target: "c"}); r.OK || r.Reason != ReasonStaleToken {
			t.Fatalf("%s with a stale token: %+v", k, r)
		}
	}
	if r := apply(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: "c"}); r.OK {
		t.Fatal("a role reserved for b was granted to c")
	}
	if r := apply(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: "b"}); !r.OK {
		t.Fatalf("a role reserved for b was not granted to b: %+v", r)
	}
}

func TestInvalidCommandsChangeNothing(t *testing.T) {
	s := NewState()
	apply(t, s, Command{Kind: CommandDefine, Role: "d"})
	before := string(s.Snapshot())
	invalidCommands := [][]byte{
		[]byte("{"),
		[]byte(`{"kind":"grant"}`),
		Command{Kind: CommandRelease, Role: "nobody"}.Encode(),
		Command{Kind: "dance", Role: "d"}.Encode(),
		Command{Kind: CommandProgress, Role: "d", Progress: make([]byte, maxProgressBytes+1)}.Encode(),
	}
	for i, encoded := range invalidCommands {
		if r := s.Apply(s.AppliedIndex, encoded); r.OK {
			t.Errorf("invalid command %d was accepted: %+v", i, r)
		}
	}
	if after := string(s.Snapshot()); after != before {
		t.Errorf("invalid commands changed the state from %s to %s", before, after)
	}
	for i := range 3 * maxHistory {
		token := s.Roles["d"].Token
		apply(t, s, Command{Kind: CommandGrant, Role: "d", Token: token, Target: fmt.Sprint(i)})
		apply(t, s, Command{Kind: CommandRelease, Role: "d", Token: s.Roles["d"].Token})
	}
	if len(s.History) > maxHistory {
		t.Errorf("the history has %d events, more than %d", len(s.History), maxHistory)
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
			t.Fatalf("role %s moved from %s to %s instead of the new instance", role, before, after)
		}
	}
	if moved < 130 || moved > 270 || len(rolesOf) != 4 {
		t.Errorf("%d of 1000 roles moved to the new instance; roles by instance before: %v", moved, rolesOf)
	}
}

func TestNewLeaderWaitsOutRunningLeases(t *testing.T) {
	s := NewState()
	apply(t, s, Command{Kind: CommandGrant, Role: "d", Target: "a"})
	lessor := NewLessor(DefaultConfig, s)
	lessor.BecomeLeader(1000)
	if due := lessor.DueCommands(1000 + DefaultConfig.LeaseMs); len(due) > 0 {
		t.Fatal("the lease was ended too early: ", due)
	}
	if due := lessor.DueCommands(1001 + DefaultConfig.LeaseMs*(1+DefaultConfig.MaxDrift)); len(due) != 1 || due[0].Kind != CommandExpire {
		t.Fatal("the lease was not ended after the lessor's span: ", due)
	}
	if ok, _ := lessor.Renew(1002+DefaultConfig.LeaseMs*(1+DefaultConfig.MaxDrift), "d", 1, "a"); ok {
		t.Fatal("a lease was renewed although the command that ends it may be in the log")
	}
	lessor.BecomeFollower()
	if lessor.DueCommands(1e9) != nil {
		t.Fatal("a follower proposes commands")
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
		for s.Roles["d"].Holder != "" { // the holder fails: it sends no more requests
			now += 50
			for _, c := range lessor.DueCommands(now) {
				apply(t, s, c)
			}
		}
	}
	if waits[1] < 1500 || waits[2] < 1.8*waits[1] || waits[3] < 1.8*waits[2] {
		t.Fatal("the times in ms until the role was granted again do not double with each failure: ", waits)
	}
}

// TestFailureIsForgivenWhenHolderReturns checks a holder whose lease expired because its requests
// were lost, and which sends requests again. Its role must not back off for that failure, and the
// failure must not double the backoff of the next one. A holder that returns as another
// incarnation, or only after the backoff, is not forgiven: the role's work may have made it fail.
func TestFailureIsForgivenWhenHolderReturns(t *testing.T) {
	for _, c := range []struct {
		incarnation string
		returnMs    float64 // time of the holder's return, in ms after its lease expired
		forgiven    bool
	}{{"a.1", 100, true}, {"a.2", 100, false}, {"a.1", DefaultConfig.FailureBackoffMs + 500, false}} {
		s := NewState()
		lessor := NewLessor(DefaultConfig, s)
		lessor.BecomeLeader(0)
		now := 0.0
		applyDueCommands := func() (granted bool) {
			for _, c := range lessor.DueCommands(now) {
				r := apply(t, s, c)
				granted = granted || r.OK && c.Kind == CommandGrant
			}
			return granted
		}
		apply(t, s, Command{Kind: CommandDefine, Role: "d"})
		for round := range 3 {
			for lessor.RecordRequest(now, "a.1", nil); !applyDueCommands(); now += 20 {
				lessor.RecordRequest(now, "a.1", nil)
			}
			for s.Roles["d"].Holder != "" { // the holder's requests are lost
				now += 20
				applyDueCommands()
			}
			expiredAt, regrantMs := now, 0.0
			now += c.returnMs
			for regrantMs == 0 {
				lessor.RecordRequest(now, c.incarnation, nil)
				if applyDueCommands() {
					regrantMs = now - expiredAt
				}
				now += 20
			}
			if c.forgiven && (regrantMs > c.returnMs+50 || s.Roles["d"].HolderFailures != 0) ||
				!c.forgiven && round == 0 && (regrantMs < DefaultConfig.FailureBackoffMs || s.Roles["d"].HolderFailures != 1) {
				t.Errorf("%+v: granted %.0f ms after the lease had expired, %d failures", c, regrantMs, s.Roles["d"].HolderFailures)
			}
			if c.forgiven != (s.History[len(s.History)-2].Kind == eventForgiven) {
				t.Errorf("%+v: whether the failure was forgiven differs in the history: %v", c, s.History)
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
		t.Error("a failure was forgiven while the role is held")
	}
	apply(t, s, Command{Kind: CommandRelease, Role: "d", Token: 1})
	if r := apply(t, s, Command{Kind: CommandForgive, Role: "d", Token: 1, Target: "a"}); r.OK {
		t.Error("a failure was forgiven although none was counted")
	}
}

func TestHolderLeaseEndsBeforeLessorsDoes(t *testing.T) {
	h := NewHolder(DefaultConfig)
	actions := h.HandleGrant(500, 100, "d", 7, []byte("x"), false)
	if len(actions) != 1 || actions[0].Start == nil || string(actions[0].Start.Progress) != "x" {
		t.Fatal("a grant did not start the work with its progress: ", actions)
	}
	end := 100 + DefaultConfig.LeaseMs*(1-DefaultConfig.MaxDrift)
	if _, may := h.MayAct(end-1, "d"); !may {
		t.Fatal("the holder's lease ended too early")
	}
	if _, may := h.MayAct(end, "d"); may {
		t.Fatal("the holder's lease ended too late: it must count from the request")
	}
	if actions = h.ExpireLeases(end); len(actions) != 1 || actions[0].Stop == nil {
		t.Fatal("an expired lease did not stop the work: ", actions)
	}
	// An expired lease is not resumed but reported as released, because the voters keep renewing it.
	if actions = h.HandleGrant(end, end-10, "d", 7, nil, false); len(actions) != 1 || actions[0].ReportReleased == nil {
		t.Fatal("an expired lease was not reported as released: ", actions)
	}
	if actions = h.HandleGrant(end, end-10, "d", 6, nil, false); len(actions) != 0 {
		t.Fatal("a response with a token before the latest ended one was not ignored: ", actions)
	}
	h.HandleGrant(end, end-10, "e", 8, nil, false)
	if actions = h.HandleGrant(end, end-5, "e", 8, nil, true); len(actions) != 1 || actions[0].Finish == nil {
		t.Fatal("a requested release did not finish the work: ", actions)
	}
	h.MarkReleased("e")
	if actions = h.HandleGrant(end, end-1, "e", 8, nil, false); len(actions) != 1 || actions[0].ReportReleased == nil {
		t.Fatal("a released lease was not reported as released again: ", actions)
	}
	if actions = h.HandleGrant(end, end-1, "d", 8, nil, false); len(actions) != 1 {
		t.Fatal("a grant under a new token did not start the work: ", actions)
	}
	if actions = h.HandleLost("d", 9); len(actions) != 1 || actions[0].Stop == nil {
		t.Fatal("the loss of the role did not stop the work: ", actions)
	}
}
