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

// FencedReceiver is a stand-in for the receiver of a role's effects: it stores the highest fencing token and the keys.
// A test relies on its audit, which uses neither.
type FencedReceiver struct {
	*httptest.Server
	lock     sync.Mutex
	unfenced bool // fencing tokens are not checked: every effect is admitted
	state    fence.State
	audit    []AuditEntry
	highest  map[string]uint64 // fencing token by role, of all effects received, also of those refused
	// staleEffects counts the effects received after one of a newer holder: without fencing they would have counted.
	staleEffects int
	startedAt    time.Time
}

// AuditEntry is one effect received, and whether it counted or was refused.
type AuditEntry struct {
	fence.Effect
	Counted      bool
	Refused      bool
	ReceivedAtMs float64 // since the receiver began to listen
}

// NewFencedReceiver listens on loopback. unfenced: it doesn't check fencing tokens, to show what they prevent.
func NewFencedReceiver(unfenced bool) *FencedReceiver {
	r := &FencedReceiver{unfenced: unfenced, highest: map[string]uint64{}, startedAt: time.Now()}
	r.Server = httptest.NewServer(r)
	return r
}

// ServeHTTP implements http.Handler: it admits an effect, or refuses one under a stale token with 409.
func (r *FencedReceiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	var effect fence.Effect
	if err != nil || json.Unmarshal(body, &effect) != nil || effect.Token == 0 {
		w.WriteHeader(400)
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	stale := effect.Token < r.highest[effect.Role]
	r.highest[effect.Role] = max(r.highest[effect.Role], effect.Token)
	if stale {
		r.staleEffects++
	}
	judged := effect
	if r.unfenced {
		judged.Token = r.highest[effect.Role]
	}
	fresh, err := r.state.Admit(judged)
	r.audit = append(r.audit, AuditEntry{Effect: effect, Counted: err == nil && fresh, Refused: err != nil, ReceivedAtMs: r.elapsedMs()})
	reply := map[string]any{"done": !fresh, "token": max(r.state.Tokens[effect.Role], effect.Token)}
	text, _ := json.Marshal(reply)
	if err != nil {
		w.WriteHeader(409)
	}
	w.Write(text)
}

// elapsedMs is the time since the receiver began to listen.
func (r *FencedReceiver) elapsedMs() float64 {
	return float64(time.Since(r.startedAt).Microseconds()) / 1000
}

// Report is the audit of all effects received.
type Report struct {
	Counted    int
	Refused    int
	Duplicates int      `json:"Again"`
	Takeovers  int      // changes to a higher token
	Violations []string `json:"Broken"` // invariants that the effects violated
}

// Audit checks all effects received by the numbers in their keys: each number counts once, in order, without a gap, and
// no token is admitted after a higher one.
func (r *FencedReceiver) Audit() (report Report) {
	r.lock.Lock()
	defer r.lock.Unlock()
	type state struct {
		next  int
		token uint64
	}
	states := map[string]*state{}
	for _, c := range r.audit {
		s := states[c.Role]
		if s == nil {
			s = &state{next: 1}
			states[c.Role] = s
		}
		number, _ := strconv.Atoi(c.Key)
		switch {
		case c.Refused:
			report.Refused++
			if c.Token >= s.token {
				report.Violations = append(report.Violations, fmt.Sprintf("%s: token %d was refused, though %d was the highest", c.Role, c.Token, s.token))
			}
			continue
		case c.Token < s.token:
			report.Violations = append(report.Violations, fmt.Sprintf("%s: effect %s of token %d was taken after token %d", c.Role, c.Key, c.Token, s.token))
		case c.Counted && number != s.next:
			report.Violations = append(report.Violations, fmt.Sprintf("%s: effect %d counted where %d was next", c.Role, number, s.next))
		case !c.Counted && number >= s.next:
			report.Violations = append(report.Violations, fmt.Sprintf("%s: effect %d did not count, though %d was next", c.Role, number, s.next))
		}
		if c.Token > s.token {
			if s.token > 0 {
				report.Takeovers++
			}
			s.token = c.Token
		}
		if c.Counted {
			report.Counted++
			s.next = number + 1
		} else {
			report.Duplicates++
		}
	}
	return report
}

// StaleEffects counts the effects received after one of a newer holder.
func (r *FencedReceiver) StaleEffects() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.staleEffects
}

// TakeoverGapsMs returns, sorted, the duration of each takeover: from the last effect of one token that counted to the
// first one of the next token.
func (r *FencedReceiver) TakeoverGapsMs() (gaps []float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	last := map[string]AuditEntry{}
	for _, c := range r.audit {
		if !c.Counted {
			continue
		}
		if previous, known := last[c.Role]; known && previous.Token < c.Token {
			gaps = append(gaps, c.ReceivedAtMs-previous.ReceivedAtMs)
		}
		last[c.Role] = c
	}
	sort.Float64s(gaps)
	return gaps
}

// Stalled returns the roles of which no effect has counted for timeoutMs.
func (r *FencedReceiver) Stalled(timeoutMs float64) (roles []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	last := map[string]float64{}
	for _, c := range r.audit {
		if c.Counted {
			last[c.Role] = c.ReceivedAtMs
		}
	}
	now := r.elapsedMs()
	for role, at := range last {
		if now-at > timeoutMs {
			roles = append(roles, role)
		}
	}
	sort.Strings(roles)
	return roles
}

// Holders returns by role the holder that its latest counted effect names.
func (r *FencedReceiver) Holders() map[string]string {
	r.lock.Lock()
	defer r.lock.Unlock()
	holders := map[string]string{}
	for _, c := range r.audit {
		var body struct{ Holder string }
		if c.Counted && json.Unmarshal(c.Body, &body) == nil {
			holders[c.Role] = body.Holder
		}
	}
	return holders
}

// Highest returns the highest fencing token received, by role.
func (r *FencedReceiver) Highest() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	tokens := map[string]uint64{}
	for role, token := range r.highest {
		tokens[role] = token
	}
	return tokens
}

// Counts returns how many effects have counted, by role.
func (r *FencedReceiver) Counts() map[string]int {
	r.lock.Lock()
	defer r.lock.Unlock()
	counts := map[string]int{}
	for _, c := range r.audit {
		if c.Counted {
			counts[c.Role]++
		}
	}
	return counts
}
