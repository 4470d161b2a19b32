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
		t.Errorf("%d answers, the last with status %d; want one 500", client.answers, client.status)
	}
}

func TestPanicFailsOnlyWhatItConcerns(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.turn()
	w.openConns()
	panicOn := func(c transport.Conn) {
		defer func() {
			if what := recover(); (what != nil) != invariant.Debug {
				t.Errorf("recovered %v", what)
			}
		}()
		w.turn(func() { w.engine.Panicked(c, "a defect", nil) })
	}
	startSearch := func() *modelClient {
		var client *modelClient
		w.turn(func() { client = w.startSearch("quick", 900, 0) })
		w.openConns()
		return client
	}
	first, second, third := startSearch(), startSearch(), startSearch()
	panicOn(w.connOf(first))
	panicOn(w.serverConns()[0])
	panicOn(noConn)
	if invariant.Debug {
		return
	}
	for _, client := range []*modelClient{first, second, third} {
		if client.answers != 1 || client.status != 500 && client.status != 503 && client.status != 200 {
			t.Errorf("search %s: %d answers, the last with status %d; want one 200, 500 or 503", client.id, client.answers, client.status)
		}
	}
	if first.status != 500 || third.status != 500 || w.engine.openSearches != 0 {
		t.Errorf("the searches that failed got status %d and %d, want 500; %d searches are open, want 0",
			first.status, third.status, w.engine.openSearches)
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
	retryAfter, err := strconv.ParseFloat(client.retryAfter, 64) // in s; around a quarter of the latency target, at random
	if w.engine.Counters.OverPendingLimit != 1 || client.status != 503 || err != nil || retryAfter < 0.037 || retryAfter > 0.113 {
		t.Errorf("%d searches over the limit, want 1; the last got status %d, want 503, and Retry-After %q",
			w.engine.Counters.OverPendingLimit, client.status, client.retryAfter)
	}
}

// retryCounter is a policy that counts the searches marked as retries.
type retryCounter struct {
	policy.Decider
	retries int
}

func (counter *retryCounter) MarkRetry(int) { counter.retries++ }

func TestMarkedRetryReachesThePolicy(t *testing.T) {
	w := newWorld(t, 1, 4)
	counter := &retryCounter{Decider: w.engine.Policy()}
	w.engine.ReplacePolicy(func(policy.Executor) policy.Decider { return counter })
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
	if counter.retries != 1 {
		t.Errorf("%d of four searches were marked as retries to the policy, want 1", counter.retries)
	}
}

func TestFirstOutcomeOfAnAttemptCounts(t *testing.T) {
	reply := func(w *world, c transport.Conn) { w.sendFrame(c, 'Y', "q0.0 OK 5 -\nq0.0") }
	reset := func(w *world, c transport.Conn) { w.closeByPeer(c) }
	timeout := func(w *world, _ transport.Conn) { w.now += 100 }
	clientLeaves := func(w *world, _ transport.Conn) { w.closeByPeer(w.connOf(w.clients[0])) }
	steps := map[string]func(*world, transport.Conn){"reply": reply, "reset": reset, "timeout": timeout, "client leaves": clientLeaves}
	for _, first := range []string{"reply", "reset", "timeout", "client leaves"} {
		for _, second := range []string{"reply", "reset", "timeout", "client leaves"} {
			if first == second || first == "reset" && second == "reply" {
				continue // no reply can arrive on a closed connection
			}
			w := newWorld(t, 1, 1)
			w.turn()
			w.openConns()
			var client *modelClient
			w.turn(func() { client = w.startSearch("quick", 100, 0) })
			w.openConns()
			c := w.serverConns()[0]
			client.answerDeadline += 100
			w.turn(func() { steps[first](w, c); steps[second](w, c) })
			sum := int64(0)
			for _, n := range w.engine.Counters.Outcomes {
				sum += n
			}
			w.shutDownAndCheck()
			if client.answers > 1 || client.answers == 0 && !client.disconnected {
				t.Errorf("%s, then %s: %d answers, want 1 unless the client left; %d outcomes", first, second, client.answers, sum)
			}
			after := int64(0)
			for _, n := range w.engine.Counters.Outcomes {
				after += n
			}
			if after != w.engine.Counters.AttemptsRequested {
				t.Errorf("%s, then %s: %d outcomes of %d attempts", first, second, after, w.engine.Counters.AttemptsRequested)
			}
		}
	}
}

func TestIdempotencyKeyGoesWithEachAttempt(t *testing.T) {
	w := newWorldOf(t, 2, `"effect":"once"`, `"effect":"by_key","group":"all","window-ms":900`)
	w.turn()
	w.openConns()
	startSearch := func(id, keyHeader string) *modelClient {
		client := &modelClient{id: id, shards: []int{0}, answerDeadline: w.now + 920, searchSent: true}
		w.clients, w.byID[id] = append(w.clients, client), client
		c := w.addConn(&modelConn{client: client, open: true})
		body := `{"segments":[{"segment":0,"boost":1}],"text":"text of ` + id + `"}`
		w.turn(func() {
			w.engine.Accepted(c)
			w.receiveBytes(c, fmt.Appendf(nil, "POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: once\r\nX-Budget-Ms: 900\r\n%sContent-Length: %d\r\n\r\n%s",
				id, keyHeader, len(body), body))
		})
		return client
	}
	for _, bad := range []string{"a b", "a,b", strings.Repeat("x", 129), "a\r\nIdempotency-Key: b"} {
		if client := startSearch("bad", "Idempotency-Key: "+bad+"\r\n"); client.status != 400 {
			t.Errorf("idempotency key %q: status %d, want 400", bad, client.status)
		}
	}
	startSearch("q", "idempotency-key: f2b9438a\r\n")
	w.openConns()
	first := w.serverConns()[0]
	if sent := string(w.conns[first].unsent) + strings.Join(w.requestLines, ";"); !strings.Contains(sent, ",k=f2b9438a ") {
		t.Errorf("the first attempt was sent without its key: %q", sent)
	}
	w.requestLines = nil
	w.turn(func() { w.closeByPeer(first) })
	w.advance(400)
	w.openConns()
	w.advance(1)
	if sent := strings.Join(w.requestLines, ";"); !strings.Contains(sent, ",k=f2b9438a ") {
		t.Errorf("the second attempt was sent without its key: %q", sent)
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
		if w.engine.Counters.AttemptsSent != 1 {
			t.Errorf("token window %s: %d attempts sent, want 1", window, w.engine.Counters.AttemptsSent)
			continue
		}
		w.turn(func() { w.closeByPeer(w.serverConns()[0]) }) // the attempt may have run
		w.advance(500)
		w.openConns()
		if window != "1e300" && (w.engine.Counters.AttemptsSent != 1 || client.status != 500) {
			t.Errorf("token window %s: %d attempts sent, want 1; status %d, want 500", window, w.engine.Counters.AttemptsSent, client.status)
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
		t.Errorf("a search of a two-phase type got status %d, want 501", client.status)
	}
	if w.runUntilAnswered(other); other.status != 200 || w.engine.Counters.AttemptsSent != 1 {
		t.Errorf("a search of another type got status %d, want 200; %d attempts sent, want 1", other.status, w.engine.Counters.AttemptsSent)
	}
	recorded := &recordedSearch{}
	w.turn(func() {
		w.engine.StartSearch(0, unknownCustomer, w.now+900, false, []ShardRequest{{Shard: 0, Share: 1}}, recorded)
	})
	if w.advance(50); !slices.Equal(recorded.results, []Result{Failed}) || w.engine.Counters.AttemptsSent != 1 {
		t.Errorf("a search of a further front end got results %v, want one %v; %d attempts sent, want 1",
			recorded.results, Failed, w.engine.Counters.AttemptsSent)
	}
	w.shutDownAndCheck()
}
