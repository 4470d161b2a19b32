package lease

import (
	"fmt"
	"testing"
)

func do(t *testing.T, s *State, c Command) Result {
	t.Helper()
	return s.Apply(s.Index+1, c.Encode())
}

func TestTokensRiseForEver(t *testing.T) {
	s := NewState()
	last := uint64(0)
	for i := range 50 {
		duty := fmt.Sprint("d", i%3)
		d := s.Duties[duty]
		seen := uint64(0)
		if d != nil {
			seen = d.Token
		}
		r := do(t, s, Command{Kind: Grant, Duty: duty, Token: seen, To: "a"})
		if !r.OK || r.Duty.Token <= last {
			t.Fatal(r, last)
		}
		last = r.Duty.Token
		if r := do(t, s, Command{Kind: Grant, Duty: duty, Token: last, To: "b"}); r.OK {
			t.Fatal("two owners")
		}
		if r := do(t, s, Command{Kind: Progress, Duty: duty, Token: seen, Data: []byte("x")}); r.OK {
			t.Fatal("an old owner got on")
		}
		again := NewState() // a snapshot keeps where tokens stand
		if err := again.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		s = again
		if r := do(t, s, Command{Kind: []Kind{Release, Expire, Force}[i%3], Duty: duty, Token: last, To: ""}); !r.OK {
			t.Fatal(r)
		}
	}
}

func TestTwoOperatorsDoNotUndoEachOther(t *testing.T) {
	s := NewState()
	token := do(t, s, Command{Kind: Grant, Duty: "d", To: "a"}).Duty.Token
	if r := do(t, s, Command{Kind: Force, Duty: "d", Token: token, To: "b"}); !r.OK {
		t.Fatal(r)
	}
	for _, k := range []Kind{Force, Release, Expire} {
		if r := do(t, s, Command{Kind: k, Duty: "d", Token: token, To: "c"}); r.OK || r.Why != Stale {
			t.Fatal(k, r)
		}
	}
	if r := do(t, s, Command{Kind: Grant, Duty: "d", Token: token, To: "c"}); r.OK {
		t.Fatal("it is kept for b")
	}
	if r := do(t, s, Command{Kind: Grant, Duty: "d", Token: token, To: "b"}); !r.OK {
		t.Fatal(r)
	}
}

func TestUnsoundCommandsChangeNothing(t *testing.T) {
	s := NewState()
	do(t, s, Command{Kind: Define, Duty: "d"})
	was := string(s.Snapshot())
	for i, text := range [][]byte{[]byte("{"), []byte(`{"kind":"grant"}`), Command{Kind: Release, Duty: "nobody"}.Encode(),
		Command{Kind: "dance", Duty: "d"}.Encode(), Command{Kind: Progress, Duty: "d", Data: make([]byte, dataMost+1)}.Encode()} {
		if r := s.Apply(s.Index, text); r.OK {
			t.Error(i, r)
		}
	}
	if now := string(s.Snapshot()); now != was {
		t.Error(was, now)
	}
	for i := range 3 * historyMost {
		token := s.Duties["d"].Token
		do(t, s, Command{Kind: Grant, Duty: "d", Token: token, To: fmt.Sprint(i)})
		do(t, s, Command{Kind: Release, Duty: "d", Token: s.Duties["d"].Token})
	}
	if len(s.History) > historyMost {
		t.Error(len(s.History), "lines of history")
	}
}

