package gossip

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// recorder keeps the reports that a broker received.
type recorder struct {
	lock    sync.Mutex
	reports []Report
}

func (e *recorder) record(w Report) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.reports = append(e.reports, w)
}

func (e *recorder) has(peer string, site int, lost bool) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, w := range e.reports {
		if w.Peer == peer && w.Site == site && w.Lost == lost {
			return true
		}
	}
	return false
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 4000 { // far longer than it takes
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("never: ", what)
}

// startAll starts n members and waits until each knows another one.
func startAll(t *testing.T, n int, key []byte) (members []*Gossip, received []*recorder) {
	t.Helper()
	for i := range n {
		e := &recorder{}
		o := Options{Name: fmt.Sprint("b", i), Listen: netip.MustParseAddrPort("127.0.0.1:0"), OnReport: e.record, ResendInterval: 100 * time.Millisecond, Key: key}
		if i > 0 {
			o.Join = []string{members[0].Addr()}
		}
		k, err := Start(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { k.Close() })
		members, received = append(members, k), append(received, e)
	}
	// That all know all at one moment is more than gossip promises on a busy machine; each knows somebody.
	for i, k := range members {
		waitFor(t, fmt.Sprint(i, " knows somebody"), func() bool { return n == 1 || k.Members() > 1 })
	}
	return members, received
}

func TestReportsReachAllMembers(t *testing.T) {
	members, received := startAll(t, 5, []byte("0123456789abcdef"))
	members[3].Observe(1, true)
	for i, e := range received {
		if i != 3 {
			waitFor(t, fmt.Sprint(i, " receives the loss"), func() bool { return e.has("b3", 1, true) })
		}
	}
	if received[3].has("b3", 1, true) {
		t.Error("it received its own report")
	}
	members[3].Observe(1, false)
	waitFor(t, "the recovery is received", func() bool { return received[0].has("b3", 1, false) })
}

func TestMalformedAndStaleReportsAreDropped(t *testing.T) {
	members, received := startAll(t, 1, nil)
	d := (*delegate)(members[0])
	for _, b := range []string{"", "{", `{"p":"","s":1}`, `{"p":"x","s":-1}`, `{"p":"x","s":1,"a":-3}`, `{"p":"x","s":1,"l":"` + string(make([]byte, 600)) + `"}`, `[1]`} {
		d.NotifyMsg([]byte(b))
	}
	if members[0].Malformed != 7 || len(received[0].reports) != 0 {
		t.Fatal(members[0].Malformed, received[0].reports)
	}
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":true,"a":3,"n":5}`))
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":false,"a":3,"n":4}`)) // older, by another way
	d.NotifyMsg([]byte(`{"p":"x","s":1,"l":true,"a":3,"n":5}`))  // again
	if len(received[0].reports) != 1 {
		t.Fatal(received[0].reports)
	}
	for i := range 2 * maxSeenReports {
		d.NotifyMsg(fmt.Appendf(nil, `{"p":"x%d","s":1,"l":true,"a":3,"n":5}`, i))
	}
	if len(members[0].seenSequences) > maxSeenReports {
		t.Fatal(len(members[0].seenSequences), "kept")
	}
}

func TestStartWithoutPeersSucceeds(t *testing.T) {
	k, err := Start(Options{Name: "alone", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: []string{"127.0.0.1:1"}, OnReport: func(Report) {}})
	if err != nil {
		t.Fatal(err)
	}
	k.Observe(0, true)
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
}
