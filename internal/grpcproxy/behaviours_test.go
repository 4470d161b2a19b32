package grpcproxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"kestrelspread/internal/grpcwire"
	p "kestrelspread/internal/standin/grpcpeer"
)

func TestCallIsForwarded(t *testing.T) {
	s := newHarness(t, 1, 2, "")
	c := p.Dial(s.world, 1)
	a := c.Call(&p.ClientCall{Path: "/quick.message/Get", TimeoutMs: 500, Fields: []string{"x-a", "1", "b-bin", "AAEC"},
		Body: [][]byte{p.EncodeMessage("hello")}})
	s.world.Run(100)
	if a.Status != 0 || messagesOf(a.ReceivedBody) != "hello" || a.FinalStatuses != 1 {
		t.Fatalf("status %d, got %q, %d finals\n%s", a.Status, a.ReceivedBody, a.FinalStatuses, s.world.Log)
	}
	var k *p.ServerCall
	for _, v := range s.servers {
		if len(v.Calls) > 0 {
			k = v.Calls[0]
		}
	}
	if k.Header("x-a") != "1" || k.Header("b-bin") != "AAEC" || k.Header("te") != "trailers" || k.Header(":authority") != "api" {
		t.Error("not passed on as it came:", k.Fields)
	}
	if ms, ok := grpcwire.ParseTimeout(k.Header("grpc-timeout")); !ok || ms > 495 || ms < 450 {
		t.Error("the server was told", k.Header("grpc-timeout"))
	}
	c.Endpoint.Close()
	s.world.Run(50)
	s.checkReleased()
}

// serverBehaviour is what a server does with a call's first attempt; later ones are answered.
type serverBehaviour struct {
	name      string
	path      string
	acts      []p.Action
	status    int    // that the client gets
	got       string // messages
	attempts  int    // that servers saw
	outcomes  string // in the policy's order
	pushback  string // that the client gets
	message   string // in grpc-message
	laterActs []p.Action
	early     bool
}

const (
	quickPath      = "/quick.message/Get"
	oncePath       = "/once.message/Get"
	keyedPath      = "/keyed.message/Get"
	quickAtEnd     = "/quick.end/Get"
	quickAtHeaders = "/quick.headers/Get"
)

func acts(a ...p.Action) []p.Action { return a }

// serverBehaviours are all of them.
func serverBehaviours() []serverBehaviour {
	return slices.Concat(statusBehaviours(), resetBehaviours(), httpBehaviours(), responseBehaviours(),
		connectionBehaviours(), retryBehaviours())
}

// statusBehaviours end with each status, alone and after a message. What an application says is an
// answer; the rest is retried where that does no harm, and passed on where it does.
func statusBehaviours() (list []serverBehaviour) {
	add := func(r serverBehaviour) { list = append(list, r) }
	retried := map[int]string{1: "errored", 2: "errored", 4: "timed_out", 8: "errored", 13: "errored", 14: "errored", 15: "errored"}
	for code := 1; code <= 16; code++ {
		name := grpcwire.Status(code).String()
		if outcome, again := retried[code]; again {
			add(serverBehaviour{name: "only " + name, path: quickPath, acts: acts(p.SendTrailersOnly(1, code)), got: "ok", attempts: 2, outcomes: "answered " + outcome})
			add(serverBehaviour{name: "only " + name + ", once", path: oncePath, acts: acts(p.SendTrailersOnly(1, code, "grpc-message", "why")), status: code,
				attempts: 1, outcomes: outcome, pushback: "-1", message: "why"})
			add(serverBehaviour{name: name + " after a message", path: quickPath, acts: acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.SendTrailers(1, code)), status: code,
				got: "a", attempts: 1, outcomes: outcome, pushback: "-1"})
		} else {
			add(serverBehaviour{name: "only " + name, path: quickPath, acts: acts(p.SendTrailersOnly(1, code, "grpc-message", "no%20such")), status: code, attempts: 1,
				outcomes: "answered", message: "no%20such"})
			add(serverBehaviour{name: name + " in trailers", path: quickPath, acts: acts(p.SendHeaders(1), p.SendTrailers(1, code)), status: code, attempts: 1, outcomes: "answered"})
		}
	}
	return list
}

