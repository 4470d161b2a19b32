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
	w.openConns()
	w.turn(func() { w.startSearch("quick", 900, 0, 1) })
	w.openConns()
	client := w.clients[0]
	for _, c := range w.serverConns() {
		for _, id := range w.conns[c].pending {
			w.turn(func() { w.sendFrame(c, 'Y', id+" OK 5 -\n"+strings.Repeat("x", 40<<10)) })
		}
	}
	if client.answers != 1 || client.status != 500 {
		t.Errorf("%d answers, the last %d, want one 500", client.answers, client.status)
	}
}

func TestPanicFailsOnlyWhatItConcerns(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	fails := func(c transport.Conn) {
		defer func() {
			if what := recover(); (what != nil) != invariant.Debug {
				t.Errorf("recovered %v", what)
			}
		}()
		w.turn(func() { w.engine.Panicked(c, "a defect", nil) })
	}
	ask := func() *modelClient {
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, 0) })
		w.openConns()
		return client
	}
	of := func(client *modelClient) transport.Conn {
		return transport.Conn(slices.IndexFunc(w.conns, func(e *modelConn) bool { return e != nil && e.client == client }))
	}
	first, second, third := ask(), ask(), ask()
	fails(of(first))
	fails(w.serverConns()[0])
	fails(noConn)
	if invariant.Debug {
		return
	}
	for _, client := range []*modelClient{first, second, third} {
		if client.answers != 1 || client.status != 500 && client.status != 503 && client.status != 200 {
			t.Errorf("search %s: %d answers, %d", client.id, client.answers, client.status)
		}
	}
	if first.status != 500 || third.status != 500 || w.engine.openSearches != 0 {
		t.Error(first.status, third.status, w.engine.openSearches)
	}
	w.shutDownAndCheck()
}

func TestPendingLimitGivesRetryAfter(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	var client *modelClient
	for range 8 {
		w.turn(func() { client = w.startSearch("once", 900, 0, 1, 2, 3, 4, 5, 6, 7) })
	}
	back, err := strconv.ParseFloat(client.retryAfter, 64) // round a quarter of the target, by chance
	if w.engine.Count.OverPendingLimit != 1 || client.status != 503 || err != nil || back < 0.037 || back > 0.113 {
		t.Errorf("%d over the limit, the last got %d, back in %q", w.engine.Count.OverPendingLimit, client.status, client.retryAfter)
	}
}

// retryCounter hears which searches the policy is told of as retries.
type retryCounter struct {
	policy.Port
	retries int
}

func (m *retryCounter) MarkRetry(int) { m.retries++ }

func TestMarkedRetryReachesThePolicy(t *testing.T) {
	w := newWorld(t, 1, 4)
	m := &retryCounter{Port: w.engine.Policy()}
	w.engine.ReplacePolicy(func(policy.Out) policy.Port { return m })
	w.turn()
	w.openConns()
	for i, mark := range []string{"", "X-Again: 1\r\n", "X-Again: 0\r\n", "X-Again: 1\r\nX-Again: 1\r\n"} {
		client := &modelClient{id: fmt.Sprint("again", i), answerDeadline: w.now + 950}
		c := w.addConn(&modelConn{client: client, open: true})
		w.turn(func() {
			w.engine.Accepted(c)
			body := `{"segments":[{"segment":0,"boost":1}],"text":"x"}`
			w.receiveBytes(c, []byte(fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: quick\r\n%sX-Budget-Ms: 900\r\nContent-Length: %d\r\n\r\n%s",
				client.id, mark, len(body), body)))
		})
	}
	if m.retries != 1 {
		t.Errorf("%d of four searches were told as retries", m.retries)
	}
}

func TestFirstOutcomeOfAnAttemptCounts(t *testing.T) {
	reply := func(w *world, c transport.Conn) { w.sendFrame(c, 'Y', "q0.0 OK 5 -\nq0.0") }
	lose := func(w *world, c transport.Conn) { w.closeByPeer(c) }
	late := func(w *world, _ transport.Conn) { w.now += 100 }
	goes := func(w *world, _ transport.Conn) { w.closeByPeer(w.connOf(w.clients[0])) }
	steps := map[string]func(*world, transport.Conn){"reply": reply, "reset": lose, "time": late, "client": goes}
	for _, a := range []string{"reply", "reset", "time", "client"} {
		for _, b := range []string{"reply", "reset", "time", "client"} {
			if a == b || a == "reset" && b == "reply" {
				continue // nothing comes on a connection that is gone
			}
			w := newWorld(t, 1, 1)
			w.turn()
			w.openConns()
			var client *modelClient
			w.turn(func() { client = w.startSearch("quick", 100, 0) })
			w.openConns()
			c := w.serverConns()[0]
			client.answerDeadline += 100
			w.turn(func() { steps[a](w, c); steps[b](w, c) })
			sum := int64(0)
			for _, n := range w.engine.Count.Outcomes {
				sum += n
			}
			w.shutDownAndCheck()
			if client.answers > 1 || client.answers == 0 && !client.disconnected {
				t.Errorf("%s, then %s: %d answers, %d outcomes", a, b, client.answers, sum)
			}
			after := int64(0)
			for _, n := range w.engine.Count.Outcomes {
				after += n
			}
			if after != w.engine.Count.AttemptsAsked {
				t.Errorf("%s, then %s: %d outcomes of %d sub-requests", a, b, after, w.engine.Count.AttemptsAsked)
			}
		}
	}
}

