package zonerecovery

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed so that each run checks the same cases; -rapid.seed selects others.
func init() { flag.Set("rapid.seed", "1") }

// publishedShare returns the share of a site in published stages, or -1 if the site has no stage.
func publishedShare(t *testing.T, data []byte, site int) float64 {
	t.Helper()
	stages, err := ParseStages(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range stages {
		if s.Site == site {
			return s.Share
		}
	}
	return -1
}

func TestRecoveryAdvancesInStepsAndFallsBackOnLoss(t *testing.T) {
	schedule := New(DefaultConfig, nil, 0)
	schedule.Observe(100, "a", 1, true)
	if _, changed := schedule.Advance(150); changed {
		t.Fatal("the report of a single instance has changed a stage")
	}
	schedule.Observe(200, "b", 1, true)
	data, _ := schedule.Advance(250)
	if publishedShare(t, data, 1) != 0 {
		t.Fatal("two reports of a loss have not set the share to 0: ", string(data))
	}
	schedule.Observe(3000, "a", 1, false)
	if data, _ = schedule.Advance(3000); publishedShare(t, data, 1) != -1 {
		// b has reported a loss and a later a healthy site. A tie counts as healthy, as the report of a is newer evidence.
		if publishedShare(t, data, 1) != 0.25 {
			t.Fatal("the share is not at the first step: ", string(data))
		}
	}
	schedule.Observe(3100, "b", 1, false)
	schedule.Advance(3100)
	if data, changed := schedule.Advance(3900); changed && publishedShare(t, data, 1) > 0.25 {
		t.Fatal("the share has risen before the step was over: ", string(data))
	}
	data, _ = schedule.Advance(4100)
	if publishedShare(t, data, 1) != 0.5 {
		t.Fatal("the share is not at the second step: ", string(data))
	}
	schedule.Observe(4200, "a", 1, true)
	schedule.Observe(4300, "c", 1, true)
	if data, _ = schedule.Advance(4300); publishedShare(t, data, 1) != 0 {
		t.Fatal("two reports of a loss have not set the share to 0: ", string(data))
	}
	for _, instance := range []string{"a", "b", "c"} {
		schedule.Observe(6000, instance, 1, false)
	}
	data, _ = schedule.Advance(6000)
	if publishedShare(t, data, 1) != 0.25 {
		t.Fatal("the share is not at the first step after the second loss: ", string(data))
	}
	if data, changed := schedule.Advance(7500); changed && publishedShare(t, data, 1) > 0.25 {
		t.Fatal("the second recovery has not been slower than the first")
	}
	if data, changed := schedule.Advance(8000); !changed || publishedShare(t, data, 1) != 0.5 {
		t.Fatal("the share has not risen after the longer step: ", string(data), ", changed: ", changed)
	}
	// The next role holder continues from the published stage, and waits for a full step first.
	successor := New(DefaultConfig, []byte(`[{"site":1,"share":0.5,"falls":2}]`), 50)
	if data, changed := successor.Advance(2000); changed && publishedShare(t, data, 1) > 0.5 {
		t.Fatal("the new role holder has raised the share before a full step was over")
	}
	if data, _ := successor.Advance(2050); publishedShare(t, data, 1) != 0.75 {
		t.Fatal("the share has not risen once the new role holder has waited for a full step: ", string(data))
	}
	if schedule := New(DefaultConfig, []byte("rubbish"), 0); len(schedule.sites) != 0 {
		t.Fatal("malformed data has created a stage")
	}
}

// Whatever is reported, a share rises by one step at a time, and a rise from above 0 comes no sooner than one step's time after the
// last change.
func TestStagesNeverJump(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule, now, previousShare, changedAt := New(DefaultConfig, nil, 0), 0.0, 1.0, 0.0
		for range 200 {
			now += float64(rapid.IntRange(1, 700).Draw(t, "ms"))
			schedule.Observe(now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance"), 0, rapid.Bool().Draw(t, "lost"))
			data, changed := schedule.Advance(now)
			if !changed {
				continue
			}
			stages, _ := ParseStages(data)
			share := 1.0
			for _, s := range stages {
				share = s.Share
			}
			if share > previousShare+1/float64(DefaultConfig.Steps)+1e-9 ||
				share > previousShare && previousShare > 0 && now < changedAt+DefaultConfig.MinStepMs {
				t.Fatalf("the share has risen from %v to %v, %.0f ms after the last change", previousShare, share, now-changedAt)
			}
			if share != previousShare {
				previousShare, changedAt = share, now
			}
		}
	})
}
