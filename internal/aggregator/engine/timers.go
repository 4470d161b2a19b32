package engine

// timer is a function that runs at a given time. A timer that is no longer needed is removed,
// because it would keep the objects it refers to in memory: most timers expire seconds later, while
// what they watch over ends within milliseconds.
type timer struct {
	dueAt     float64 // ms of the loop
	run       func(e *Engine)
	heapIndex int // -1: not in the heap
}

// timers is a binary heap of timers, ordered by dueAt.
type timers []*timer

// add schedules run to be called at a time.
func (timers *timers) add(at float64, run func(e *Engine)) *timer {
	timer := &timer{at, run, len(*timers)}
	*timers = append(*timers, timer)
	timers.siftUp(timer.heapIndex)
	return timer
}

// popEarliest removes and returns the earliest timer.
func (timers *timers) popEarliest() *timer {
	first := (*timers)[0]
	timers.cancel(first)
	return first
}

// cancel cancels a timer. It has no effect on nil or on a timer that is no longer in the heap.
func (timers *timers) cancel(timer *timer) {
	if timer == nil || timer.heapIndex < 0 {
		return
	}
	heap, i, last := *timers, timer.heapIndex, len(*timers)-1
	heap[i] = heap[last]
	heap[i].heapIndex = i
	heap[last] = nil
	*timers = heap[:last]
	if timer.heapIndex = -1; i < last {
		timers.siftDown(i)
		timers.siftUp(i)
	}
}

// siftUp moves a timer towards the root until its parent is not later.
func (timers timers) siftUp(i int) {
	for ; i > 0 && timers[i].dueAt < timers[(i-1)/2].dueAt; i = (i - 1) / 2 {
		timers.swap(i, (i-1)/2)
	}
}

// siftDown moves a timer towards the leaves until none of its children is earlier.
func (timers timers) siftDown(i int) {
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
