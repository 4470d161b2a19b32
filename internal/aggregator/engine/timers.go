package engine

// timer says whom a time concerns. One that no longer matters is taken back, or it would keep alive
// what it concerns: most times are seconds off, and what they stand for is over within
// milliseconds.
type timer struct {
	dueAt     float64
	due       func(e *Engine)
	heapIndex int // in the heap, or -1
}

// timers is a heap, the soonest first.
type timers []*timer

func (timers *timers) add(at float64, due func(e *Engine)) *timer {
	timer := &timer{at, due, len(*timers)}
	*timers = append(*timers, timer)
	timers.up(timer.heapIndex)
	return timer
}

func (timers *timers) take() *timer {
	first := (*timers)[0]
	timers.drop(first)
	return first
}

// drop takes a timer back, if it is there still.
func (timers *timers) drop(timer *timer) {
	if timer == nil || timer.heapIndex < 0 {
		return
	}
	h, i, last := *timers, timer.heapIndex, len(*timers)-1
	h[i] = h[last]
	h[i].heapIndex = i
	h[last] = nil
	*timers = h[:last]
	if timer.heapIndex = -1; i < last {
		timers.down(i)
		timers.up(i)
	}
}

func (timers timers) up(i int) {
	for ; i > 0 && timers[i].dueAt < timers[(i-1)/2].dueAt; i = (i - 1) / 2 {
		timers.swap(i, (i-1)/2)
	}
}

func (timers timers) down(i int) {
	for {
		smallest := 2*i + 1
		if smallest >= len(timers) {
			return
		}
		if smallest+1 < len(timers) && timers[smallest+1].dueAt < timers[smallest].dueAt {
			smallest++
		}
		if timers[i].dueAt <= timers[smallest].dueAt {
			return
		}
		timers.swap(i, smallest)
		i = smallest
	}
}

func (timers timers) swap(i, j int) {
	timers[i], timers[j] = timers[j], timers[i]
	timers[i].heapIndex, timers[j].heapIndex = i, j
}
