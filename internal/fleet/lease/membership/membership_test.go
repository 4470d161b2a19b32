package membership

import (
	"slices"
	"testing"
)

var names = []string{"a", "b", "c"}

func hello(name string, id, group uint64) Hello { return Hello{Name: name, ID: id, Group: group} }

func TestAGroupIsFoundedOnceByTheFirst(t *testing.T) {
	a, b := New(Usual, hello("a", 1, 0), names, 0), New(Usual, hello("b", 2, 0), names, 0)
	a.Heard(100, hello("b", 2, 0))
	if _, due := a.Turn(200, View{}); due {
		t.Fatal("c has not spoken")
	}
	a.Heard(300, hello("c", 3, 0))
	s, due := a.Turn(400, View{})
	if !due || s.Kind != Found || len(s.Voters) != 3 || s.Voters[3] != "c" {
		t.Fatal(s, due)
	}
	b.Heard(300, hello("a", 1, 0))
	b.Heard(300, hello("c", 3, 0))
	if s, due := b.Turn(400, View{}); due {
		t.Fatal("the second founds: ", s)
	}
	b.Heard(500, Hello{Name: "a", ID: 1, Group: 9, Voters: s.Voters})
	if s, due := b.Turn(600, View{}); !due || s.Kind != Adopt || s.Group != 9 || len(s.Voters) != 3 {
		t.Fatal(s, due)
	}
	// Who lost its disk between its word and the founding is not named by it: it learns.
	lost := New(Usual, hello("c", 4, 0), names, 0)
	lost.Heard(500, Hello{Name: "a", ID: 1, Group: 9, Voters: s.Voters})
	if s, due := lost.Turn(600, View{}); !due || s.Kind != Adopt || s.Voters != nil {
		t.Fatal(s, due)
	}
	// A copied disk founds nothing.
	twice := New(Usual, hello("a", 1, 0), names, 0)
	twice.Heard(100, hello("b", 2, 0))
	twice.Heard(100, hello("c", 2, 0))
	if s, due := twice.Turn(200, View{}); due {
		t.Fatal(s)
	}
}

func TestALostDiskComesBackAsALearner(t *testing.T) {
	r := New(Usual, hello("a", 1, 9), names, 0)
	v := View{Leading: true, Voters: []uint64{1, 2, 3}, Names: map[uint64]string{1: "a", 2: "b", 3: "c"}, Caught: func(uint64) bool { return true }}
	r.Heard(1000, hello("b", 2, 9))
	r.Heard(1000, hello("c", 3, 9))
	if s, due := r.Turn(1000, v); due {
		t.Fatal("all is well, and yet: ", s)
	}
	now := 2000.0
	var steps []Kind
	for range 40 {
		now += 500
		r.Heard(now, hello("b", 2, 9))
		r.Heard(now, hello("c", 33, 9)) // c, with another disk
		s, due := r.Turn(now, v)
		if !due {
			continue
		}
		steps = append(steps, s.Kind)
		switch s.Kind {
		case Name:
			v.Names[s.ID] = s.Who
		case Learn:
			v.Learners = append(v.Learners, s.ID)
		case Promote:
			if s.Gone != 3 || now < 1000+Usual.Gone {
				t.Fatal("replaced at", now, s)
			}
			v.Voters, v.Learners = []uint64{1, 2, 33}, nil
		}
	}
	if !slices.Equal(steps, []Kind{Name, Learn, Promote}) {
		t.Fatal(steps)
	}
}

// Two processes under one name: the one that votes is heard of, so the other stays a learner for good.
func TestTwoOfOneNameDoNotPushEachOtherOut(t *testing.T) {
	r := New(Usual, hello("a", 1, 9), names, 0)
	v := View{Leading: true, Voters: []uint64{1, 2, 3}, Learners: []uint64{33}, Names: map[uint64]string{1: "a", 2: "b", 3: "c", 33: "c"},
		Caught: func(uint64) bool { return true }}
	for now := 1000.0; now < 60000; now += 1000 {
		r.Heard(now, hello("c", 3, 9))
		r.Heard(now+500, hello("c", 33, 9))
		if s, due := r.Turn(now+500, v); due {
			t.Fatal(now, s)
		}
	}
}

func TestWhoIsNotNamedOrOfAnotherGroupIsNotListenedTo(t *testing.T) {
	r := New(Usual, hello("a", 1, 9), names, 0)
	v := View{Leading: true, Voters: []uint64{1, 2, 3}, Names: map[uint64]string{1: "a", 2: "b", 3: "c"}, Caught: func(uint64) bool { return true }}
	r.Heard(100, hello("z", 7, 9))
	r.Heard(100, hello("c", 8, 5))
	r.Heard(100, hello("a", 4, 9))
	for now := 100.0; now < 30000; now += 1000 {
		if s, due := r.Turn(now, v); due {
			t.Fatal(s)
		}
	}
	if r.Of("z") != 0 || r.Who(8) != "c" || r.Of("c") != 8 {
		t.Error("what was heard of c is", r.Of("c"))
	}
}
