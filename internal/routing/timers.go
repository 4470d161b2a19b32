package routing

// timer says whom a time concerns. Timers are never taken back: who is called looks whether it still matters.
type timer struct {
	at  float64
	due func(r *Router)
}

// timers is a heap, the soonest first.
type timers []timer

func (t *timers) add(at float64, due func(r *Router)) {
	h := append(*t, timer{at, due})
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if h[up].at <= h[i].at {
			break
		}
		h[up], h[i] = h[i], h[up]
		i = up
	}
	*t = h
}

func (t *timers) take() timer {
	h := *t
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], timer{}
	h = h[:last]
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			break
		}
		if down+1 < last && h[down+1].at < h[down].at {
			down++
		}
		if h[i].at <= h[down].at {
			break
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
	*t = h
	return first
}
