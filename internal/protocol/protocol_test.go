package protocol

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// pieces cuts input where the bits of by say; 0 leaves it whole.
func pieces(input []byte, by uint64) (cut [][]byte) {
	from := 0
	for i := range input {
		if by>>(uint(i*7+i/64)%64)&1 != 0 {
			cut = append(cut, input[from:i])
			from = i
		}
	}
	return append(cut, input[from:])
}

// heard tells in words what a stream of messages holds.
func heard(t *testing.T, input []byte, by uint64, response bool) string {
	var m Message
	var said strings.Builder
	if response {
		m.ExpectResponse()
	}
	m.SetStorage(make([]byte, 0, MaxHead+MaxBody))
	for _, b := range pieces(input, by) {
		for len(b) > 0 {
			used, step, err := m.Feed(b)
			if len(m.buf) > MaxHead+MaxBody || used > len(b) {
				t.Fatalf("%d bytes held, %d of %d used", len(m.buf), used, len(b))
			}
			if err != nil {
				fmt.Fprint(&said, "! ", err)
				return said.String()
			}
			b = b[used:]
			if step == Complete {
				id, n := m.Header("x-call-id")
				fmt.Fprintf(&said, "%s %d %v %q %d %q %q\n", m.Path(), m.Status(), m.IsLast(), id, n, m.Cookie("k"), m.Body())
				m.Next()
			}
		}
	}
	fmt.Fprint(&said, m.Begun())
	return said.String()
}

const post = "POST /api HTTP/1.1\r\nX-CALL-id: a\r\nCookie: a=b; k=7f\r\n"

func TestMessages(t *testing.T) {
	long := strings.Repeat("x", MaxBody)
	for input, want := range map[string]string{
		post + "Content-Length: 3\r\n\r\nabc" + "\r\nGET /ready?x=1 HTTP/1.1\r\nconnection: Keep-Alive, CLOSE\r\n\r\n": `/api 0 false "a" 1 "7f" "abc"` +
			"\n" + `/ready 0 true "" 0 "" ""` + "\nfalse",
		post + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nTrailer: 1\r\n\r\n": `/api 0 false "a" 1 "7f" "abc"` + "\nfalse",
		"GET /ready HTTP/1.0\r\n\r\n":                                    "/ready 0 true \"\" 0 \"\" \"\"\nfalse",
		post + "Content-Length: 3\r\n\r\nab":                             "true",
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc":       "! more than one length",
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": "! more than one length",
		post + "\r\n":                                                                        "! no length",
		post + "Content-Length: +3\r\n\r\n":                                                  "! a length that is no number",
		post + "Content-Length: \r\n\r\n":                                                    "! a length that is no number",
		post + "Content-Length: 65537\r\n\r\n":                                               "! the body is too long",
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n":                                    "! a coding other than chunked",
		post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                                    "! a chunk's size is no number",
		post + "Transfer-Encoding: chunked\r\n\r\n\r\n":                                      "! a chunk without a size",
		post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc":                                  "! a broken chunk",
		post + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + long[:0x8000] + "\r\n8001\r\n": "! the body is too long",
		post + "Transfer-Encoding: chunked\r\n\r\n1;" + long[:300]:                           "! a chunk's line is too long",
		post + "X: " + long[:MaxHead]:                                                        "! the head is too long",
		post + " folded\r\n\r\n":                                                             "! a broken header line",
		"GET  /ready HTTP/1.1\r\n\r\n":                                                       "! no request line",
		"GET /ready HTTP/2.0\r\n\r\n":                                                        "! not HTTP/1.1",
	} {
		for _, by := range []uint64{0, math.MaxUint64, 0x9e3779b97f4a7c15} {
			if got := heard(t, []byte(input), by, false); got != want {
				t.Errorf("%.80q cut by %x: %q, want %q", input, by, got, want)
			}
		}
	}
}

