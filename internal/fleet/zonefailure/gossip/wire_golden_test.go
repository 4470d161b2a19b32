package gossip

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"github.com/hashicorp/memberlist"
)

// TestGoldenMessage freezes the bytes that instances send each other: what is written, with sequence number and age blanked
// out as they follow the clock, and what is read.
func TestGoldenMessage(t *testing.T) {
	want, err := os.ReadFile("testdata/golden/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(want), []byte("\n"))
	if len(lines) != 2 {
		t.Fatal(len(lines), "golden messages")
	}
	k := &Gossip{options: Options{Name: "b1"}, ownObservations: map[int]observation{}, queue: &memberlist.TransmitLimitedQueue{NumNodes: func() int { return 1 }, RetransmitMult: 1}}
	k.Observe(3, true)
	k.Observe(2, false)
	blank := regexp.MustCompile(`"n":\d+`)
	sent := map[string]bool{}
	for _, b := range k.queue.GetBroadcasts(0, 1400) {
		sent[string(blank.ReplaceAll(b, []byte(`"n":7`)))] = true
	}
	if !sent[string(lines[0])] || !sent[string(lines[1])] || len(sent) != 2 {
		t.Errorf("sent %v, not %s", sent, lines)
	}
	var got []Report
	r := newGossip(Options{Name: "b2", OnReport: func(w Report) { got = append(got, w) }})
	for _, b := range lines {
		(*delegate)(r).NotifyMsg(b)
	}
	if len(got) != 2 || got[0] != (Report{Peer: "b1", Site: 3, Lost: true, AgeMs: 0, Sequence: 7}) || got[1] != (Report{Peer: "b1", Site: 2, Lost: false, AgeMs: 0, Sequence: 7}) {
		t.Errorf("read %+v", got)
	}
}
