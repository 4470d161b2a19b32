package grpcproxy

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"kestrelspread/internal/grpcwire"
	p "kestrelspread/internal/standin/grpcpeer"
)

func TestOneCall(t *testing.T) {
	s := newScene(t, 1, 2, "")
	c := p.Dial(s.w, 1)
	a := c.Call(&p.Ask{Path: "/quick.message/Get", Timeout: 500, Fields: []string{"x-a", "1", "b-bin", "AAEC"},
		Body: [][]byte{p.Message("hello")}})
	s.w.Run(100)
	if a.Status != 0 || texts(a.Got) != "hello" || a.Finals != 1 {
		t.Fatalf("status %d, got %q, %d finals\n%s", a.Status, a.Got, a.Finals, s.w.Log)
	}
	var k *p.Got
	for _, v := range s.servers {
		if len(v.Calls) > 0 {
			k = v.Calls[0]
		}
	}
	if k.Get("x-a") != "1" || k.Get("b-bin") != "AAEC" || k.Get("te") != "trailers" || k.Get(":authority") != "api" {
		t.Error("not passed on as it came:", k.Fields)
	}
	if ms, ok := grpcwire.ParseTimeout(k.Get("grpc-timeout")); !ok || ms > 495 || ms < 450 {
		t.Error("the server was told", k.Get("grpc-timeout"))
	}
	c.E.Close()
	s.w.Run(50)
	s.clean()
}

// row is one thing that a server does to a call's first sub-request; further ones are answered.
type row struct {
	name    string
	path    string
	acts    []p.Act
	status  int    // that the client gets
	got     string // messages
	subs    int    // sub-requests that servers saw
	told    string // outcomes, in the module's order
	back    string // pushback that the client gets
	message string // in grpc-message
	again   []p.Act
	early   bool
}

const (
	quick = "/quick.message/Get"
	once  = "/once.message/Get"
	keyed = "/keyed.message/Get"
	whole = "/quick.end/Get"
	heads = "/quick.headers/Get"
)

func acts(a ...p.Act) []p.Act { return a }

