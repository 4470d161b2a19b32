package connpool

import (
	"fmt"
	"math"
	"testing"
)

// middle draws the middle of the jitter.
func middle() float64 { return 0.5 }

// effectLog records effects as text.
type effectLog struct {
	effects      []string
	noDescriptor bool
}

func (s *effectLog) add(form string, args ...any) {
	s.effects = append(s.effects, fmt.Sprintf(form, args...))
}
func (s *effectLog) Dial(server, _ int) bool { s.add("open %d", server); return !s.noDescriptor }
func (s *effectLog) StartStream(connection int, request StreamRequest) {
	s.add("begin %v on %d", request, connection)
}
func (s *effectLog) Reject(request StreamRequest, reason Reason) {
	s.add("refuse %v %d", request, reason)
}

func (s *effectLog) Close(connection int) { s.add("close %d", connection) }
func (s *effectLog) Ping(connection int)  { s.add("ping %d", connection) }

func TestBackoffGrowsAndEnds(t *testing.T) {
	s := &effectLog{}
	settings := Settings{MaxConnections: 1, MaxStreams: 10, MaxWaiting: 9, ConnectTimeout: 10, IdleTimeout: 1e6, InitialBackoff: 100,
		MaxBackoff: 400}
	p := New(s, settings, middle)
	p.UpdateServer(0, 0, true, false)
	opened := 0
	for now := 0.0; now < 2000; now += 5 {
		before := p.Counters.Opened
		p.RequestStream(now, 0, now)
		if p.Counters.Opened > before {
			opened++
			p.ConnectionLost(now, 0)
		}
	}
	if opened != 7 { // at 0, 100, 300, 700, 1100, 1500, 1900
		t.Error(opened, "connects in two seconds")
	}
	if p.Waiting() != 0 {
		t.Error(p.Waiting(), "wait")
	}
}

func TestUnresponsivePeerIsPingedThenClosed(t *testing.T) {
	s := &effectLog{}
	settings := Settings{MaxConnections: 1, MaxStreams: 10, MaxWaiting: 9, ConnectTimeout: 10, IdleTimeout: 1e6, InitialBackoff: 1,
		MaxBackoff: 1, KeepaliveTime: 100, KeepaliveTimeout: 50}
	p := New(s, settings, middle)
	p.UpdateServer(0, 0, true, false)
	p.RequestStream(0, 0, "a")
	p.Connected(1, 0, 10)
	for now := 1.0; now <= 200; {
		next := p.Tick(now)
		if math.IsInf(next, 1) {
			break
		}
		now = max(next, now+1)
	}
	if fmt.Sprint(s.effects) != "[open 0 begin a on 0 ping 0 close 0]" {
		t.Error(s.effects)
	}
}

func TestStreamIsRejectedWithoutDescriptor(t *testing.T) {
	s := &effectLog{noDescriptor: true}
	p := New(s, Settings{MaxConnections: 1, MaxStreams: 10, MaxWaiting: 9}, middle)
	p.UpdateServer(0, 0, true, false)
	p.RequestStream(0, 0, "a")
	if fmt.Sprint(s.effects) != "[open 0 refuse a 3]" || p.Connections() != 0 {
		t.Error(s.effects)
	}
}
