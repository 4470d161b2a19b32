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

// split splits input before the bytes for which pattern has a bit set. With pattern 0 it returns one
// chunk.
func split(input []byte, pattern uint64) (chunks [][]byte) {
	start := 0
	for i := range input {
		if pattern>>(uint(i*7+i/64)%64)&1 != 0 {
			chunks = append(chunks, input[start:i])
			start = i
		}
	}
	return append(chunks, input[start:])
}

// describeMessages parses a stream of messages and returns a description of them.
func describeMessages(t *testing.T, input []byte, pattern uint64, response bool) string {
	var message Message
	var description strings.Builder
	if response {
		message.ExpectResponse()
	}
	message.SetBuffer(make([]byte, 0, MaxHead+MaxBody))
	for _, chunk := range split(input, pattern) {
		for len(chunk) > 0 {
			used, step, err := message.Feed(chunk)
			if len(message.buf) > MaxHead+MaxBody || used > len(chunk) {
				t.Fatalf("%d bytes buffered, %d of %d used", len(message.buf), used, len(chunk))
			}
			if err != nil {
				fmt.Fprint(&description, "! ", err)
				return description.String()
			}
			chunk = chunk[used:]
			if step == Complete {
				id, n := message.Header("x-call-id")
				fmt.Fprintf(&description, "%s %d %v %q %d %q %q\n", message.Path(), message.Status(), message.ClosesConnection(),
					id, n, message.Cookie("k"), message.Body())
				message.Reset()
			}
		}
	}
	fmt.Fprint(&description, message.HasPartial())
	return description.String()
}

const postHeaders = "POST /api HTTP/1.1\r\nX-CALL-id: a\r\nCookie: a=b; k=7f\r\n"

func TestMessageParserAcceptsAndRejects(t *testing.T) {
	long := strings.Repeat("x", MaxBody)
	for input, want := range map[string]string{
		postHeaders + "Content-Length: 3\r\n\r\nabc" + "\r\nGET /ready?x=1 HTTP/1.1\r\nconnection: Keep-Alive, CLOSE\r\n\r\n": `/api 0 false "a" 1 "7f" "abc"` +
			"\n" + `/ready 0 true "" 0 "" ""` + "\nfalse",
		postHeaders + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nTrailer: 1\r\n\r\n": `/api 0 false "a" 1 "7f" "abc"` + "\nfalse",
		"GET /ready HTTP/1.0\r\n\r\n":                                                               "/ready 0 true \"\" 0 \"\" \"\"\nfalse",
		postHeaders + "Content-Length: 3\r\n\r\nab":                                                 "true",
		postHeaders + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc":                           "! more than one length",
		postHeaders + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":                     "! more than one length",
		postHeaders + "\r\n":                                                                        "! no length",
		postHeaders + "Content-Length: +3\r\n\r\n":                                                  "! a length that is no number",
		postHeaders + "Content-Length: \r\n\r\n":                                                    "! a length that is no number",
		postHeaders + "Content-Length: 65537\r\n\r\n":                                               "! the body is too long",
		postHeaders + "Transfer-Encoding: gzip, chunked\r\n\r\n":                                    "! a coding other than chunked",
		postHeaders + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                                    "! a chunk's size is no number",
		postHeaders + "Transfer-Encoding: chunked\r\n\r\n\r\n":                                      "! a chunk without a size",
		postHeaders + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc":                                  "! a broken chunk",
		postHeaders + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + long[:0x8000] + "\r\n8001\r\n": "! the body is too long",
		postHeaders + "Transfer-Encoding: chunked\r\n\r\n1;" + long[:300]:                           "! a chunk's line is too long",
		postHeaders + "X: " + long[:MaxHead]:                                                        "! the head is too long",
		postHeaders + " folded\r\n\r\n":                                                             "! a broken header line",
		"GET  /ready HTTP/1.1\r\n\r\n":                                                              "! no request line",
		"GET /ready HTTP/2.0\r\n\r\n":                                                               "! not HTTP/1.1",
	} {
		for _, pattern := range []uint64{0, math.MaxUint64, 0x9e3779b97f4a7c15} {
			if got := describeMessages(t, []byte(input), pattern, false); got != want {
				t.Errorf("%.80q split by %x: %q, want %q", input, pattern, got, want)
			}
		}
	}
}