func rows() (list []row) {
	add := func(r row) { list = append(list, r) }
	// Each status, alone and after a message. What an application says is an answer; the rest is repeated where that does
	// no harm, and passed on where it does.
	repeats := map[int]string{1: "errored", 2: "errored", 4: "timed_out", 8: "errored", 13: "errored", 14: "errored", 15: "errored"}
	for code := 1; code <= 16; code++ {
		name := grpcwire.Status(code).String()
		if how, again := repeats[code]; again {
			add(row{name: "only " + name, path: quick, acts: acts(p.Only(1, code)), got: "ok", subs: 2, told: "answered " + how})
			add(row{name: "only " + name + ", once", path: once, acts: acts(p.Only(1, code, "grpc-message", "why")), status: code,
				subs: 1, told: how, back: "-1", message: "why"})
			add(row{name: name + " after a message", path: quick, acts: acts(p.Head(1), p.Say(0, "a"), p.End(1, code)), status: code,
				got: "a", subs: 1, told: how, back: "-1"})
		} else {
			add(row{name: "only " + name, path: quick, acts: acts(p.Only(1, code, "grpc-message", "no%20such")), status: code, subs: 1,
				told: "answered", message: "no%20such"})
			add(row{name: name + " in trailers", path: quick, acts: acts(p.Head(1), p.End(1, code)), status: code, subs: 1, told: "answered"})
		}
	}
	// HTTP/2 error codes.
	for code := http2.ErrCodeNo; code <= http2.ErrCodeInadequateSecurity; code++ {
		end := grpcwire.ResultFromReset(code)
		if code == http2.ErrCodeRefusedStream {
			add(row{name: "refused stream", path: quick, acts: acts(p.Reset(1, code)), got: "ok", subs: 2, told: "answered full"})
			add(row{name: "refused stream, once", path: once, acts: acts(p.Reset(1, code)), got: "ok", subs: 2, told: "answered full"})
			continue
		}
		add(row{name: "reset " + code.String(), path: quick, acts: acts(p.Reset(1, code)), got: "ok", subs: 2, told: "answered errored"})
		add(row{name: "reset " + code.String() + ", once", path: once, acts: acts(p.Reset(1, code)), status: int(end.Status), subs: 1,
			told: "errored", back: "-1"})
	}
	for http, code := range map[string]int{"400": 13, "401": 16, "403": 7, "404": 12, "429": 14, "502": 14, "503": 14, "504": 14, "500": 2} {
		add(row{name: "HTTP " + http, path: once, acts: acts(p.OnlyFields(1, ":status", http)), status: code, subs: 1, told: "errored", back: "-1"})
	}
	more := []row{
		{name: "an unknown status", path: once, acts: acts(p.Only(1, 99)), status: 99, subs: 1, told: "errored", back: "-1"},
		{name: "no gRPC", path: quick, acts: acts(p.OnlyFields(1, ":status", "200", "content-type", "text/html")), got: "ok", subs: 2,
			told: "answered errored"},
		{name: "closed without a status", path: once, acts: acts(p.Head(1), p.Say(0, "a"), p.EndBare(1)), status: 2, got: "a", subs: 1,
			told: "errored", back: "-1"},
		{name: "headers, then silence", path: whole, acts: acts(p.Head(1)), got: "ok", subs: 2, told: "answered cancelled"},
		{name: "headers, then silence, once", path: once, acts: acts(p.Head(1)), status: 4, subs: 1, told: "cancelled"},
		{name: "silence", path: quick, got: "ok", subs: 2, told: "answered cancelled"},
		{name: "silence, once", path: once, status: 4, subs: 1, told: "cancelled"},
		{name: "dies before anything", path: quick, acts: acts(p.Die(1)), got: "ok", subs: 2, told: "answered reset"},
		{name: "dies before anything, once", path: once, acts: acts(p.Die(1)), status: 14, subs: 1, told: "reset", back: "-1"},
		{name: "dies after headers", path: quick, acts: acts(p.Head(1), p.Die(1)), got: "ok", subs: 2, told: "answered reset"},
		{name: "dies after headers that were passed", path: heads, acts: acts(p.Head(1), p.Die(3)), status: 14, subs: 1, told: "reset", back: "-1"},
		{name: "dies after a message that was passed", path: quick, acts: acts(p.Head(1), p.Say(0, "a"), p.Die(3)), status: 14, got: "a",
			subs: 1, told: "reset", back: "-1"},
		{name: "dies after a message that was held", path: whole, acts: acts(p.Head(1), p.Say(0, "a"), p.Die(3)), got: "ok", subs: 2,
			told: "answered reset"},
		{name: "dies after a message, once", path: once, acts: acts(p.Head(1), p.Say(0, "a"), p.Die(3)), status: 14, got: "a", subs: 1,
			told: "reset", back: "-1"},
		{name: "half a message, then the end", path: whole, acts: acts(p.Head(1), p.Raw(0, p.Message("abc")[:6]), p.End(1, 0)), got: "ok",
			subs: 2, told: "answered errored"},
		{name: "half a message, once", path: "/once.end/Get", acts: acts(p.Head(1), p.Raw(0, p.Message("abc")[:6]), p.End(1, 0)), status: 13,
			subs: 1, told: "errored", back: "-1"},
		{name: "a message with a wrong flag", path: quick, acts: acts(p.Head(1), p.Raw(0, []byte{7, 0, 0, 0, 0})), got: "ok", subs: 2,
			told: "answered errored"},
		{name: "a message over the limit", path: quick, acts: acts(p.Head(1), p.Raw(0, []byte{0, 0xff, 0, 0, 0})), status: 8, subs: 1,
			told: "answered", back: "-1"},
		{name: "metadata over the limit", path: quick, acts: acts(p.Head(1, "x", strings.Repeat("y", 9<<10))), status: 8, subs: 1,
			told: "answered", back: "-1"},
		{name: "data before headers", path: quick, acts: acts(p.Bytes(1, p.Frame(http2.FrameData, 0, 1, []byte("x")))), got: "ok", subs: 2,
			told: "answered errored"},
		{name: "headers twice", path: whole, acts: acts(p.Head(1), p.Head(1)), got: "ok", subs: 2, told: "answered errored"},
		{name: "a frame that is too long", path: quick, acts: acts(p.Bytes(1, p.Frame(http2.FrameData, 0, 1, make([]byte, 17<<10)))),
			got: "ok", subs: 2, told: "answered reset"},
		{name: "a header block that can't be read", path: quick, acts: acts(p.Bytes(1, p.Frame(http2.FrameHeaders, 4, 1, []byte{0xff, 0xff,
			0xff, 0xff, 0xff, 0xff}))), got: "ok", subs: 2, told: "answered reset"},
		{name: "a push", path: quick, acts: acts(p.Bytes(1, p.Frame(http2.FramePushPromise, 4, 1, []byte{0, 0, 0, 2, 0x88}))), got: "ok", subs: 2,
			told: "answered reset"},
		{name: "no HTTP/2 in the middle", path: quick, acts: acts(p.Bytes(1, []byte("HTTP/1.1 400 Bad Request\r\n\r\n"))), got: "ok", subs: 2,
			told: "answered reset"},
		{name: "GOAWAY before the stream", path: once, acts: acts(p.Bye(1, 0, http2.ErrCodeNo)), got: "ok", subs: 2, told: "answered moot"},
		{name: "GOAWAY after the stream", path: once, acts: acts(p.Bye(1, 1, http2.ErrCodeNo), p.Head(5), p.Say(0, "late"), p.End(0, 0)),
			got: "late", subs: 1, told: "answered"},
		{name: "GOAWAY after the stream, then death", path: once, acts: acts(p.Bye(1, 1, http2.ErrCodeNo), p.Die(5)), status: 14, subs: 1,
			told: "reset", back: "-1"},
		{name: "pushback without a time", path: quick, acts: acts(p.Only(1, 14, "grpc-retry-pushback-ms", "-1")), status: 14, subs: 1,
			told: "errored", back: "-1"},
		{name: "pushback that can't be read", path: quick, acts: acts(p.Only(1, 14, "grpc-retry-pushback-ms", "soon")), status: 14, subs: 1,
			told: "errored", back: "-1"},
		{name: "pushback of 40 ms", path: quick, acts: acts(p.Only(1, 14, "grpc-retry-pushback-ms", "40")), got: "ok", subs: 2,
			told: "answered errored"},
		{name: "pushback past the time", path: quick, acts: acts(p.Only(1, 14, "grpc-retry-pushback-ms", "2000")), status: 14, subs: 1,
			told: "errored", back: "2000"},
		{name: "tokened, within its window", path: keyed, acts: acts(p.Only(1, 14)), got: "ok", subs: 2, told: "answered errored"},
		{name: "unseen by the operator's word", path: "/unseen.once/Get", acts: acts(p.Only(1, 8)), got: "ok", subs: 2, told: "answered full"},
		{name: "unseen, but after a message", path: "/unseen.once/Get", acts: acts(p.Head(1), p.Say(0, "a"), p.End(1, 8)), status: 8, got: "a",
			subs: 1, told: "errored", back: "-1"},
		{name: "details pass", path: once, acts: acts(p.Only(1, 14, "grpc-status-details-bin", "CAE", "x-own", "1")), status: 14, subs: 1,
			told: "errored", back: "-1"},
		{name: "fails twice, then answers", path: quick, acts: acts(p.Only(1, 14)), again: acts(p.Only(1, 13)), status: 13, subs: 3,
			told: "errored errored errored", back: "37-113"},
		{name: "answers before the client has ended", path: quick, acts: acts(p.Only(0, 5)), early: true, status: 5, subs: 1, told: "answered"},
	}
	return append(list, more...)
}