func TestFewDutiesMoveWhenAnInstanceComes(t *testing.T) {
	among, moved := []string{"a", "b", "c", "d"}, 0
	count := map[string]int{}
	for i := range 1000 {
		duty := fmt.Sprint(i)
		count[Place(duty, among)]++
		if to := Place(duty, append(among, "e")); to != Place(duty, among) {
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
	do(t, s, Command{Kind: Grant, Duty: "d", To: "a"})
	g := NewGrantor(Usual, s)
	g.Lead(1000)
	if list := g.Turn(1000 + Usual.Lease); len(list) > 0 {
		t.Fatal("too soon: ", list)
	}
	if list := g.Turn(1001 + Usual.Lease*(1+Usual.Drift)); len(list) != 1 || list[0].Kind != Expire {
		t.Fatal(list)
	}
	if ok, _ := g.Renew(1002+Usual.Lease*(1+Usual.Drift), "d", 1, "a"); ok {
		t.Fatal("renewed while its end is on its way")
	}
	g.Follow()
	if g.Turn(1e9) != nil {
		t.Fatal("it does not lead")
	}
}

func TestADutyThatKillsItsOwnersIsHeldBack(t *testing.T) {
	s := NewState()
	g := NewGrantor(Usual, s)
	do(t, s, Command{Kind: Define, Duty: "d"})
	now := 0.0
	g.Lead(now)
	var waits []float64
	for life := range 4 {
		ended := now
		for granted := false; !granted; now += 50 {
			g.Asked(now, fmt.Sprint("a.", life), nil)
			for _, c := range g.Turn(now) {
				r := do(t, s, c)
				granted = granted || r.OK && c.Kind == Grant
			}
		}
		waits = append(waits, now-ended)
		for s.Duties["d"].Owner != "" { // it dies
			now += 50
			for _, c := range g.Turn(now) {
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
	}{{"a.1", 100, true}, {"a.2", 100, false}, {"a.1", Usual.Held + 500, false}} {
		s := NewState()
		g := NewGrantor(Usual, s)
		g.Lead(0)
		now := 0.0
		turn := func() (granted bool) {
			for _, c := range g.Turn(now) {
				r := do(t, s, c)
				granted = granted || r.OK && c.Kind == Grant
			}
			return granted
		}
		do(t, s, Command{Kind: Define, Duty: "d"})
		for rounds := range 3 {
			for g.Asked(now, "a.1", nil); !turn(); now += 20 {
				g.Asked(now, "a.1", nil)
			}
			for s.Duties["d"].Owner != "" { // nothing of it is heard
				now += 20
				turn()
			}
			ran, took := now, 0.0
			now += c.silent
			for took == 0 {
				g.Asked(now, c.life, nil)
				if turn() {
					took = now - ran
				}
				now += 20
			}
			if c.spared && (took > c.silent+50 || s.Duties["d"].Deaths != 0) || !c.spared && rounds == 0 && (took < Usual.Held || s.Duties["d"].Deaths != 1) {
				t.Errorf("%+v: granted %.0f ms after the lease had run out, %d deaths", c, took, s.Duties["d"].Deaths)
			}
			if c.spared != (s.History[len(s.History)-2].What == "spared") {
				t.Errorf("%+v: %v", c, s.History)
			}
			if !c.spared {
				break
			}
			do(t, s, Command{Kind: Release, Duty: "d", Token: s.Duties["d"].Token})
			now += 20
		}
	}
	s := NewState()
	do(t, s, Command{Kind: Grant, Duty: "d", To: "a"})
	if r := do(t, s, Command{Kind: Spare, Duty: "d", Token: 1, To: "a"}); r.OK {
		t.Error("spared while it is owned")
	}
	do(t, s, Command{Kind: Release, Duty: "d", Token: 1})
	if r := do(t, s, Command{Kind: Spare, Duty: "d", Token: 1, To: "a"}); r.OK {
		t.Error("there was no death to spare")
	}
}

func TestAHolderEndsBeforeItsGrantor(t *testing.T) {
	h := NewHolder(Usual)
	acts := h.Granted(500, 100, "d", 7, []byte("x"), false)
	if len(acts) != 1 || acts[0].Start == nil || string(acts[0].Start.Data) != "x" {
		t.Fatal(acts)
	}
	end := 100 + Usual.Lease*(1-Usual.Drift)
	if _, may := h.May(end-1, "d"); !may {
		t.Fatal("too soon")
	}
	if _, may := h.May(end, "d"); may {
		t.Fatal("the lease counts from the question")
	}
	if acts = h.Turn(end); len(acts) != 1 || acts[0].Stop == nil {
		t.Fatal(acts)
	}
	// What it has let run out it does not take up again, but lets the voters know, as they go on renewing it.
	if acts = h.Granted(end, end-10, "d", 7, nil, false); len(acts) != 1 || acts[0].Let == nil {
		t.Fatal("an old answer brought it back: ", acts)
	}
	if acts = h.Granted(end, end-10, "d", 6, nil, false); len(acts) != 0 {
		t.Fatal(acts)
	}
	h.Granted(end, end-10, "e", 8, nil, false)
	if acts = h.Granted(end, end-5, "e", 8, nil, true); len(acts) != 1 || acts[0].Finish == nil {
		t.Fatal(acts)
	}
	h.Released("e")
	if acts = h.Granted(end, end-1, "e", 8, nil, false); len(acts) != 1 || acts[0].Let == nil {
		t.Fatal("an old answer brought it back: ", acts)
	}
	if acts = h.Granted(end, end-1, "d", 8, nil, false); len(acts) != 1 {
		t.Fatal(acts)
	}
	if acts = h.Lost("d", 9); len(acts) != 1 || acts[0].Stop == nil {
		t.Fatal(acts)
	}
}