// FuzzHTTP checks that the result does not depend on how the input is split into chunks.
func FuzzHTTP(f *testing.F) {
	for _, pattern := range []uint64{0, 1, math.MaxUint64, 0xaaaaaaaaaaaaaaaa, 0x123456789abcdef} {
		f.Add([]byte(postHeaders+"Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"), pattern, false)
		f.Add([]byte(postHeaders+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n\r\n\r\n"+postHeaders), pattern, false)
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), pattern, true)
	}
	f.Fuzz(func(t *testing.T, input []byte, pattern uint64, response bool) {
		if atOnce, chunked := describeMessages(t, input, 0, response), describeMessages(t, input, pattern, response); atOnce != chunked {
			t.Fatalf("in one chunk %q, split %q", atOnce, chunked)
		}
	})
}

// describeFrames parses a stream of frames and returns a description of them.
func describeFrames(t *testing.T, input []byte, pattern uint64) string {
	var splitter FrameSplitter
	var description strings.Builder
	splitter.SetBuffer(make([]byte, 0, MaxFrame+4))
	for _, chunk := range split(input, pattern) {
		err := splitter.Feed(chunk, func(frameType byte, payload []byte) error {
			fmt.Fprintf(&description, "%c%q", frameType, payload)
			id, end, report, value, err := ParseReply(payload)
			fmt.Fprintf(&description, "%q%d%q%q%v", id, end, report, value, err)
			fmt.Fprint(&description, ParseLoadReport(report, func(name []byte, v float64) { fmt.Fprintf(&description, "%s=%g", name, v) }))
			return nil
		})
		if len(splitter.partial) > MaxFrame+4 {
			t.Fatal(len(splitter.partial), "bytes buffered")
		}
		if err != nil {
			return description.String() + "! " + err.Error()
		}
	}
	return description.String() + fmt.Sprint(splitter.HasPartial())
}

// FuzzFrames checks that the result does not depend on how the input is split into chunks.
func FuzzFrames(f *testing.F) {
	frame := EndFrame(append(BeginRequestFrame(nil), "a.1 OK 5 inflight=7,util=0.5\nvalue"...), 0)
	frame = AppendFrame(AppendFrame(frame, FrameLoadReport, "inflight=x"), FrameCancel, "a.1")
	huge := binary.LittleEndian.AppendUint32(nil, MaxFrame+1)
	for _, pattern := range []uint64{0, 1, math.MaxUint64, 0xaaaaaaaaaaaaaaaa} {
		f.Add(frame, pattern)
		f.Add(append(frame, huge...), pattern)
		f.Add(append(frame, 0, 0, 0, 0), pattern)
		f.Add(frame[:len(frame)-2], pattern)
	}
	f.Fuzz(func(t *testing.T, input []byte, pattern uint64) {
		if atOnce, chunked := describeFrames(t, input, 0), describeFrames(t, input, pattern); atOnce != chunked {
			t.Fatalf("in one chunk %q, split %q", atOnce, chunked)
		}
	})
}

func TestReplyParserAcceptsAndRejects(t *testing.T) {
	for line, want := range map[string]bool{"a.1 OK 5 -\nv": true, "a.1 ERROR - -\n": true, "a.1 REJECTED 0 -\n": true,
		"a.1 OK 5 no report\nv": true,
		"a.1 OK five -\nv":      false, "a.1 OK 5 -\n\x01": false, "a.1 OK 5 -\n\xff": false, "a.1 OK 5 -\né": true,
		"a.1 OK 5 -": false, "a.1 FINE 5 -\n": false, " OK 5 -\n": false, "a.1 OK 5\n": false} {
		if _, _, _, _, err := ParseReply([]byte(line)); (err == nil) != want {
			t.Errorf("reply %q: got error %v, want accepted: %v", line, err, want)
		}
	}
	request := AppendShardRequest(BeginRequestFrame(nil), "a.3", 3, 240.9, nil, []byte("xy"))
	request = EndFrame(AppendShardRequest(request, "a.4", 4, 0.2, []byte("f2b9"), nil), 0)
	if want := "\x24\x00\x00\x00Ra.3 3 d=240 2\nxya.4 4 d=1,k=f2b9 0\n"; string(request) != want {
		t.Errorf("request frame %q, want %q", request, want)
	}
}

// readSearch parses a search and returns a description of its shard requests, and its text.
func readSearch(body string) (shards string, text []byte, err error) {
	text, _, err = ParseSearch([]byte(body), 24, func(shard int, share, work float64, key uint64) {
		shards += fmt.Sprint(shard, share, work, key, ";")
	})
	return shards, text, err
}

