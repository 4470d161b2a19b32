package gossip

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"github.com/hashicorp/memberlist"
)

// TestGoldenMessage checks that the bytes of messages between members have not changed, both as encoded and as decoded. Sequence
// numbers depend on the clock and are replaced by a fixed one; ages are 0, as the reports are queued at once.
func TestGoldenMessage(t *testing.T) {
	want, err := os.ReadFile("testdata/golden/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(want), []byte("\n"))
	if len(lines) != 2 {
		t.Fatalf("testdata/golden/messages.txt has %d messages, want 2", len(lines))
	}
	sender := &Gossip{options: Options{Name: "b1"}, ownObservations: map[int]observation{},
		queue: &memberlist.TransmitLimitedQueue{NumNodes: func() int { return 1 }, RetransmitMult: 1}}
	sender.Observe(3, true)
	sender.Observe(2, false)
	blank := regexp.MustCompile(`"n":\d+`)
	sent := map[string]bool{}
	for _, b := range sender.queue.GetBroadcasts(0, 1400) {
		sent[string(blank.ReplaceAll(b, []byte(`"n":7`)))] = true
	}
	if !sent[string(lines[0])] || !sent[string(lines[1])] || len(sent) != 2 {
		t.Errorf("sent %v, want %s", sent, lines)
	}
	var got []Report
	receiver := newGossip(Options{Name: "b2", OnReport: func(report Report) { got = append(got, report) }})
	for _, b := range lines {
		(*delegate)(receiver).NotifyMsg(b)
	}
	if len(got) != 2 || got[0] != (Report{Peer: "b1", Site: 3, Lost: true, AgeMs: 0, Sequence: 7}) ||
		got[1] != (Report{Peer: "b1", Site: 2, Lost: false, AgeMs: 0, Sequence: 7}) {
		t.Errorf("decoded %+v from %s", got, lines)
	}
}