// resetBehaviours reset the stream with each error code of HTTP/2.
func resetBehaviours() (list []serverBehaviour) {
	add := func(r serverBehaviour) { list = append(list, r) }
	for code := http2.ErrCodeNo; code <= http2.ErrCodeInadequateSecurity; code++ {
		end := grpcwire.ResultFromReset(code)
		if code == http2.ErrCodeRefusedStream {
			add(serverBehaviour{name: "refused stream", path: quickPath, acts: acts(p.ResetStream(1, code)), got: "ok", attempts: 2, outcomes: "answered full"})
			add(serverBehaviour{name: "refused stream, once", path: oncePath, acts: acts(p.ResetStream(1, code)), got: "ok", attempts: 2, outcomes: "answered full"})
			continue
		}
		add(serverBehaviour{name: "reset " + code.String(), path: quickPath, acts: acts(p.ResetStream(1, code)), got: "ok", attempts: 2, outcomes: "answered errored"})
		add(serverBehaviour{name: "reset " + code.String() + ", once", path: oncePath, acts: acts(p.ResetStream(1, code)), status: int(end.Status), attempts: 1,
			outcomes: "errored", pushback: "-1"})
	}
	return list
}

// httpBehaviours are responses that aren't gRPC's.
func httpBehaviours() (list []serverBehaviour) {
	for http, code := range map[string]int{"400": 13, "401": 16, "403": 7, "404": 12, "429": 14, "502": 14, "503": 14, "504": 14, "500": 2} {
		list = append(list, serverBehaviour{name: "HTTP " + http, path: oncePath, acts: acts(p.SendHeadersOnly(1, ":status", http)), status: code, attempts: 1, outcomes: "errored", pushback: "-1"})
	}
	return list
}

// responseBehaviours are incomplete and invalid responses.
func responseBehaviours() []serverBehaviour {
	return []serverBehaviour{
		{name: "an unknown status", path: oncePath, acts: acts(p.SendTrailersOnly(1, 99)), status: 99, attempts: 1, outcomes: "errored", pushback: "-1"},
		{name: "no gRPC", path: quickPath, acts: acts(p.SendHeadersOnly(1, ":status", "200", "content-type", "text/html")), got: "ok", attempts: 2,
			outcomes: "answered errored"},
		{name: "closed without a status", path: oncePath, acts: acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.EndWithoutTrailers(1)), status: 2, got: "a", attempts: 1,
			outcomes: "errored", pushback: "-1"},
		{name: "headers, then silence", path: quickAtEnd, acts: acts(p.SendHeaders(1)), got: "ok", attempts: 2, outcomes: "answered cancelled"},
		{name: "headers, then silence, once", path: oncePath, acts: acts(p.SendHeaders(1)), status: 4, attempts: 1, outcomes: "cancelled"},
		{name: "silence", path: quickPath, got: "ok", attempts: 2, outcomes: "answered cancelled"},
		{name: "silence, once", path: oncePath, status: 4, attempts: 1, outcomes: "cancelled"},
		{name: "dies before anything", path: quickPath, acts: acts(p.Crash(1)), got: "ok", attempts: 2, outcomes: "answered reset"},
		{name: "dies before anything, once", path: oncePath, acts: acts(p.Crash(1)), status: 14, attempts: 1, outcomes: "reset", pushback: "-1"},
		{name: "dies after headers", path: quickPath, acts: acts(p.SendHeaders(1), p.Crash(1)), got: "ok", attempts: 2, outcomes: "answered reset"},
		{name: "dies after headers that were passed", path: quickAtHeaders, acts: acts(p.SendHeaders(1), p.Crash(3)), status: 14, attempts: 1, outcomes: "reset", pushback: "-1"},
		{name: "dies after a message that was passed", path: quickPath, acts: acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.Crash(3)), status: 14, got: "a",
			attempts: 1, outcomes: "reset", pushback: "-1"},
		{name: "dies after a message that was held", path: quickAtEnd, acts: acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.Crash(3)), got: "ok", attempts: 2,
			outcomes: "answered reset"},
		{name: "dies after a message, once", path: oncePath, acts: acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.Crash(3)), status: 14, got: "a", attempts: 1,
			outcomes: "reset", pushback: "-1"},
		{name: "half a message, then the end", path: quickAtEnd, acts: acts(p.SendHeaders(1), p.SendBody(0, p.EncodeMessage("abc")[:6]), p.SendTrailers(1, 0)), got: "ok",
			attempts: 2, outcomes: "answered errored"},
		{name: "half a message, once", path: "/once.end/Get", acts: acts(p.SendHeaders(1), p.SendBody(0, p.EncodeMessage("abc")[:6]), p.SendTrailers(1, 0)), status: 13,
			attempts: 1, outcomes: "errored", pushback: "-1"},
		{name: "a message with a wrong flag", path: quickPath, acts: acts(p.SendHeaders(1), p.SendBody(0, []byte{7, 0, 0, 0, 0})), got: "ok", attempts: 2,
			outcomes: "answered errored"},
		{name: "a message over the limit", path: quickPath, acts: acts(p.SendHeaders(1), p.SendBody(0, []byte{0, 0xff, 0, 0, 0})), status: 8, attempts: 1,
			outcomes: "answered", pushback: "-1"},
		{name: "metadata over the limit", path: quickPath, acts: acts(p.SendHeaders(1, "x", strings.Repeat("y", 9<<10))), status: 8, attempts: 1,
			outcomes: "answered", pushback: "-1"},
		{name: "data before headers", path: quickPath, acts: acts(p.SendRawBytes(1, p.Frame(http2.FrameData, 0, 1, []byte("x")))), got: "ok", attempts: 2,
			outcomes: "answered errored"},
		{name: "headers twice", path: quickAtEnd, acts: acts(p.SendHeaders(1), p.SendHeaders(1)), got: "ok", attempts: 2, outcomes: "answered errored"},
	}
}

