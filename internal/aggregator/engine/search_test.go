package engine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/transport"
)

func TestAnswerOverItsLimitFails(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	w.turn(func() { w.ask("quick", 900, 0, 1) })
	w.open()
	k := w.callers[0]
	for _, c := range w.lanes() {
		for _, id := range w.ends[c].waiting {
			w.turn(func() { w.frame(c, 'Y', id+" OK 5 -\n"+strings.Repeat("x", 40<<10)) })
		}
	}
	if k.answers != 1 || k.status != 500 {
		t.Errorf("%d answers, the last %d, want one 500", k.answers, k.status)
	}
}

func TestPanicFailsOnlyWhatItConcerns(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	fails := func(c transport.Conn) {
		defer func() {
			if what := recover(); (what != nil) != invariant.Debug {
				t.Errorf("recovered %v", what)
			}
		}()
		w.turn(func() { w.r.Panicked(c, "a defect", nil) })
	}
	ask := func() *caller {
		var k *caller
		w.turn(func() { k = w.ask("quick", 900, 0) })
		w.open()
		return k
	}
	of := func(k *caller) transport.Conn {
		return transport.Conn(slices.IndexFunc(w.ends, func(e *end) bool { return e != nil && e.client == k }))
	}
	first, second, third := ask(), ask(), ask()
	fails(of(first))
	fails(w.lanes()[0])
	fails(noConn)
	if invariant.Debug {
		return
	}
	for _, k := range []*caller{first, second, third} {
		if k.answers != 1 || k.status != 500 && k.status != 503 && k.status != 200 {
			t.Errorf("search %s: %d answers, %d", k.id, k.answers, k.status)
		}
	}
	if first.status != 500 || third.status != 500 || w.r.openSearches != 0 {
		t.Error(first.status, third.status, w.r.openSearches)
	}
	w.settle()
}

func TestPendingLimitGivesRetryAfter(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.open()
	var k *caller
	for range 8 {
		w.turn(func() { k = w.ask("once", 900, 0, 1, 2, 3, 4, 5, 6, 7) })
	}
	back, err := strconv.ParseFloat(k.back, 64) // round a quarter of the target, by chance
	if w.r.Count.OverPending != 1 || k.status != 503 || err != nil || back < 0.037 || back > 0.113 {
		t.Errorf("%d over the limit, the last got %d, back in %q", w.r.Count.OverPending, k.status, k.back)
	}
}

// marks hears which searches the policy is told of as retries.
type marks struct {
	policy.Port
	again int
}

func (m *marks) MarkRetry(int) { m.again++ }

func TestMarkedRetryReachesThePolicy(t *testing.T) {
	w := newWorld(t, 1, 4)
	m := &marks{Port: w.r.Policy()}
	w.r.ReplacePolicy(func(policy.Out) policy.Port { return m })
	w.turn()
	w.open()
	for i, mark := range []string{"", "X-Again: 1\r\n", "X-Again: 0\r\n", "X-Again: 1\r\nX-Again: 1\r\n"} {
		k := &caller{id: fmt.Sprint("again", i), late: w.now + 950}
		c := w.take(&end{client: k, open: true})
		w.turn(func() {
			w.r.Accepted(c)
			body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
			w.say(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\n%sX-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s",
				k.id, mark, len(body), body)))
		})
	}
	if m.again != 1 {
		t.Errorf("%d of four searches were told as retries", m.again)
	}
}

func TestFirstOutcomeOfAnAttemptCounts(t *testing.T) {
	reply := func(w *world, c transport.Conn) { w.frame(c, 'Y', "q0.0 OK 5 -\nq0.0") }
	lose := func(w *world, c transport.Conn) { w.lose(c) }
	late := func(w *world, _ transport.Conn) { w.now += 100 }
	goes := func(w *world, _ transport.Conn) { w.lose(w.connOf(w.callers[0])) }
	steps := map[string]func(*world, transport.Conn){"reply": reply, "reset": lose, "time": late, "client": goes}
	for _, a := range []string{"reply", "reset", "time", "client"} {
		for _, b := range []string{"reply", "reset", "time", "client"} {
			if a == b || a == "reset" && b == "reply" {
				continue // nothing comes on a connection that is gone
			}
			w := newWorld(t, 1, 1)
			w.turn()
			w.open()
			var k *caller
			w.turn(func() { k = w.ask("quick", 100, 0) })
			w.open()
			c := w.lanes()[0]
			k.late += 100
			w.turn(func() { steps[a](w, c); steps[b](w, c) })
			sum := int64(0)
			for _, n := range w.r.Count.Outcomes {
				sum += n
			}
			w.settle()
			if k.answers > 1 || k.answers == 0 && !k.gone {
				t.Errorf("%s, then %s: %d answers, %d outcomes", a, b, k.answers, sum)
			}
			after := int64(0)
			for _, n := range w.r.Count.Outcomes {
				after += n
			}
			if after != w.r.Count.AttemptsAsked {
				t.Errorf("%s, then %s: %d outcomes of %d sub-requests", a, b, after, w.r.Count.AttemptsAsked)
			}
		}
	}
}

