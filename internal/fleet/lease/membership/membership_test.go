package membership

import (
	"slices"
	"testing"
)

// names lists the voters in the order of the operator's file.
var names = []string{"a", "b", "c"}

// hello returns the hello of a voter; group is 0 if its disk belongs to no group.
func hello(name string, id, group uint64) Hello {
	return Hello{Name: name, VoterID: id, GroupID: group}
}

func TestFirstVoterBootstrapsGroupOnce(t *testing.T) {
	a, b := New(DefaultConfig, hello("a", 1, 0), names, 0), New(DefaultConfig, hello("b", 2, 0), names, 0)
	a.HandleHello(100, hello("b", 2, 0))
	if _, due := a.NextStep(200, View{}); due {
		t.Fatal("a took a step although c has not sent a hello")
	}
	a.HandleHello(300, hello("c", 3, 0))
	s, due := a.NextStep(400, View{})
	if !due || s.Kind != StepBootstrap || len(s.Founders) != 3 || s.Founders[3] != "c" {
		t.Fatal("the first voter does not bootstrap the group: ", s, due)
	}
	b.HandleHello(300, hello("a", 1, 0))
	b.HandleHello(300, hello("c", 3, 0))
	if s, due := b.NextStep(400, View{}); due {
		t.Fatal("a voter other than the first took a step before the bootstrap: ", s)
	}
	b.HandleHello(500, Hello{Name: "a", VoterID: 1, GroupID: 9, Founders: s.Founders})
	if s, due := b.NextStep(600, View{}); !due || s.Kind != StepJoin || s.GroupID != 9 || len(s.Founders) != 3 {
		t.Fatal("b does not join the new group as a founder: ", s, due)
	}
	// A voter that lost its disk between its hello and the bootstrap is not among the founders, and
	// joins as a learner.
	lost := New(DefaultConfig, hello("c", 4, 0), names, 0)
	lost.HandleHello(500, Hello{Name: "a", VoterID: 1, GroupID: 9, Founders: s.Founders})
	if s, due := lost.NextStep(600, View{}); !due || s.Kind != StepJoin || s.Founders != nil {
		t.Fatal("a voter with a new disk does not join as a learner: ", s, due)
	}
	// No group is bootstrapped if one voter's disk is a copy of another's.
	withCopy := New(DefaultConfig, hello("a", 1, 0), names, 0)
	withCopy.HandleHello(100, hello("b", 2, 0))
	withCopy.HandleHello(100, hello("c", 2, 0))
	if s, due := withCopy.NextStep(200, View{}); due {
		t.Fatal("a step was taken although two voters have the same id: ", s)
	}
}

func TestLostDiskComesBackAsLearner(t *testing.T) {
	r := New(DefaultConfig, hello("a", 1, 9), names, 0)
	v := View{IsLeader: true, Voters: []uint64{1, 2, 3}, VoterNames: map[uint64]string{1: "a", 2: "b", 3: "c"},
		CaughtUp: func(uint64) bool { return true }}
	r.HandleHello(1000, hello("b", 2, 9))
	r.HandleHello(1000, hello("c", 3, 9))
	if s, due := r.NextStep(1000, v); due {
		t.Fatal("a step was taken although all voters are members: ", s)
	}
	now := 2000.0
	var steps []StepKind
	for range 40 {
		now += 500
		r.HandleHello(now, hello("b", 2, 9))
		r.HandleHello(now, hello("c", 33, 9)) // c with a new disk
		s, due := r.NextStep(now, v)
		if !due {
			continue
		}
		steps = append(steps, s.Kind)
		switch s.Kind {
		case StepNameVoter:
			v.VoterNames[s.VoterID] = s.Name
		case StepAddLearner:
			v.Learners = append(v.Learners, s.VoterID)
		case StepPromote:
			if s.ReplacedID != 3 || now < 1000+DefaultConfig.ReplaceAfterMs {
				t.Fatalf("at %.0f ms a voter was promoted too early or in the place of another: %+v", now, s)
			}
			v.Voters, v.Learners = []uint64{1, 2, 33}, nil
		}
	}
	if !slices.Equal(steps, []StepKind{StepNameVoter, StepAddLearner, StepPromote}) {
		t.Fatal("the steps to readmit c differ from name, add learner, promote: ", steps)
	}
}

// TestTwoVotersOfOneNameDoNotReplaceEachOther runs two processes under the same name. While the one
// that votes keeps sending hellos, the other must stay a learner.
func TestTwoVotersOfOneNameDoNotReplaceEachOther(t *testing.T) {
	r := New(DefaultConfig, hello("a", 1, 9), names, 0)
	v := View{IsLeader: true, Voters: []uint64{1, 2, 3}, Learners: []uint64{33},
		VoterNames: map[uint64]string{1: "a", 2: "b", 3: "c", 33: "c"}, CaughtUp: func(uint64) bool { return true }}
	for now := 1000.0; now < 60000; now += 1000 {
		r.HandleHello(now, hello("c", 3, 9))
		r.HandleHello(now+500, hello("c", 33, 9))
		if s, due := r.NextStep(now+500, v); due {
			t.Fatalf("at %.0f ms a step was taken although the voter c is alive: %+v", now, s)
		}
	}
}

// TestUnexpectedHelloCausesNoStep sends hellos of a voter that is not in the operator's file, of a
// voter in another group, and under the receiver's own name.
func TestUnexpectedHelloCausesNoStep(t *testing.T) {
	r := New(DefaultConfig, hello("a", 1, 9), names, 0)
	v := View{IsLeader: true, Voters: []uint64{1, 2, 3}, VoterNames: map[uint64]string{1: "a", 2: "b", 3: "c"},
		CaughtUp: func(uint64) bool { return true }}
	r.HandleHello(100, hello("z", 7, 9))
	r.HandleHello(100, hello("c", 8, 5))
	r.HandleHello(100, hello("a", 4, 9))
	for now := 100.0; now < 30000; now += 1000 {
		if s, due := r.NextStep(now, v); due {
			t.Fatalf("at %.0f ms a step was taken: %+v", now, s)
		}
	}
	if r.VoterID("z") != 0 || r.VoterName(8) != "c" || r.VoterID("c") != 8 {
		t.Errorf("id of z: %d, want 0; name of id 8: %q, want c; id of c: %d, want 8", r.VoterID("z"), r.VoterName(8), r.VoterID("c"))
	}
}
