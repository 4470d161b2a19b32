package engine

// timer says whom a time concerns. One that no longer matters is taken back, or it would keep alive what it concerns:
// most times are seconds off, and what they stand for is over within milliseconds.
type timer struct {
	at  float64
	due func(r *Router)
	pos int // in the heap, or -1
}

// timers is a heap, the soonest first.
type timers []*timer

func (t *timers) add(at float64, due func(r *Router)) *timer {
	e := &timer{at, due, len(*t)}
	*t = append(*t, e)
	t.up(e.pos)
	return e
}

func (t *timers) take() *timer {
	first := (*t)[0]
	t.drop(first)
	return first
}

// drop takes a timer back, if it is there still.
func (t *timers) drop(e *timer) {
	if e == nil || e.pos < 0 {
		return
	}
	h, i, last := *t, e.pos, len(*t)-1
	h[i] = h[last]
	h[i].pos = i
	h[last] = nil
	*t = h[:last]
	if e.pos = -1; i < last {
		t.down(i)
		t.up(i)
	}
}

func (t timers) up(i int) {
	for ; i > 0 && t[i].at < t[(i-1)/2].at; i = (i - 1) / 2 {
		t.swap(i, (i-1)/2)
	}
}

func (t timers) down(i int) {
	for {
		least := 2*i + 1
		if least >= len(t) {
			return
		}
		if least+1 < len(t) && t[least+1].at < t[least].at {
			least++
		}
		if t[i].at <= t[least].at {
			return
		}
		t.swap(i, least)
		i = least
	}
}

func (t timers) swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].pos, t[j].pos = i, j
}