// connectionBehaviours are faults of the connection, and GOAWAY.
func connectionBehaviours() []serverBehaviour {
	return []serverBehaviour{
		{name: "a frame that is too long", path: quickPath, acts: acts(p.SendRawBytes(1, p.Frame(http2.FrameData, 0, 1, make([]byte, 17<<10)))),
			got: "ok", attempts: 2, outcomes: "answered reset"},
		{name: "a header block that can't be read", path: quickPath, acts: acts(p.SendRawBytes(1, p.Frame(http2.FrameHeaders, 4, 1, []byte{0xff, 0xff,
			0xff, 0xff, 0xff, 0xff}))), got: "ok", attempts: 2, outcomes: "answered reset"},
		{name: "a push", path: quickPath, acts: acts(p.SendRawBytes(1, p.Frame(http2.FramePushPromise, 4, 1, []byte{0, 0, 0, 2, 0x88}))), got: "ok", attempts: 2,
			outcomes: "answered reset"},
		{name: "no HTTP/2 in the middle", path: quickPath, acts: acts(p.SendRawBytes(1, []byte("HTTP/1.1 400 Bad Request\r\n\r\n"))), got: "ok", attempts: 2,
			outcomes: "answered reset"},
		{name: "GOAWAY before the stream", path: oncePath, acts: acts(p.SendGoAway(1, 0, http2.ErrCodeNo)), got: "ok", attempts: 2, outcomes: "answered moot"},
		{name: "GOAWAY after the stream", path: oncePath, acts: acts(p.SendGoAway(1, 1, http2.ErrCodeNo), p.SendHeaders(5), p.SendMessage(0, "late"), p.SendTrailers(0, 0)),
			got: "late", attempts: 1, outcomes: "answered"},
		{name: "GOAWAY after the stream, then death", path: oncePath, acts: acts(p.SendGoAway(1, 1, http2.ErrCodeNo), p.Crash(5)), status: 14, attempts: 1,
			outcomes: "reset", pushback: "-1"},
	}
}

