package gossip

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// recorder keeps the reports that were delivered to a member.
type recorder struct {
	lock    sync.Mutex
	reports []Report
}

func (r *recorder) record(report Report) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.reports = append(r.reports, report)
}

func (r *recorder) has(peer string, site int, lost bool) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, report := range r.reports {
		if report.Peer == peer && report.Site == site && report.Lost == lost {
			return true
		}
	}
	return false
}

// waitFor waits until ok returns true. It fails the test after some 80 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 4000 { // 80 s is far longer than gossip takes
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

// startAll starts n members, and waits until each knows another one if there are several.
func startAll(t *testing.T, n int, key []byte) (members []*Gossip, received []*recorder) {
	t.Helper()
	for i := range n {
		r := &recorder{}
		options := Options{Name: fmt.Sprint("b", i), Listen: netip.MustParseAddrPort("127.0.0.1:0"), OnReport: r.record,
			ResendInterval: 100 * time.Millisecond, Key: key}
		if i > 0 {
			options.Join = []string{members[0].Addr()}
		}
		member, err := Start(options)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { member.Close() })
		members, received = append(members, member), append(received, r)
	}
	// On a busy machine gossip does not guarantee that at any moment all members know all others, so each only has to know one.
	for i, member := range members {
		waitFor(t, fmt.Sprintf("member %d knows another member", i), func() bool { return n == 1 || member.Members() > 1 })
	}
	return members, received
}

func TestReportsReachAllMembers(t *testing.T) {
	members, received := startAll(t, 5, []byte("0123456789abcdef"))
	members[3].Observe(1, true)
	for i, r := range received {
		if i != 3 {
			waitFor(t, fmt.Sprintf("member %d has received the loss", i), func() bool { return r.has("b3", 1, true) })
		}
	}
	if received[3].has("b3", 1, true) {
		t.Error("member 3 received its own report")
	}
	members[3].Observe(1, false)
	waitFor(t, "member 0 has received the recovery", func() bool { return received[0].has("b3", 1, false) })
}

func TestMalformedAndStaleReportsAreDropped(t *testing.T) {
	members, received := startAll(t, 1, nil)
	d := (*delegate)(members[0])
	for _, b := range []string{"", "{", `{"p":"","s":1}`, `{"p":"x","s":-1}`, `{"p":"x","s":1,"a":-3}`,
		`{"p":"x","s":1,"l":"` + string(make([]byte, 600)) + `"}`, `[1]`} {
		d.NotifyMsg([]byte(b))
	}
	if members[0].Malformed != 7 || len(received[0].reports) != 0 {
		t.Fatalf("%d malformed messages and reports %+v, want 7 and none", members[0].Malformed, received[0].reports)
	}
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":true,"a":3,"n":5}`))
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":false,"a":3,"n":4}`)) // an older report that arrives later by another route
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":true,"a":3,"n":5}`))  // the first report again
	if len(received[0].reports) != 1 {
		t.Fatalf("delivered %+v, want only the report with sequence number 5", received[0].reports)
	}
	for i := range 2 * maxSeenReports {
		d.NotifyMsg(fmt.Appendf(nil, `{"p":"x%d","s":1,"l":true,"a":3,"n":5}`, i))
	}
	if len(members[0].seenSequences) > maxSeenReports {
		t.Fatalf("%d sequence numbers are kept, want %d at most", len(members[0].seenSequences), maxSeenReports)
	}
}

func TestStartWithoutPeersSucceeds(t *testing.T) {
	member, err := Start(Options{Name: "alone", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: []string{"127.0.0.1:1"},
		OnReport: func(Report) {}})
	if err != nil {
		t.Fatal(err)
	}
	member.Observe(0, true)
	if err := member.Close(); err != nil {
		t.Fatal(err)
	}
}
