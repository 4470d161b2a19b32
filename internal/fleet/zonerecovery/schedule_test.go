package zonerecovery

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time, so that a verdict stays; others with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

func share(t *testing.T, data []byte, site int) float64 {
	t.Helper()
	list, err := Read(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range list {
		if s.Site == site {
			return s.Share
		}
	}
	return -1
}

func TestAReturnGoesByStepsAndFallsBackOnHarm(t *testing.T) {
	p := New(Usual, nil, 0)
	p.Saw(100, "a", 1, true)
	if _, changed := p.Turn(150); changed {
		t.Fatal("one instance's word alone lost a site")
	}
	p.Saw(200, "b", 1, true)
	d, _ := p.Turn(250)
	if share(t, d, 1) != 0 {
		t.Fatal(string(d))
	}
	p.Saw(3000, "a", 1, false)
	if d, _ = p.Turn(3000); share(t, d, 1) != -1 {
		// b still says lost, a says heard: a tie goes to who heard, as a's word is the newer evidence
		if share(t, d, 1) != 0.25 {
			t.Fatal(string(d))
		}
	}
	p.Saw(3100, "b", 1, false)
	p.Turn(3100)
	if d, changed := p.Turn(3900); changed && share(t, d, 1) > 0.25 {
		t.Fatal("a step too early: ", string(d))
	}
	d, _ = p.Turn(4100)
	if share(t, d, 1) != 0.5 {
		t.Fatal(string(d))
	}
	p.Saw(4200, "a", 1, true)
	p.Saw(4300, "c", 1, true)
	if d, _ = p.Turn(4300); share(t, d, 1) != 0 {
		t.Fatal("harm stops nothing: ", string(d))
	}
	for _, who := range []string{"a", "b", "c"} {
		p.Saw(6000, who, 1, false)
	}
	d, _ = p.Turn(6000)
	if share(t, d, 1) != 0.25 {
		t.Fatal(string(d))
	}
	if d, changed := p.Turn(7500); changed && share(t, d, 1) > 0.25 {
		t.Fatal("the second return is as quick as the first")
	}
	if d, changed := p.Turn(8000); !changed || share(t, d, 1) != 0.5 {
		t.Fatal(string(d), changed)
	}
	// The next owner goes on from there, and waits a step of its own.
	next := New(Usual, []byte(`[{"site":1,"share":0.5,"falls":2}]`), 50)
	if d, changed := next.Turn(2000); changed && share(t, d, 1) > 0.5 {
		t.Fatal("a new owner raised a stage that it saw nothing of")
	}
	if d, _ := next.Turn(2050); share(t, d, 1) != 0.75 {
		t.Fatal(string(d))
	}
	if p := New(Usual, []byte("rubbish"), 0); len(p.sites) != 0 {
		t.Fatal("rubbish paces something")
	}
}

// Whatever is said: a share rises by one step at a time, and never sooner than a step after the last change.
func TestStagesNeverJump(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now, was, since := New(Usual, nil, 0), 0.0, 1.0, 0.0
		for range 200 {
			now += float64(rapid.IntRange(1, 700).Draw(t, "ms"))
			p.Saw(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who"), 0, rapid.Bool().Draw(t, "lost"))
			d, changed := p.Turn(now)
			if !changed {
				continue
			}
			list, _ := Read(d)
			is := 1.0
			for _, s := range list {
				is = s.Share
			}
			if is > was+1/float64(Usual.Steps)+1e-9 || is > was && was > 0 && now < since+Usual.Step {
				t.Fatalf("from %v to %v after %.0f ms", was, is, now-since)
			}
			if is != was {
				was, since = is, now
			}
		}
	})
}
