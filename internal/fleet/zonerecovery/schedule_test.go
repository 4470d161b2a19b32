package zonerecovery

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time, so that a verdict stays; others with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

func publishedShare(t *testing.T, data []byte, site int) float64 {
	t.Helper()
	list, err := ParseStages(data)
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

func TestRecoveryAdvancesInStepsAndFallsBackOnLoss(t *testing.T) {
	p := New(DefaultConfig, nil, 0)
	p.Observe(100, "a", 1, true)
	if _, changed := p.Advance(150); changed {
		t.Fatal("one instance's report alone lost a site")
	}
	p.Observe(200, "b", 1, true)
	d, _ := p.Advance(250)
	if publishedShare(t, d, 1) != 0 {
		t.Fatal(string(d))
	}
	p.Observe(3000, "a", 1, false)
	if d, _ = p.Advance(3000); publishedShare(t, d, 1) != -1 {
		// b still reports a loss, a an answer: a tie goes to the answer, as a's report is the newer evidence
		if publishedShare(t, d, 1) != 0.25 {
			t.Fatal(string(d))
		}
	}
	p.Observe(3100, "b", 1, false)
	p.Advance(3100)
	if d, changed := p.Advance(3900); changed && publishedShare(t, d, 1) > 0.25 {
		t.Fatal("a step too early: ", string(d))
	}
	d, _ = p.Advance(4100)
	if publishedShare(t, d, 1) != 0.5 {
		t.Fatal(string(d))
	}
	p.Observe(4200, "a", 1, true)
	p.Observe(4300, "c", 1, true)
	if d, _ = p.Advance(4300); publishedShare(t, d, 1) != 0 {
		t.Fatal("losses stop nothing: ", string(d))
	}
	for _, who := range []string{"a", "b", "c"} {
		p.Observe(6000, who, 1, false)
	}
	d, _ = p.Advance(6000)
	if publishedShare(t, d, 1) != 0.25 {
		t.Fatal(string(d))
	}
	if d, changed := p.Advance(7500); changed && publishedShare(t, d, 1) > 0.25 {
		t.Fatal("the second recovery is as quick as the first")
	}
	if d, changed := p.Advance(8000); !changed || publishedShare(t, d, 1) != 0.5 {
		t.Fatal(string(d), changed)
	}
	// The next holder continues from there, and waits a step of its own.
	next := New(DefaultConfig, []byte(`[{"site":1,"share":0.5,"falls":2}]`), 50)
	if d, changed := next.Advance(2000); changed && publishedShare(t, d, 1) > 0.5 {
		t.Fatal("a new holder raised a stage of which it has no report")
	}
	if d, _ := next.Advance(2050); publishedShare(t, d, 1) != 0.75 {
		t.Fatal(string(d))
	}
	if p := New(DefaultConfig, []byte("rubbish"), 0); len(p.sites) != 0 {
		t.Fatal("malformed data holds a site back")
	}
}

// Whatever is reported: a share rises by one step at a time, and never sooner than a step after the last change.
func TestStagesNeverJump(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now, was, since := New(DefaultConfig, nil, 0), 0.0, 1.0, 0.0
		for range 200 {
			now += float64(rapid.IntRange(1, 700).Draw(t, "ms"))
			p.Observe(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who"), 0, rapid.Bool().Draw(t, "lost"))
			d, changed := p.Advance(now)
			if !changed {
				continue
			}
			list, _ := ParseStages(d)
			is := 1.0
			for _, s := range list {
				is = s.Share
			}
			if is > was+1/float64(DefaultConfig.Steps)+1e-9 || is > was && was > 0 && now < since+DefaultConfig.MinStepMs {
				t.Fatalf("from %v to %v after %.0f ms", was, is, now-since)
			}
			if is != was {
				was, since = is, now
			}
		}
	})
}