// retryBehaviours are about pushback and about what is retried.
func retryBehaviours() []serverBehaviour {
	return []serverBehaviour{
		{name: "pushback without a time", path: quickPath, acts: acts(p.SendTrailersOnly(1, 14, "grpc-retry-pushback-ms", "-1")), status: 14, attempts: 1,
			outcomes: "errored", pushback: "-1"},
		{name: "pushback that can't be read", path: quickPath, acts: acts(p.SendTrailersOnly(1, 14, "grpc-retry-pushback-ms", "soon")), status: 14, attempts: 1,
			outcomes: "errored", pushback: "-1"},
		{name: "pushback of 40 ms", path: quickPath, acts: acts(p.SendTrailersOnly(1, 14, "grpc-retry-pushback-ms", "40")), got: "ok", attempts: 2,
			outcomes: "answered errored"},
		{name: "pushback past the time", path: quickPath, acts: acts(p.SendTrailersOnly(1, 14, "grpc-retry-pushback-ms", "2000")), status: 14, attempts: 1,
			outcomes: "errored", pushback: "2000"},
		{name: "tokened, within its window", path: keyedPath, acts: acts(p.SendTrailersOnly(1, 14)), got: "ok", attempts: 2, outcomes: "answered errored"},
		{name: "unseen by the operator's word", path: "/unseen.once/Get", acts: acts(p.SendTrailersOnly(1, 8)), got: "ok", attempts: 2, outcomes: "answered full"},
		{name: "unseen, but after a message", path: "/unseen.once/Get", acts: acts(p.SendHeaders(1), p.SendMessage(0, "a"), p.SendTrailers(1, 8)), status: 8, got: "a",
			attempts: 1, outcomes: "errored", pushback: "-1"},
		{name: "details pass", path: oncePath, acts: acts(p.SendTrailersOnly(1, 14, "grpc-status-details-bin", "CAE", "x-own", "1")), status: 14, attempts: 1,
			outcomes: "errored", pushback: "-1"},
		{name: "fails twice, then answers", path: quickPath, acts: acts(p.SendTrailersOnly(1, 14)), laterActs: acts(p.SendTrailersOnly(1, 13)), status: 13, attempts: 3,
			outcomes: "errored errored errored", pushback: "37-113"},
		{name: "answers before the client has ended", path: quickPath, acts: acts(p.SendTrailersOnly(0, 5)), early: true, status: 5, attempts: 1, outcomes: "answered"},
	}
}

func TestServerBehaviours(t *testing.T) {
	list := serverBehaviours()
	if len(list) < 60 {
		t.Fatal("only", len(list), "rows")
	}
	for _, r := range list {
		t.Run(r.name, func(t *testing.T) {
			s := newHarness(t, 3, 2, "", testRoutes()...)
			s.scriptByAttempt(func(_ *p.ServerCall) []p.Action { return r.acts }, func(_ *p.ServerCall) []p.Action {
				if r.laterActs != nil {
					return r.laterActs
				}
				return acts(p.SendHeaders(1), p.SendMessage(0, "ok"), p.SendTrailers(0, 0))
			})
			for _, v := range s.servers {
				v.ActsOnHeaders = r.early
			}
			c := p.Dial(s.world, 1)
			since := s.world.Engine.Counters.Outcomes
			a := c.Call(&p.ClientCall{Path: r.path, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("ask")}})
			s.world.Run(1500)
			attempts := 0
			for _, v := range s.servers {
				attempts += len(v.Calls)
			}
			outcomes := strings.Join(s.outcomesSince(since), " ")
			if a.FinalStatuses != 1 || a.Status != r.status || messagesOf(a.ReceivedBody) != r.got || attempts != r.attempts || outcomes != r.outcomes ||
				!matchesRange(a.Trailer("grpc-retry-pushback-ms"), r.pushback) || r.message != "" && a.Trailer("grpc-message") != r.message {
				t.Errorf("%d finals, status %d (want %d), got %q (want %q), %d attempts (want %d), outcomes %q (want %q), pushback %q "+
					"(want %q), message %q", a.FinalStatuses, a.Status, r.status, messagesOf(a.ReceivedBody), r.got, attempts, r.attempts, outcomes, r.outcomes,
					a.Trailer("grpc-retry-pushback-ms"), r.pushback, a.Trailer("grpc-message"))
			}
			if a.DoneAtMs > a.StartedAtMs+900 {
				t.Errorf("after %.1f ms", a.DoneAtMs-a.StartedAtMs)
			}
			c.Endpoint.Close()
			s.world.Run(100)
			s.checkReleased()
			if t.Failed() && testing.Verbose() {
				fmt.Println(s.world.Log)
			}
		})
	}
}

// matchesRange reports whether a number lies in a range, as "37-113", or a text is equal.
func matchesRange(got, want string) bool {
	from, to, span := strings.Cut(want, "-")
	if !span || from == "" {
		return got == want
	}
	n, err := strconv.Atoi(got)
	low, _ := strconv.Atoi(from)
	high, _ := strconv.Atoi(to)
	return err == nil && n >= low && n <= high
}