func TestIdempotencyKeyGoesWithEachAttempt(t *testing.T) {
	w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":900`)
	w.turn()
	w.openConns()
	ask := func(id, token string) *modelClient {
		client := &modelClient{id: id, shards: []int{0}, answerDeadline: w.now + 920, asked: true}
		w.clients, w.byID[id] = append(w.clients, client), client
		c := w.addConn(&modelConn{client: client, open: true})
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of ` + id + `"}`
		w.turn(func() {
			w.engine.Accepted(c)
			w.receiveBytes(c, fmt.Appendf(nil, "POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: once\r\nX-Budget-Ms: 900\r\n%sContent-Length: %d\r\n\r\n%s",
				id, token, len(body), body))
		})
		return client
	}
	for _, bad := range []string{"a b", "a,b", strings.Repeat("x", 129), "a\r\nIdempotency-Key: b"} {
		if client := ask("bad", "Idempotency-Key: "+bad+"\r\n"); client.status != 400 {
			t.Errorf("%q: %d", bad, client.status)
		}
	}
	ask("q", "idempotency-key: f2b9438a\r\n")
	w.openConns()
	first := w.serverConns()[0]
	if got := string(w.conns[first].unsent) + strings.Join(w.requestLines, ";"); !strings.Contains(got, ",k=f2b9438a ") {
		t.Errorf("the first goes out as %q", got)
	}
	w.requestLines = nil
	w.turn(func() { w.closeByPeer(first) })
	w.advance(400)
	w.openConns()
	w.advance(1)
	if got := strings.Join(w.requestLines, ";"); !strings.Contains(got, ",k=f2b9438a ") {
		t.Errorf("the second goes out as %q", got)
	}
}

func TestTooShortTokenWindowAllowsOneAttempt(t *testing.T) {
	for _, window := range []string{"0", "40", "-5", "1e300"} {
		w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":`+window)
		w.turn()
		w.openConns()
		var client *modelClient
		w.turn(func() { client = w.startSearch("once", 900, 0) })
		w.openConns()
		if w.engine.Count.AttemptsSent != 1 {
			t.Errorf("window %s: %d sent", window, w.engine.Count.AttemptsSent)
			continue
		}
		w.turn(func() { w.closeByPeer(w.serverConns()[0]) }) // it may have run
		w.advance(500)
		w.openConns()
		if window != "1e300" && (w.engine.Count.AttemptsSent != 1 || client.status != 500) {
			t.Errorf("window %s: %d sent, status %d", window, w.engine.Count.AttemptsSent, client.status)
		}
	}
}

func TestTwoPhaseQueryTypeIsNotAnsweredFromItsFirstPhase(t *testing.T) {
	w := newWorldOf(t, 2, `"follow-up":[0,0,0]`, `"follow-up":[3,0,0]`)
	w.turn()
	w.openConns()
	var client, other *modelClient
	w.turn(func() { client, other = w.startSearch("quick", 900, 0), w.startSearch("part", 900, 0) })
	w.openConns()
	if w.runUntilAnswered(client); client.status != 501 {
		t.Errorf("its answer is %d, as if there were no second step", client.status)
	}
	if w.runUntilAnswered(other); other.status != 200 || w.engine.Count.AttemptsSent != 1 {
		t.Errorf("another type has %d; %d sent", other.status, w.engine.Count.AttemptsSent)
	}
	call := &recordedSearch{}
	w.turn(func() {
		w.engine.StartSearch(0, unknownCustomer, w.now+900, false, []ShardRequest{{Shard: 0, Share: 1}}, call)
	})
	if w.advance(50); !slices.Equal(call.results, []Result{Failed}) || w.engine.Count.AttemptsSent != 1 {
		t.Errorf("a further front has %v; %d sent", call.results, w.engine.Count.AttemptsSent)
	}
	w.shutDownAndCheck()
}
