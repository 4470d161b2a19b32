package membership

import (
	"slices"
	"testing"
)

var names = []string{"a", "b", "c"}

func hello(name string, id, group uint64) Hello {
	return Hello{Name: name, VoterID: id, GroupID: group}
}

func TestFirstVoterBootstrapsGroupOnce(t *testing.T) {
	a, b := New(DefaultConfig, hello("a", 1, 0), names, 0), New(DefaultConfig, hello("b", 2, 0), names, 0)
	a.HandleHello(100, hello("b", 2, 0))
	if _, due := a.NextStep(200, View{}); due {
		t.Fatal("c has not said hello")
	}
	a.HandleHello(300, hello("c", 3, 0))
	s, due := a.NextStep(400, View{})
	if !due || s.Kind != StepBootstrap || len(s.Founders) != 3 || s.Founders[3] != "c" {
		t.Fatal(s, due)
	}
	b.HandleHello(300, hello("a", 1, 0))
	b.HandleHello(300, hello("c", 3, 0))
	if s, due := b.NextStep(400, View{}); due {
		t.Fatal("the second founds: ", s)
	}
	b.HandleHello(500, Hello{Name: "a", VoterID: 1, GroupID: 9, Founders: s.Founders})
	if s, due := b.NextStep(600, View{}); !due || s.Kind != StepJoin || s.GroupID != 9 || len(s.Founders) != 3 {
		t.Fatal(s, due)
	}
	// A voter that lost its disk between its hello and the founding is not named by it: it learns.
	lost := New(DefaultConfig, hello("c", 4, 0), names, 0)
	lost.HandleHello(500, Hello{Name: "a", VoterID: 1, GroupID: 9, Founders: s.Founders})
	if s, due := lost.NextStep(600, View{}); !due || s.Kind != StepJoin || s.Founders != nil {
		t.Fatal(s, due)
	}
	// With a copied disk no group is founded.
	twice := New(DefaultConfig, hello("a", 1, 0), names, 0)
	twice.HandleHello(100, hello("b", 2, 0))
	twice.HandleHello(100, hello("c", 2, 0))
	if s, due := twice.NextStep(200, View{}); due {
		t.Fatal(s)
	}
}

func TestLostDiskComesBackAsLearner(t *testing.T) {
	r := New(DefaultConfig, hello("a", 1, 9), names, 0)
	v := View{IsLeader: true, Voters: []uint64{1, 2, 3}, VoterNames: map[uint64]string{1: "a", 2: "b", 3: "c"}, CaughtUp: func(uint64) bool { return true }}
	r.HandleHello(1000, hello("b", 2, 9))
	r.HandleHello(1000, hello("c", 3, 9))
	if s, due := r.NextStep(1000, v); due {
		t.Fatal("all voters are members, and yet: ", s)
	}
	now := 2000.0
	var steps []StepKind
	for range 40 {
		now += 500
		r.HandleHello(now, hello("b", 2, 9))
		r.HandleHello(now, hello("c", 33, 9)) // c, with another disk
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
				t.Fatal("replaced at", now, s)
			}
			v.Voters, v.Learners = []uint64{1, 2, 33}, nil
		}
	}
	if !slices.Equal(steps, []StepKind{StepNameVoter, StepAddLearner, StepPromote}) {
		t.Fatal(steps)
	}
}

// Two processes under one name: the one that votes says hello, so the other stays a learner for good.
func TestTwoVotersOfOneNameDoNotReplaceEachOther(t *testing.T) {
	r := New(DefaultConfig, hello("a", 1, 9), names, 0)
	v := View{IsLeader: true, Voters: []uint64{1, 2, 3}, Learners: []uint64{33}, VoterNames: map[uint64]string{1: "a", 2: "b", 3: "c", 33: "c"},
		CaughtUp: func(uint64) bool { return true }}
	for now := 1000.0; now < 60000; now += 1000 {
		r.HandleHello(now, hello("c", 3, 9))
		r.HandleHello(now+500, hello("c", 33, 9))
		if s, due := r.NextStep(now+500, v); due {
			t.Fatal(now, s)
		}
	}
}

func TestHelloOfStrangerIsIgnored(t *testing.T) {
	r := New(DefaultConfig, hello("a", 1, 9), names, 0)
	v := View{IsLeader: true, Voters: []uint64{1, 2, 3}, VoterNames: map[uint64]string{1: "a", 2: "b", 3: "c"}, CaughtUp: func(uint64) bool { return true }}
	r.HandleHello(100, hello("z", 7, 9))
	r.HandleHello(100, hello("c", 8, 5))
	r.HandleHello(100, hello("a", 4, 9))
	for now := 100.0; now < 30000; now += 1000 {
		if s, due := r.NextStep(now, v); due {
			t.Fatal(s)
		}
	}
	if r.VoterID("z") != 0 || r.VoterName(8) != "c" || r.VoterID("c") != 8 {
		t.Error("the latest id of c is", r.VoterID("c"))
	}
}
