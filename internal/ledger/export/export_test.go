package export

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
)

// modelState is one state of exporter, disk, network and sink, all of it values: a copy is a state of its own.
type modelState struct {
	cursor        Cursor // durable
	intent        Intent // durable; Batch 0: none
	entries       uint64
	running       Machine // of the process that runs
	runningIntent Intent  // what running.intent points to
	puts          [2]Intent
	answers       [2]Intent // Batch 0: none
	sink          [4]Intent // by batch, the first is 1
	crashes       int
	duplicates    int
	staleAnswers  int
}

const (
	maxEntriesInModel = 4
	maxCrashes        = 2
	maxDuplicates     = 1
	maxStaleAnswers   = 1
)

func rangeHash(from, to uint64) uint64 { return from*100 + to }

// machine returns the running machine with pointers of its own.
func (w *modelState) machine() *Machine {
	m := w.running
	if m.intent != nil {
		i := w.runningIntent
		m.intent = &i
	}
	return &m
}

func (w modelState) withMachine(m *Machine) modelState {
	w.running = *m
	if m.intent != nil {
		w.runningIntent = *m.intent
		w.running.intent = &Intent{} // that there is one; its value is in runningIntent
	}
	return w
}

func (w modelState) key() string {
	has := w.running.intent != nil
	w.running.intent = nil
	w.running.RejectedAnswers = 0
	return fmt.Sprint(w, has)
}

// successors returns every state that one event leads to.
func (w modelState) successors() (list []modelState) {
	if w.entries < maxEntriesInModel { // the broker goes on serving
		n := w
		n.entries++
		list = append(list, n)
	}
	for _, maxEntries := range []int{1, 3} { // the bound of a batch may change between steps, as the operator changes it
		list = append(list, w.afterStep(maxEntries)...)
	}
	for i, put := range w.puts {
		if put.Batch > 0 {
			list = append(list, w.afterPut(i)...)
		}
	}
	for i, answer := range w.answers {
		if answer.Batch > 0 {
			list = append(list, w.afterAnswer(i)...)
		}
	}
	if w.staleAnswers < maxStaleAnswers && w.cursor.Batch > 0 { // a receiver that says 200 about an older batch
		m := w.machine()
		m.HandleAnswer(w.cursor.Batch, w.sink[w.cursor.Batch-1].Hash)
		n := w.withMachine(m)
		n.staleAnswers++
		list = append(list, n)
	}
	return append(list, w.crash()...)
}

// afterStep does the machine's next step; a write may be followed by a crash before it is handled.
func (w modelState) afterStep(maxEntries int) (list []modelState) {
	m := w.machine()
	step := m.Next(w.entries, maxEntries, rangeHash)
	n := w.withMachine(m)
	switch step.Kind {
	case SaveIntent:
		n.intent = step.Intent
	case SaveCursor:
		n.cursor, n.intent = step.Cursor, Intent{}
	case Put:
		for i, put := range n.puts {
			if put.Batch == 0 {
				n.puts[i] = step.Intent
				return []modelState{n}
			}
		}
		return nil
	default:
		return nil
	}
	list = n.crash()
	m.HandleSaved(step)
	return append(list, n.withMachine(m))
}

// afterPut: a put is lost on its way, or arrives, and then its answer is lost or on its way.
func (w modelState) afterPut(i int) (list []modelState) {
	put := w.puts[i]
	w.puts[i] = Intent{}
	list = append(list, w)
	if w.sink[put.Batch-1].Batch == 0 { // the sink keeps what it has under a number, and says what that is
		w.sink[put.Batch-1] = put
	}
	list = append(list, w)
	for j, answer := range w.answers {
		if answer.Batch > 0 {
			continue
		}
		w.answers[j] = w.sink[put.Batch-1]
		list = append(list, w)
		if w.duplicates < maxDuplicates { // the network keeps the put, which comes again later
			w.puts[i] = put
			w.duplicates++
			list = append(list, w)
		}
		break
	}
	return list
}

// afterAnswer: an answer is lost, or arrives.
func (w modelState) afterAnswer(i int) []modelState {
	answer := w.answers[i]
	w.answers[i] = Intent{}
	m := w.machine()
	m.HandleAnswer(answer.Batch, answer.Hash)
	return []modelState{w, w.withMachine(m)}
}

// crash starts a new process on what is durable. What is on the network stays there.
func (w modelState) crash() []modelState {
	if w.crashes >= maxCrashes {
		return nil
	}
	w.crashes++
	var i *Intent
	if w.intent.Batch > 0 {
		at := w.intent
		i = &at
	}
	return []modelState{w.withMachine(New(w.cursor, i))}
}

// violation returns what must never hold, or "".
func (w *modelState) violation() string {
	next := uint64(1)
	for _, b := range w.sink {
		if b.Batch == 0 {
			break
		}
		if b.From != next {
			return fmt.Sprintf("the sink has entry %d after %d: one is there twice or missing", b.From, next-1)
		}
		next = b.To + 1
	}
	if w.cursor.Sequence >= next {
		return fmt.Sprintf("the cursor stands at %d, the sink has entries up to %d", w.cursor.Sequence, next-1)
	}
	return ""
}

// converges plays a state on with a network that loses nothing; all entries must arrive.
func (w modelState) converges() bool {
	m := w.machine()
	for range 40 {
		s := m.Next(w.entries, 3, rangeHash)
		switch s.Kind {
		case Idle:
			return m.Cursor().Sequence == w.entries && w.violation() == ""
		case Put:
			if int(s.Intent.Batch) > len(w.sink) {
				return true // the model's sink is full
			}
			if w.sink[s.Intent.Batch-1].Batch == 0 {
				w.sink[s.Intent.Batch-1] = s.Intent
			}
			m.HandleAnswer(s.Intent.Batch, w.sink[s.Intent.Batch-1].Hash)
		case SaveCursor:
			w.cursor = s.Cursor
			m.HandleSaved(s)
		default:
			m.HandleSaved(s)
		}
	}
	return false
}

func TestEveryInterleaving(t *testing.T) {
	first := modelState{running: *New(Cursor{}, nil)}
	seen := map[string]bool{first.key(): true}
	queue := []modelState{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if why := w.violation(); why != "" {
			t.Fatalf("%s\n%+v", why, w)
		}
		if !w.converges() {
			t.Fatalf("entries do not arrive from here\n%+v", w)
		}
		for _, n := range w.successors() {
			if n.running.intent != nil && n.runningIntent.Batch > uint64(len(n.sink)) {
				continue
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	t.Logf("%d states, none wrong", len(seen))
	if len(seen) < 1000 {
		t.Error("only", len(seen), "states: the model does not explore")
	}
}

func TestMutantsAreFound(t *testing.T) {
	if testing.Short() || mutantEarlyPut || mutantEarlyCursor {
		t.Skip("builds the package twice")
	}
	for _, tag := range []string{"mutant_early_put", "mutant_early_cursor"} {
		out, err := exec.Command("go", "test", "-count=1", "-tags", tag, "-run", "TestEvery").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "FAIL: TestEvery") {
			t.Errorf("%s was not found: %v\n%.1000s", tag, err, out)
		}
	}
}