func FuzzHTTP(f *testing.F) {
	for _, by := range []uint64{0, 1, math.MaxUint64, 0xaaaaaaaaaaaaaaaa, 0x123456789abcdef} {
		f.Add([]byte(post+"Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"), by, false)
		f.Add([]byte(post+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n\r\n\r\n"+post), by, false)
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), by, true)
	}
	f.Fuzz(func(t *testing.T, input []byte, by uint64, response bool) {
		if one, cut := heard(t, input, 0, response), heard(t, input, by, response); one != cut {
			t.Fatalf("in one piece %q, cut %q", one, cut)
		}
	})
}

func frames(t *testing.T, input []byte, by uint64) string {
	var f FrameSplitter
	var said strings.Builder
	f.SetStorage(make([]byte, 0, MaxFrame+4))
	for _, b := range pieces(input, by) {
		err := f.Feed(b, func(letter byte, rest []byte) error {
			fmt.Fprintf(&said, "%c%q", letter, rest)
			id, end, report, value, err := ReadReply(rest)
			fmt.Fprintf(&said, "%q%d%q%q%v", id, end, report, value, err)
			fmt.Fprint(&said, ReadReport(report, func(name []byte, v float64) { fmt.Fprintf(&said, "%s=%g", name, v) }))
			return nil
		})
		if len(f.partial) > MaxFrame+4 {
			t.Fatal(len(f.partial), "bytes held")
		}
		if err != nil {
			return said.String() + "! " + err.Error()
		}
	}
	return said.String() + fmt.Sprint(f.Incomplete())
}

func FuzzFrames(f *testing.F) {
	frame := EndFrame(append(BeginRequestFrame(nil), "a.1 OK 5 inflight=7,util=0.5\nvalue"...), 0)
	frame = AppendShortFrame(AppendShortFrame(frame, FrameLoad, "inflight=x"), FrameAbandon, "a.1")
	huge := binary.LittleEndian.AppendUint32(nil, MaxFrame+1)
	for _, by := range []uint64{0, 1, math.MaxUint64, 0xaaaaaaaaaaaaaaaa} {
		f.Add(frame, by)
		f.Add(append(frame, huge...), by)
		f.Add(append(frame, 0, 0, 0, 0), by)
		f.Add(frame[:len(frame)-2], by)
	}
	f.Fuzz(func(t *testing.T, input []byte, by uint64) {
		if one, cut := frames(t, input, 0), frames(t, input, by); one != cut {
			t.Fatalf("in one piece %q, cut %q", one, cut)
		}
	})
}

func TestReplies(t *testing.T) {
	for line, want := range map[string]bool{"a.1 OK 5 -\nv": true, "a.1 ERROR - -\n": true, "a.1 REJECTED 0 -\n": true,
		"a.1 OK 5 no report\nv": true,
		"a.1 OK five -\nv":      false, "a.1 OK 5 -\n\x01": false, "a.1 OK 5 -\n\xff": false, "a.1 OK 5 -\né": true, "a.1 OK 5 -": false, "a.1 FINE 5 -\n": false, " OK 5 -\n": false, "a.1 OK 5\n": false} {
		if _, _, _, _, err := ReadReply([]byte(line)); (err == nil) != want {
			t.Errorf("%q: %v", line, err)
		}
	}
	call := EndFrame(AppendShardRequest(AppendShardRequest(BeginRequestFrame(nil), "a.3", 3, 240.9, nil, []byte("xy")), "a.4", 4, 0.2, []byte("f2b9"), nil), 0)
	if want := "\x24\x00\x00\x00Ra.3 3 d=240 2\nxya.4 4 d=1,k=f2b9 0\n"; string(call) != want {
		t.Errorf("%q, want %q", call, want)
	}
}

func readSearch(body string) (said string, text []byte, err error) {
	text, _, err = ReadSearch([]byte(body), 24, func(shard int, share, work float64, key uint64) {
		said += fmt.Sprint(shard, share, work, key, ";")
	})
	return said, text, err
}

