package gossip

import (
	"encoding/json"
	"net/netip"
	"testing"
)

// TestReportBeforeCreateReturnsIsPassedOn checks that a report that arrives before memberlist.Create has returned is delivered and
// passed on like any other. Create starts goroutines that call the delegate before it returns.
func TestReportBeforeCreateReturnsIsPassedOn(t *testing.T) {
	received := &recorder{}
	g := newGossip(Options{Name: "b0", Listen: netip.MustParseAddrPort("127.0.0.1:0"), OnReport: received.record})
	message, err := json.Marshal(Report{Peer: "b1", Site: 3, Lost: true, Sequence: 5})
	if err != nil {
		t.Fatal(err)
	}
	d := (*delegate)(g)
	d.NotifyMsg(message)
	if !received.has("b1", 3, true) {
		t.Error("the report of b1 was not delivered")
	}
	if queued := d.GetBroadcasts(2, 1400); len(queued) != 1 {
		t.Errorf("%d reports are queued to be passed on, want 1", len(queued))
	}
	if n := g.Members(); n != 1 {
		t.Errorf("%d members before Create has returned, want 1", n)
	}
}
