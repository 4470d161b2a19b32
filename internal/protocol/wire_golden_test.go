package protocol_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/protocol"
)

// TestWrittenBytesMatchGolden compares encoded frames to servers, responses to clients and the watch request to discovery with the
// golden file.
func TestWrittenBytesMatchGolden(t *testing.T) {
	var text strings.Builder
	show := func(what string, content []byte) { fmt.Fprintf(&text, "%s %q\n", what, content) }

	frame := protocol.BeginRequestFrame(nil)
	frame = protocol.AppendShardRequest(frame, "17-0", 3, 249.9, nil, []byte("two words"))
	frame = protocol.AppendShardRequest(frame, "17-1", 0, 0.2, []byte("again-9"), []byte("\u00e9"))
	show("call", protocol.EndFrame(frame, 0))
	show("abandon", protocol.AppendFrame(nil, protocol.FrameCancel, "17-1"))
	show("alive", protocol.AppendFrame(nil, protocol.FrameHealthCheck, ""))
	show("letters", []byte{protocol.FrameRequest, protocol.FrameCancel, protocol.FrameHealthCheck, protocol.FrameLoadReport,
		protocol.FrameReply, protocol.FrameConnectionRefused})

	body := protocol.BeginAnswer(nil, true)
	body = protocol.AppendMatch(body, 2, []byte("plain"))
	body = protocol.EndAnswer(protocol.AppendMatch(body, 5, []byte("quote \" back \\ \u00e9")))
	show("whole answer", protocol.AppendResponse(nil, 200, "application/json", false, 0, body))
	show("partial answer", protocol.AppendResponse(nil, 200, "application/json", true, 0,
		protocol.EndAnswer(protocol.BeginAnswer(nil, false))))
	for _, status := range []int{400, 404, 405, 408, 409, 411, 413, 417, 431, 500, 501, 503, 505} {
		show("answer", protocol.AppendResponse(nil, status, "text/plain", status != 503, float64(status/503*1234), []byte("why")))
	}
	show("continue", []byte(protocol.ContinueResponse))
	show("watch", protocol.AppendWatchRequest(nil, "10.0.0.1:80", 41))
	golden.Assert(t, text.String(), "golden/written.txt")
}

// TestParsedInputMatchesGolden compares what is parsed from frames of servers, a search of a client and a
// list of discovery with the golden file.
func TestParsedInputMatchesGolden(t *testing.T) {
	var text strings.Builder
	var frames protocol.FrameSplitter
	frames.SetBuffer(make([]byte, 0, protocol.MaxFrame+4))
	input := protocol.AppendFrame(nil, 'Y', "17-0 OK 12 active=3,cpu=0.5\nvalue \u00e9")
	input = protocol.AppendFrame(input, 'Y', "17-1 ERROR - -\n")
	input = protocol.AppendFrame(input, 'Y', "17-2 REJECTED 0 waiting=4\nfull")
	input = protocol.AppendFrame(input, 'Y', "17-3 FINE 0 -\n")
	input = protocol.AppendFrame(input, 'T', "active=7,cpu=0.25,waiting=2")
	input = protocol.AppendFrame(input, 'G', "")
	input = protocol.AppendFrame(input, 'N', "anything")
	for len(input) > 0 {
		chunk := input[:min(5, len(input))]
		input = input[len(chunk):]
		err := frames.Feed(chunk, func(frameType byte, payload []byte) error {
			fmt.Fprintf(&text, "frame %c %q", frameType, payload)
			report := payload
			if frameType == 'Y' {
				id, end, reported, value, err := protocol.ParseReply(payload)
				fmt.Fprintf(&text, ": %q %d %q %q %t", id, end, reported, value, err == nil)
				report = reported
			}
			if frameType == 'Y' || frameType == 'T' {
				err := protocol.ParseLoadReport(report, func(name []byte, value float64) { fmt.Fprintf(&text, " %s:%v", name, value) })
				fmt.Fprintf(&text, " %t", err == nil)
			}
			text.WriteString("\n")
			return nil
		})
		assert.NilError(t, err)
	}

	search := `{"text":"two \u0077ords","segments":[{"segment":0,"boost":0.25,"work":1500,"affinity":"ff"},` +
		`{"segment":3,"boost":0.75,"other":null}]}`
	content, sum, err := protocol.ParseSearch([]byte(search), 4, func(shard int, share, work float64, key uint64) {
		fmt.Fprintf(&text, "part %d %v %v %d\n", shard, share, work, key)
	})
	assert.NilError(t, err)
	fmt.Fprintf(&text, "search %q %v\n", content, sum)
	for _, malformed := range []string{`{}`, `{"text":"a","segments":[]}`, `{"text":"a","segments":[{"segment":4,"boost":1}]}`} {
		_, _, err := protocol.ParseSearch([]byte(malformed), 4, func(int, float64, float64, uint64) {})
		assert.Assert(t, err != nil, malformed)
	}

	list := `{"generation":12,"reset":true,"instances":[` +
		`{"instanceId":"i-1","hostPort":"10.0.0.5:8080","lifecycle":"ready","zone":"a","cell":3,"weight":1.5,"startedAtMs":1700000000000},` +
		`{"instanceId":"i-2","hostPort":"10.0.0.6:8080","lifecycle":"draining"},{"instanceId":"i-3","lifecycle":"gone"}]}`
	version, full, err := protocol.ParseServerList([]byte(list), func(id, addr, zone []byte, cell int, state uint8, weight, started float64) {
		fmt.Fprintf(&text, "server %q %q %q %d %d %v %v\n", id, addr, zone, cell, state, weight, started)
	})
	assert.NilError(t, err)
	fmt.Fprintf(&text, "list %d %t\n", version, full)
	golden.Assert(t, text.String(), "golden/read.txt")
}