func TestWhatServersDo(t *testing.T) {
	list := rows()
	if len(list) < 60 {
		t.Fatal("only", len(list), "rows")
	}
	for _, r := range list {
		t.Run(r.name, func(t *testing.T) {
			s := newScene(t, 3, 2, "", tableRoutes()...)
			s.byAttempt(func(_ *p.Got) []p.Act { return r.acts }, func(_ *p.Got) []p.Act {
				if r.again != nil {
					return r.again
				}
				return acts(p.Head(1), p.Say(0, "ok"), p.End(0, 0))
			})
			for _, v := range s.servers {
				v.Early = r.early
			}
			c := p.Dial(s.w, 1)
			since := s.w.R.Count.Outcomes
			a := c.Call(&p.Ask{Path: r.path, Timeout: 900, Body: [][]byte{p.Message("ask")}})
			s.w.Run(1500)
			subs := 0
			for _, v := range s.servers {
				subs += len(v.Calls)
			}
			told := strings.Join(s.told(since), " ")
			if a.Finals != 1 || a.Status != r.status || texts(a.Got) != r.got || subs != r.subs || told != r.told ||
				!within(a.Get("grpc-retry-pushback-ms"), r.back) || r.message != "" && a.Get("grpc-message") != r.message {
				t.Errorf("%d finals, status %d (want %d), got %q (want %q), %d sub-requests (want %d), told %q (want %q), pushback %q "+
					"(want %q), message %q", a.Finals, a.Status, r.status, texts(a.Got), r.got, subs, r.subs, told, r.told,
					a.Get("grpc-retry-pushback-ms"), r.back, a.Get("grpc-message"))
			}
			if a.DoneAt > a.At+900 {
				t.Errorf("after %.1f ms", a.DoneAt-a.At)
			}
			c.E.Close()
			s.w.Run(100)
			s.clean()
			if t.Failed() && testing.Verbose() {
				fmt.Println(s.w.Log)
			}
		})
	}
}

// within: a number lies between two, or a text is the very one.
func within(got, want string) bool {
	from, to, span := strings.Cut(want, "-")
	if !span || from == "" {
		return got == want
	}
	n, err := strconv.Atoi(got)
	low, _ := strconv.Atoi(from)
	high, _ := strconv.Atoi(to)
	return err == nil && n >= low && n <= high
}