func TestIdempotencyKeyGoesWithEachAttempt(t *testing.T) {
	w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":900`)
	w.turn()
	w.open()
	ask := func(id, token string) *caller {
		k := &caller{id: id, shards: []int{0}, late: w.now + 920, asked: true}
		w.callers, w.byID[id] = append(w.callers, k), k
		c := w.take(&end{client: k, open: true})
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of ` + id + `"}`
		w.turn(func() {
			w.r.Accepted(c)
			w.say(c, fmt.Appendf(nil, "POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: once\r\nX-Budget-Ms: 900\r\n%sContent-Length: %d\r\n\r\n%s",
				id, token, len(body), body))
		})
		return k
	}
	for _, bad := range []string{"a b", "a,b", strings.Repeat("x", 129), "a\r\nIdempotency-Key: b"} {
		if k := ask("bad", "Idempotency-Key: "+bad+"\r\n"); k.status != 400 {
			t.Errorf("%q: %d", bad, k.status)
		}
	}
	ask("q", "idempotency-key: f2b9438a\r\n")
	w.open()
	first := w.lanes()[0]
	if got := string(w.ends[first].sent) + strings.Join(w.lines, ";"); !strings.Contains(got, ",k=f2b9438a ") {
		t.Errorf("the first goes out as %q", got)
	}
	w.lines = nil
	w.turn(func() { w.lose(first) })
	w.pass(400)
	w.open()
	w.pass(1)
	if got := strings.Join(w.lines, ";"); !strings.Contains(got, ",k=f2b9438a ") {
		t.Errorf("the second goes out as %q", got)
	}
}

func TestTooShortTokenWindowAllowsOneAttempt(t *testing.T) {
	for _, window := range []string{"0", "40", "-5", "1e300"} {
		w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":`+window)
		w.turn()
		w.open()
		var k *caller
		w.turn(func() { k = w.ask("once", 900, 0) })
		w.open()
		if w.r.Count.Sent != 1 {
			t.Errorf("window %s: %d sent", window, w.r.Count.Sent)
			continue
		}
		w.turn(func() { w.lose(w.lanes()[0]) }) // it may have run
		w.pass(500)
		w.open()
		if window != "1e300" && (w.r.Count.Sent != 1 || k.status != 500) {
			t.Errorf("window %s: %d sent, status %d", window, w.r.Count.Sent, k.status)
		}
	}
}

func TestTwoPhaseQueryTypeIsNotAnsweredFromItsFirstPhase(t *testing.T) {
	w := newWorldOf(t, 2, `"follow-up":[0,0,0]`, `"follow-up":[3,0,0]`)
	w.turn()
	w.open()
	var k, other *caller
	w.turn(func() { k, other = w.ask("quick", 900, 0), w.ask("part", 900, 0) })
	w.open()
	if w.answered(k); k.status != 501 {
		t.Errorf("its answer is %d, as if there were no second step", k.status)
	}
	if w.answered(other); other.status != 200 || w.r.Count.Sent != 1 {
		t.Errorf("another type has %d; %d sent", other.status, w.r.Count.Sent)
	}
	call := &told{}
	w.turn(func() {
		w.r.StartSearch(0, unknownCustomer, w.now+900, false, []ShardRequest{{Shard: 0, Share: 1}}, call)
	})
	if w.pass(50); !slices.Equal(call.finals, []Result{Failed}) || w.r.Count.Sent != 1 {
		t.Errorf("a further front has %v; %d sent", call.finals, w.r.Count.Sent)
	}
	w.settle()
}