func TestSearchParserAcceptsAndRejects(t *testing.T) {
	shards, text, err := readSearch(`{"text":"a\u00e9\ud83d\ude00\"","more":[{}, null],"segments":[{"segment":3,"boost":0.5,` +
		`"work":9000,"affinity":"00000000000000ff"},{"boost":5e-1,"segment":23}]}`)
	if err != nil || shards != "3 0.5 9 255;23 0.5 0 0;" || string(text) != "aé😀\"" {
		t.Error(shards, string(text), err)
	}
	if _, _, err := readSearch(`{"text":"","segments":[{"segment":3,"boost":0.3333},{"segment":4,"boost":0.6666}]}`); err != nil {
		t.Error("a search with rounded shares is rejected: ", err)
	}
	segment := `{"segment":3,"boost":1}`
	if _, _, err := readSearch(`{"text":"","segments":[` + segment + `]}`); err != nil {
		t.Error("a valid search is rejected: ", err)
	}
	for _, body := range []string{"", "{", "[]", `{"text":""}`, `{"text":"","segments":[]}`, `{"segments":[` + segment + `]}`,
		`{"text":"","segments":[` + segment + `]}x`, `{"text":"","text":"","segments":[` + segment + `]}`,
		`{"text":"","segments":[` + segment + `,]}`, `{"text":"","segments":[{"segment":24,"boost":1}]}`,
		`{"text":"","segments":[{"segment":-1,"boost":1}]}`, `{"text":"","segments":[{"segment":1.5,"boost":1}]}`,
		`{"text":"","segments":[{"segment":1}]}`, `{"text":"","segments":[{"segment":1,"boost":-1}]}`,
		`{"text":"","segments":[{"segment":1,"boost":1,"affinity":"zz"}]}`, "{\"text\":\"\n\",\"segments\":[" + segment + "]}",
		`{"text":"","segments":[` + segment + `],"deep":` + strings.Repeat("[", 40) + strings.Repeat("]", 40) + `}`,
		`{"text":"","segments":[{"segment":1,"boost":1e999}]}`, `{"text":"","segments":[{"segment":01,"boost":1}]}`,
		`{"text":"","segments":[{"segment":1,"boost":0.5}]}`, `{"text":"","segments":[{"segment":1,"boost":1.5}]}`,
		`{"text":"","segments":[{"segment":1,"boost":0},{"segment":2,"boost":1}]}`,
		`{"text":"","segments":[{"segment":1,"boost":-1},{"segment":2,"boost":2}]}`,
		`{"text":"","segments":[{"segment":1,"boost":0.75},{"segment":2,"boost":0.75}]}`,
		`{"text":"","segments":[{"segment":1,"boost":1.}]}`, `{"text":"","segments":[{"segment":1,"boost":1.e2}]}`,
	} {
		if _, _, err := readSearch(body); err == nil {
			t.Errorf("accepted: %s", body)
		}
	}
}

// FuzzJSON compares the parsers of searches and lists, and the encoder of answers, with encoding/json.
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
				t.Fatal("accepted, but invalid JSON:", err)
			}
			if utf8.Valid(input) && !bytes.Contains(input, []byte("ext\"")) && other.Text != string(text) {
				t.Fatalf("text %q, want %q", text, other.Text)
			}
		}
		version, full, err := ParseServerList(input, nil)
		entries := 0
		secondVersion, secondFull, secondErr := ParseServerList(input, func(id, _, _ []byte, cell int, state uint8, _, _ float64) {
			entries++
			if len(id) == 0 || cell < 0 || state > 2 {
				t.Fatal("an invalid entry was passed on")
			}
		})
		if version != secondVersion || full != secondFull || (err == nil) != (secondErr == nil) || err == nil && !json.Valid(input) {
			t.Fatal(version, secondVersion, err, secondErr)
		}
		body := EndAnswer(AppendMatch(AppendMatch(BeginAnswer(nil, true), 3, input), 4, nil))
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
			t.Fatalf("%q was decoded as %q", input, answer.Matches[0].Payload)
		}
	})
}

// FuzzLines checks that the result does not depend on how the input is split into chunks.
func FuzzLines(f *testing.F) {
	f.Add([]byte("\r\n{}\r\n\nabc"), uint64(5))
	f.Fuzz(func(t *testing.T, input []byte, pattern uint64) {
		read := func(pattern uint64) (lines []string) {
			var splitter LineSplitter
			for _, chunk := range split(input, pattern) {
				splitter.Feed(chunk, func(line []byte) error { lines = append(lines, string(line)); return nil })
			}
			return append(lines, string(splitter.partial))
		}
		if atOnce, chunked := read(0), read(pattern); fmt.Sprint(atOnce) != fmt.Sprint(chunked) {
			t.Fatalf("in one chunk %q, split %q", atOnce, chunked)
		}
	})
}

