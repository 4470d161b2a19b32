package window

import "testing"

func TestSumsBoundTheAddedValues(t *testing.T) {
	c := NewCounts(10, 100)
	for now := 0.0; now < 2000; now += 50 {
		c.Add(now, 1)
	}
	if got := c.Sum(1950, 500); got < 10 || got > 12 {
		t.Errorf("Sum: %v, want at least the 10 that were added", got)
	}
	if got := c.SumWithin(1950, 500); got > 11 || got < 8 {
		t.Errorf("SumWithin: %v, want at most what was added", got)
	}
	if got := c.Sum(5000, 500); got != 0 {
		t.Errorf("Sum after the values expired: %v, want 0", got)
	}
}

func TestQuantileExcludesExpiredValues(t *testing.T) {
	h := NewHistogram(4, 100, 1, 1.1, 60)
	for v := 1.0; v <= 100; v++ {
		h.Add(0, v)
	}
	if v, n := h.Quantile(50, 0.9); n != 100 || v < 85 || v > 95 {
		t.Errorf("%v of %d, want about 90 of 100", v, n)
	}
	h.Add(420, 30)
	if v, n := h.Quantile(420, 0.5); n != 1 || v < 27 || v > 33 {
		t.Errorf("%v of %d, want about 30 of 1", v, n)
	}
}