func TestSearches(t *testing.T) {
	said, text, err := readSearch(`{"text":"a\u00e9\ud83d\ude00\"","more":[{}, null],"segments":[{"segment":3,"boost":0.5,` +
		`"work":9000,"affinity":"00000000000000ff"},{"boost":5e-1,"segment":23}]}`)
	if err != nil || said != "3 0.5 9 255;23 0.5 0 0;" || string(text) != "aé😀\"" {
		t.Error(said, string(text), err)
	}
	if _, _, err := readSearch(`{"text":"","segments":[{"segment":3,"boost":0.3333},{"segment":4,"boost":0.6666}]}`); err != nil {
		t.Error("rounded shares: ", err)
	}
	part := `{"segment":3,"boost":1}`
	if _, _, err := readSearch(`{"text":"","segments":[` + part + `]}`); err != nil {
		t.Error("a sound search: ", err)
	}
	for _, body := range []string{"", "{", "[]", `{"text":""}`, `{"text":"","segments":[]}`, `{"segments":[` + part + `]}`,
		`{"text":"","segments":[` + part + `]}x`, `{"text":"","text":"","segments":[` + part + `]}`,
		`{"text":"","segments":[` + part + `,]}`, `{"text":"","segments":[{"segment":24,"boost":1}]}`,
		`{"text":"","segments":[{"segment":-1,"boost":1}]}`, `{"text":"","segments":[{"segment":1.5,"boost":1}]}`,
		`{"text":"","segments":[{"segment":1}]}`, `{"text":"","segments":[{"segment":1,"boost":-1}]}`,
		`{"text":"","segments":[{"segment":1,"boost":1,"affinity":"zz"}]}`, "{\"text\":\"\n\",\"segments\":[" + part + "]}",
		`{"text":"","segments":[` + part + `],"deep":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}`,
		`{"text":"","segments":[{"segment":1,"boost":1e999}]}`, `{"text":"","segments":[{"segment":01,"boost":1}]}`,
		`{"text":"","segments":[{"segment":1,"boost":0.5}]}`, `{"text":"","segments":[{"segment":1,"boost":1.5}]}`,
		`{"text":"","segments":[{"segment":1,"boost":0},{"segment":2,"boost":1}]}`,
		`{"text":"","segments":[{"segment":1,"boost":-1},{"segment":2,"boost":2}]}`,
		`{"text":"","segments":[{"segment":1,"boost":0.75},{"segment":2,"boost":0.75}]}`,
		`{"text":"","segments":[{"segment":1,"boost":1.}]}`, `{"text":"","segments":[{"segment":1,"boost":1.e2}]}`,
	} {
		if _, _, err := readSearch(body); err == nil {
			t.Errorf("taken: %s", body)
		}
	}
}