// TestListOverManyLinesCountsAsOneLine checks that an indented list counts as one line, and that a cut-off list is an error.
func TestListOverManyLinesCountsAsOneLine(t *testing.T) {
	const oneLine = "{\"generation\":4,\"reset\":true,\"instances\":[]}"
	const indented = "{\n  \"generation\": 5,\r\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": \"a{\\\"\",\n" +
		"      \"hostPort\": \"127.0.0.1:1\",\n      \"lifecycle\": \"ready\"\n    }\n  ]\n}\n"
	for text, want := range map[string]string{
		oneLine + "\n\n" + indented + "\n" + oneLine + "\n": "4 - 5 - 4 ",
		indented + indented:                     "5 5 ",
		"{\"generation\":4,\n\n":                "error", // a heartbeat within an incomplete list
		"{\"generation\":4,\n" + oneLine + "\n": "error",
		"{broken\n":                             "error",
		"{\"generation\":\"\n":                  "error", // a line ends within a string
	} {
		for size := 1; size <= len(text); size += 7 { // size of the chunks that the splitter is fed
			var splitter LineSplitter
			description := ""
			for offset := 0; offset < len(text) && description != "error"; offset += size {
				if splitter.Feed([]byte(text[offset:min(offset+size, len(text))]), func(line []byte) error {
					if len(line) == 0 {
						description += "- "
						return nil
					}
					version, _, err := ParseServerList(line, nil)
					description += fmt.Sprint(version, " ")
					return err
				}) != nil {
					description = "error"
				}
			}
			if description != want {
				t.Fatalf("%q in chunks of %d: %q, want %q", text, size, description, want)
			}
		}
	}
}

// TestListOverManyLinesIsSplitInLinearTime guards against a splitter that copies its buffer for each line.
func TestListOverManyLinesIsSplitInLinearTime(t *testing.T) {
	// 3 MB in lines of a few bytes, as a discovery agent may indent them: copying the buffered lines for each line takes minutes.
	var list bytes.Buffer
	list.WriteString("{\"generation\":7,\"reset\":true,\"instances\":[\n")
	for i := 0; list.Len() < 3<<20; i++ {
		if i > 0 {
			list.WriteString(",\n")
		}
		fmt.Fprintf(&list, "{\n\"instanceId\":\n\"s%d\",\n\"hostPort\"\n:\"127.0.0.1:1\"\n,\n\"lifecycle\":\n\"ready\"\n}\n", i)
	}
	list.WriteString("]}\n")
	var splitter LineSplitter
	lists := 0
	startedAt := time.Now()
	for rest := list.Bytes(); len(rest) > 0; {
		size := min(len(rest), 64<<10)
		if err := splitter.Feed(rest[:size], func(line []byte) error {
			if version, full, err := ParseServerList(line, nil); err == nil && version == 7 && full {
				lists++
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		if rest = rest[size:]; time.Since(startedAt) > 20*time.Second {
			t.Fatalf("%d bytes are left after 20 s", len(rest))
		}
	}
	if lists != 1 {
		t.Errorf("got %d lists, want 1", lists)
	}
}

// TestEmptyLinesWithoutEndAreAnError: each of their bytes moved the buffer, and none of them counted.
func TestEmptyLinesWithoutEndAreAnError(t *testing.T) {
	const request = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, test := range []struct {
		bytes   int
		refused bool
	}{{0, false}, {2, false}, {maxEmptyLines, false}, {maxEmptyLines + 2, true}, {1 << 20, true}} {
		for _, part := range []int{1, 1 << 21} {
			var m Message
			m.SetBuffer(make([]byte, 0, MaxHead+MaxBody))
			text := []byte(strings.Repeat("\r\n", test.bytes/2) + request)
			var err error
			step := Incomplete
			for len(text) > 0 && err == nil && step != Complete {
				var used int
				used, step, err = m.Feed(text[:min(part, len(text))])
				text = text[used:]
			}
			if (err != nil) != test.refused || !test.refused && step != Complete {
				t.Errorf("%d bytes in parts of %d: step %d, error %v", test.bytes, part, step, err)
			}
		}
	}
}
