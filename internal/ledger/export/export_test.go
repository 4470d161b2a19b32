package export

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
)

// world is one state of exporter, disk, network and sink, all of it values: a copy is a state of its own.
type world struct {
	cursor  Cursor // durable
	intent  Intent // durable; Batch 0: none
	entries uint64
	m       Machine // of the process that runs
	mine    Intent  // what m.intent points to
	puts    [2]Intent
	answers [2]Intent // Batch 0: none
	sink    [4]Intent // by batch, the first is 1
	crashes int
	doubles int
	lies    int
}

const (
	mostEntries = 4
	mostCrashes = 2
	mostDoubles = 1
	mostLies    = 1
)

func hash(from, to uint64) uint64 { return from*100 + to }

// machine gives the running machine with pointers of its own.
func (w *world) machine() *Machine {
	m := w.m
	if m.intent != nil {
		i := w.mine
		m.intent = &i
	}
	return &m
}

func (w world) with(m *Machine) world {
	w.m = *m
	if m.intent != nil {
		w.mine = *m.intent
		w.m.intent = &Intent{} // that there is one; its value is in mine
	}
	return w
}

func (w world) key() string {
	has := w.m.intent != nil
	w.m.intent = nil
	w.m.RejectedAnswers = 0
	return fmt.Sprint(w, has)
}

// next gives every state that one thing leads to.
func (w world) next() (list []world) {
	if w.entries < mostEntries { // the broker goes on serving
		n := w
		n.entries++
		list = append(list, n)
	}
	for _, most := range []int{1, 3} { // what a batch takes may change between steps, as the operator changes it
		m := w.machine()
		s := m.Next(w.entries, most, hash)
		n := w.with(m)
		switch s.Kind {
		case SaveIntent: // written, and told
			n.intent = s.Intent
			list = append(list, n.crash()...) // killed between the write and its being told
			m.HandleSaved(s)
			list = append(list, n.with(m))
		case Put:
			for i, p := range n.puts {
				if p.Batch == 0 {
					n.puts[i] = s.Intent
					list = append(list, n)
					break
				}
			}
		case SaveCursor:
			n.cursor, n.intent = s.Cursor, Intent{}
			list = append(list, n.crash()...)
			m.HandleSaved(s)
			list = append(list, n.with(m))
		}
	}
	for i, p := range w.puts {
		if p.Batch == 0 {
			continue
		}
		n := w // lost on its way
		n.puts[i] = Intent{}
		list = append(list, n)
		n = w // it arrives: the sink keeps what it has under a number, and says what that is
		n.puts[i] = Intent{}
		if n.sink[p.Batch-1].Batch == 0 {
			n.sink[p.Batch-1] = p
		}
		list = append(list, n) // and its reply is lost
		for j, a := range n.answers {
			if a.Batch == 0 {
				n.answers[j] = n.sink[p.Batch-1]
				list = append(list, n)
				if w.doubles < mostDoubles { // the network keeps the put, which comes again later
					d := n
					d.puts[i], d.doubles = p, d.doubles+1
					list = append(list, d)
				}
				break
			}
		}
	}
	for i, a := range w.answers {
		if a.Batch == 0 {
			continue
		}
		n := w
		n.answers[i] = Intent{}
		list = append(list, n)
		m := n.machine()
		m.HandleAnswer(a.Batch, a.Hash)
		list = append(list, n.with(m))
	}
	if w.lies < mostLies && w.cursor.Batch > 0 { // a receiver that says 200 about an older batch
		m := w.machine()
		m.HandleAnswer(w.cursor.Batch, w.sink[w.cursor.Batch-1].Hash)
		n := w.with(m)
		n.lies++
		list = append(list, n)
	}
	return append(list, w.crash()...)
}

// crash starts a new process on what is durable. What is on the network stays there.
func (w world) crash() []world {
	if w.crashes >= mostCrashes {
		return nil
	}
	w.crashes++
	var i *Intent
	if w.intent.Batch > 0 {
		at := w.intent
		i = &at
	}
	return []world{w.with(New(w.cursor, i))}
}

// wrong tells what must never be.
func (w *world) wrong() string {
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

// settled plays a state on with a network that loses nothing; all entries must arrive.
func (w world) settled() bool {
	m := w.machine()
	for range 40 {
		s := m.Next(w.entries, 3, hash)
		switch s.Kind {
		case Idle:
			return m.Cursor().Sequence == w.entries && w.wrong() == ""
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
	first := world{m: *New(Cursor{}, nil)}
	seen := map[string]bool{first.key(): true}
	queue := []world{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if why := w.wrong(); why != "" {
			t.Fatalf("%s\n%+v", why, w)
		}
		if !w.settled() {
			t.Fatalf("entries do not arrive from here\n%+v", w)
		}
		for _, n := range w.next() {
			if n.m.intent != nil && n.mine.Batch > uint64(len(n.sink)) {
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

func TestPlantedDefectsAreFound(t *testing.T) {
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
