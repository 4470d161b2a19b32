package receiver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lease/fence"
)

// Fenced is a stand-in for who takes a duty's effects: it keeps the highest token and the keys, and an audit that uses neither.
// The audit is what a test goes by.
type Fenced struct {
	*httptest.Server
	lock    sync.Mutex
	open    bool // without a fence: everybody is taken
	book    fence.State
	audit   []Came
	highest map[string]uint64 // by duty, of all that ever came
	// Beside what the fence did: effects that came though a newer owner had been there, and would have counted without it.
	unfenced int
	start    time.Time
}

// Came is one effect that came, and whether it counted.
type Came struct {
	fence.Effect
	Counted, Refused bool
	At               float64 // ms since it began to listen
}

// NewFenced listens on loopback. open: without a fence, to show what it is for.
func NewFenced(open bool) *Fenced {
	r := &Fenced{open: open, highest: map[string]uint64{}, start: time.Now()}
	r.Server = httptest.NewServer(r)
	return r
}

// ServeHTTP implements http.Handler; a write under an old token is refused.
func (r *Fenced) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(q.Body)
	var e fence.Effect
	if err != nil || json.Unmarshal(b, &e) != nil || e.Token == 0 {
		w.WriteHeader(400)
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	old := e.Token < r.highest[e.Role]
	r.highest[e.Role] = max(r.highest[e.Role], e.Token)
	if old {
		r.unfenced++
	}
	judged := e
	if r.open {
		judged.Token = r.highest[e.Role]
	}
	fresh, err := r.book.Admit(judged)
	r.audit = append(r.audit, Came{e, err == nil && fresh, err != nil, float64(time.Since(r.start).Microseconds()) / 1000})
	says := map[string]any{"done": !fresh, "token": max(r.book.Tokens[e.Role], e.Token)}
	text, _ := json.Marshal(says)
	if err != nil {
		w.WriteHeader(409)
	}
	w.Write(text)
}

// Report is the audit of all that came.
type Report struct {
	Counted, Refused, Again int
	Takeovers               int      // times that another token's effect counted next
	Broken                  []string // what must not be
}

// Audit goes through all that came, by the numbers in the keys: each number once, in order, none left out, and no token after a
// higher one.
func (r *Fenced) Audit() (p Report) {
	r.lock.Lock()
	defer r.lock.Unlock()
	type state struct {
		next  int
		token uint64
	}
	at := map[string]*state{}
	for _, c := range r.audit {
		s := at[c.Role]
		if s == nil {
			s = &state{next: 1}
			at[c.Role] = s
		}
		no, _ := strconv.Atoi(c.Key)
		switch {
		case c.Refused:
			if p.Refused++; c.Token >= s.token {
				p.Broken = append(p.Broken, fmt.Sprintf("%s: token %d was refused, though %d was the highest", c.Role, c.Token, s.token))
			}
			continue
		case c.Token < s.token:
			p.Broken = append(p.Broken, fmt.Sprintf("%s: effect %s of token %d was taken after token %d", c.Role, c.Key, c.Token, s.token))
		case c.Counted && no != s.next:
			p.Broken = append(p.Broken, fmt.Sprintf("%s: effect %d counted where %d was next", c.Role, no, s.next))
		case !c.Counted && no >= s.next:
			p.Broken = append(p.Broken, fmt.Sprintf("%s: effect %d did not count, though %d was next", c.Role, no, s.next))
		}
		if c.Token > s.token {
			if s.token > 0 {
				p.Takeovers++
			}
			s.token = c.Token
		}
		if c.Counted {
			p.Counted++
			s.next = no + 1
		} else {
			p.Again++
		}
	}
	return p
}

// OldCame counts the effects that came after a newer owner's.
func (r *Fenced) OldCame() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.unfenced
}

// Gaps gives, in order, how long each take-over took: from the last effect of one token that counted to the first of the next.
func (r *Fenced) Gaps() (list []float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	last := map[string]Came{}
	for _, c := range r.audit {
		if !c.Counted {
			continue
		}
		if was, known := last[c.Role]; known && was.Token < c.Token {
			list = append(list, c.At-was.At)
		}
		last[c.Role] = c
	}
	sort.Float64s(list)
	return list
}

// Stalled gives the duties of which nothing has counted for so many ms.
func (r *Fenced) Stalled(ms float64) (list []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	last := map[string]float64{}
	for _, c := range r.audit {
		if c.Counted {
			last[c.Role] = c.At
		}
	}
	now := float64(time.Since(r.start).Microseconds()) / 1000
	for d, at := range last {
		if now-at > ms {
			list = append(list, d)
		}
	}
	sort.Strings(list)
	return list
}

// Holders gives by duty who its latest effect that counted says it is from.
func (r *Fenced) Holders() map[string]string {
	r.lock.Lock()
	defer r.lock.Unlock()
	list := map[string]string{}
	for _, c := range r.audit {
		var body struct{ Holder string }
		if c.Counted && json.Unmarshal(c.Body, &body) == nil {
			list[c.Role] = body.Holder
		}
	}
	return list
}

// Highest gives the highest token of each duty.
func (r *Fenced) Highest() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	list := map[string]uint64{}
	for d, t := range r.highest {
		list[d] = t
	}
	return list
}

// Counts gives how many effects of each duty have counted.
func (r *Fenced) Counts() map[string]int {
	r.lock.Lock()
	defer r.lock.Unlock()
	list := map[string]int{}
	for _, c := range r.audit {
		if c.Counted {
			list[c.Role]++
		}
	}
	return list
}