func FuzzJSON(f *testing.F) {
	f.Add([]byte(`{"text":"a\u0000\n","segments":[{"segment":3,"boost":1.5e-1,"work":9000,"affinity":"ff"}],"x":[1,{"a":true}]}`))
	f.Add([]byte(`{"generation":43,"reset":false,"instances":[{"instanceId":"s","hostPort":"1.2.3.4:5","zone":"a","cell":3,` +
		`"lifecycle":"draining","weight":1.0,"startedAtMs":0},{"instanceId":"t","lifecycle":"gone"}]}`))
	f.Add([]byte(`{"generation":1,"instances":[{"instanceId":"s","hostPort":"x","lifecycle":"new"}]}`))
	f.Add([]byte(`{"text":"\ud800\udc00\ud800","segments":[{"segment":0,"boost":-0}]}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		_, text, err := readSearch(string(input))
		if err == nil {
			var other struct{ Text string }
			if err := json.Unmarshal(input, &other); err != nil {
				t.Fatal("taken, but no JSON:", err)
			}
			if utf8.Valid(input) && !bytes.Contains(input, []byte("ext\"")) && other.Text != string(text) {
				t.Fatalf("text %q, want %q", text, other.Text)
			}
		}
		version, whole, err := ReadList(input, nil)
		n := 0
		again, same, err2 := ReadList(input, func(id, _, _ []byte, cell int, state uint8, _, _ float64) {
			if n++; len(id) == 0 || cell < 0 || state > 2 {
				t.Fatal("an entry that is none")
			}
		})
		if version != again || whole != same || (err == nil) != (err2 == nil) || err == nil && !json.Valid(input) {
			t.Fatal(version, again, err, err2)
		}
		body := EndAnswer(AppendMatch(AppendMatch(AppendAnswer(nil, true), 3, input), 4, nil))
		var answer struct {
			All     bool `json:"all_in"`
			Matches []struct {
				Segment int
				Payload string
			}
		}
		if err := json.Unmarshal(body, &answer); err != nil || len(answer.Matches) != 2 || !answer.All {
			t.Fatal(err, answer)
		}
		if utf8.Valid(input) && answer.Matches[0].Payload != string(input) {
			t.Fatalf("%q came out as %q", input, answer.Matches[0].Payload)
		}
	})
}

func FuzzLines(f *testing.F) {
	f.Add([]byte("\r\n{}\r\n\nabc"), uint64(5))
	f.Fuzz(func(t *testing.T, input []byte, by uint64) {
		read := func(by uint64) (lines []string) {
			var l LineSplitter
			for _, b := range pieces(input, by) {
				l.Feed(b, func(line []byte) error { lines = append(lines, string(line)); return nil })
			}
			return append(lines, string(l.partial))
		}
		if one, cut := read(0), read(by); fmt.Sprint(one) != fmt.Sprint(cut) {
			t.Fatalf("in one piece %q, cut %q", one, cut)
		}
	})
}

func TestAListMayComeOverManyLines(t *testing.T) {
	const whole = "{\"generation\":4,\"reset\":true,\"instances\":[]}"
	const indented = "{\n  \"generation\": 5,\r\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": \"a{\\\"\",\n" +
		"      \"hostPort\": \"127.0.0.1:1\",\n      \"lifecycle\": \"ready\"\n    }\n  ]\n}\n"
	for text, want := range map[string]string{
		whole + "\n\n" + indented + "\n" + whole + "\n": "4 - 5 - 4 ",
		indented + indented:                             "5 5 ",
		"{\"generation\":4,\n\n":                        "error", // a beat behind half a list
		"{\"generation\":4,\n" + whole + "\n":           "error",
		"{broken\n":                                     "error",
		"{\"generation\":\"\n":                          "error", // no line ends within a word
	} {
		for size := 1; size <= len(text); size += 7 { // however it is cut
			var l LineSplitter
			said := ""
			for at := 0; at < len(text) && said != "error"; at += size {
				if l.Feed([]byte(text[at:min(at+size, len(text))]), func(line []byte) error {
					if len(line) == 0 {
						said += "- "
						return nil
					}
					version, _, err := ReadList(line, nil)
					said += fmt.Sprint(version, " ")
					return err
				}) != nil {
					said = "error"
				}
			}
			if said != want {
				t.Fatalf("%q in pieces of %d: %q, want %q", text, size, said, want)
			}
		}
	}
}

func TestALongListOverManyLinesCostsNoMoreThanItsLength(t *testing.T) {
	// 3 MB in lines of a few bytes, as a careless agent indents them. Moved for each line it took minutes.
	var list bytes.Buffer
	list.WriteString("{\"generation\":7,\"reset\":true,\"instances\":[\n")
	for i := 0; list.Len() < 3<<20; i++ {
		if i > 0 {
			list.WriteString(",\n")
		}
		fmt.Fprintf(&list, "{\n\"instanceId\":\n\"s%d\",\n\"hostPort\"\n:\"127.0.0.1:1\"\n,\n\"lifecycle\":\n\"ready\"\n}\n", i)
	}
	list.WriteString("]}\n")
	var l LineSplitter
	lists := 0
	began := time.Now()
	for rest := list.Bytes(); len(rest) > 0; {
		n := min(len(rest), 64<<10)
		if err := l.Feed(rest[:n], func(line []byte) error {
			if version, whole, err := ReadList(line, nil); err == nil && version == 7 && whole {
				lists++
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if rest = rest[n:]; time.Since(began) > 20*time.Second {
			t.Fatalf("%d bytes are left after 20 s", len(rest))
		}
	}
	if lists != 1 {
		t.Errorf("%d lists", lists)
	}
}
