package grpcproxy

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/connpool"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/h2"
	"kestrelspread/internal/invariant"
	"kestrelspread/internal/routes"
	"kestrelspread/internal/standin/grpcpeer"
	"kestrelspread/internal/standin/simnet"
)

const settingsJSON = `{"balancers":1,"classes":[
{"aim-ms":300,"deadline-ms":1000,"effect":"repeatable","importance":1,"name":"quick","late-value":0.3},
{"aim-ms":300,"deadline-ms":1000,"effect":"once","importance":3,"name":"once"},
{"aim-ms":300,"deadline-ms":1000,"effect":"by_key","group":"all","window-ms":400,"importance":1,"name":"keyed"}],
"family-info":{"places":2,"span":2,"batch":2,"slabs":4,"class-need":[1,1,1],"class-floor":[1,1,1]},
"discovery":"push","localities":["a"],"limits":{"attempts-cap":3,"cancel":true,"parallel-tries":true,
"connect-timeout-ms":100,"conn-idle-ms":2000,"streams-per-conn":20,"most-held":4000,"retry-after":true,
"max-retry-after-ms":500},"safety":{"drain-grace-ms":500%s},"zone":0}`

// harness is an engine with its gRPC proxy in a virtual network.
type harness struct {
	t        testing.TB
	world    *simnet.Network
	proxy    *Proxy
	servers  []*grpcpeer.Server
	settings *Settings
}

func defaultSettings(list ...*routes.Route) *Settings {
	r := &Settings{
		Limits: Limits{MaxConnections: 50, MaxCallsPerConnection: 100, MaxCalls: 1000, MaxBufferedBytes: 4 << 20, MaxBufferedBytesPerConnection: 4 << 20, StreamWindowBytes: 64 << 10, MaxMetadataBytes: 8 << 10, MaxResetsPerSecond: 50,
			MaxControlFramesPerSecond: 100, HandshakeTimeout: 2000, IdleTimeout: 5000, PartialFrameTimeout: 1000, WriteTimeout: 3000, WriteBufferBytes: 64 << 10},
		ConnPool: connpool.Settings{MaxConnections: 2, MaxStreams: 50, MaxWaiting: 20, ConnectTimeout: 100, IdleTimeout: 3000, InitialBackoff: 50, MaxBackoff: 1000,
			KeepaliveTime: 2000, KeepaliveTimeout: 500},
		Addresses: Addresses{PortOffset: 1000},
	}
	if len(list) == 0 {
		list = testRoutes()
	}
	var err error
	if r.Routes, err = routes.New(list); err != nil {
		panic(err)
	}
	return r
}

func newHarness(t testing.TB, seed uint64, servers int, safety string, list ...*routes.Route) *harness {
	set, err := settings.FromJSON(fmt.Appendf(nil, settingsJSON, safety))
	if err != nil {
		t.Fatal(err)
	}
	var all []simnet.Instance
	for i := range servers {
		all = append(all, simnet.Instance{ID: fmt.Sprintf("s%d", i), State: "ready", Cell: i % 2,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 80)})
	}
	s := &harness{t: t, world: simnet.New(set, seed, 300, all), settings: defaultSettings(list...)}
	s.proxy = New(s.world.Engine, s.settings, 4, seed)
	s.world.Engine.AddFrontend(s.proxy)
	for i := range servers {
		p := &grpcpeer.Server{Network: s.world, Name: fmt.Sprintf("s%d", i), Script: echo}
		s.servers = append(s.servers, p)
		s.world.Listen(netip.AddrPortFrom(all[i].Addr.Addr(), 1080), p.Accept)
	}
	before := invariant.Violations()
	t.Cleanup(func() {
		if invariant.Violations() != before {
			t.Error("must broken")
		}
	})
	s.world.Run(10)
	return s
}

// echo answers with what it was sent.
func echo(k *grpcpeer.ServerCall) []grpcpeer.Action {
	return []grpcpeer.Action{grpcpeer.SendHeaders(2, "x-by", k.Server.Name), grpcpeer.SendBody(0, k.Body), grpcpeer.SendTrailers(0, 0)}
}

// scriptByAttempt has the servers do one thing with a call's first attempt and another with later ones.
func (s *harness) scriptByAttempt(first, later func(k *grpcpeer.ServerCall) []grpcpeer.Action) {
	for _, p := range s.servers {
		p.Script = func(k *grpcpeer.ServerCall) []grpcpeer.Action {
			if k.Header("grpc-previous-rpc-attempts") == "" {
				return first(k)
			}
			return later(k)
		}
	}
}

// warmUp has every server answer often enough for the policy to know what is usual.
func (s *harness) warmUp(n int) {
	c := grpcpeer.Dial(s.world, 1)
	for i := range n {
		a := c.Call(&grpcpeer.ClientCall{Path: "/quick.end/Warm", Body: [][]byte{grpcpeer.EncodeMessage("w")}})
		s.world.Run(8)
		if a.Status != 0 {
			s.t.Fatalf("warming %d: status %d\n%s", i, a.Status, s.world.Log)
		}
	}
	c.Endpoint.Close()
	s.world.Run(5)
}

// outcomesSince returns the outcomes that were reported to the policy since a count of them.
func (s *harness) outcomesSince(since [policy.NeverSent + 1]int64) (list []string) {
	names := []string{"answered", "errored", "full", "timed_out", "no_connect", "reset", "cancelled", "moot"}
	for i, n := range s.world.Engine.Counters.Outcomes {
		for range n - since[i] {
			list = append(list, names[i])
		}
	}
	return list
}

// checkReleased checks that nothing is buffered or open at rest.
func (s *harness) checkReleased() {
	s.t.Helper()
	x := s.proxy
	if x.openCalls != 0 || x.bufferedBytes != 0 || len(x.callsByCustomer) != 0 || x.pool.Waiting() != 0 || x.pool.Streams() != 0 {
		s.t.Errorf("at rest: %d calls open, %d bytes buffered, %d customers, %d waiting, %d streams", x.openCalls,
			x.bufferedBytes, len(x.callsByCustomer), x.pool.Waiting(), x.pool.Streams())
	}
	if strings.Contains(s.world.Log.String(), "an event failed") {
		s.t.Errorf("an event failed:\n%s", s.world.Log)
	}
}

func messagesOf(body []byte) string {
	var list []string
	for len(body) >= 5 {
		n := int(body[1])<<24 | int(body[2])<<16 | int(body[3])<<8 | int(body[4])
		body = body[5:]
		if n > len(body) {
			list = append(list, string(body)+"...")
			break
		}
		list = append(list, string(body[:n]))
		body = body[n:]
	}
	return strings.Join(list, ",")
}

// testRoutes are the usual ones, and one whose servers reject unprocessed calls by RESOURCE_EXHAUSTED.
func testRoutes() (list []*routes.Route) {
	for kind, name := range []string{"quick", "once", "keyed"} {
		for commit, how := range []string{"message", "headers", "end"} {
			list = append(list, &routes.Route{Name: name + how, Service: name + "." + how, QueryType: kind, DefaultTimeout: 1000,
				MaxTimeout: 5000, MaxMessageBytes: 64 << 10, RetryBufferBytes: 4 << 10, ResponseBufferBytes: 16 << 10, CommitPoint: routes.CommitPoint(commit)})
		}
	}
	return append(list, &routes.Route{Name: "unseen", Service: "unseen.once", QueryType: 1, DefaultTimeout: 1000, MaxTimeout: 5000,
		MaxMessageBytes: 64 << 10, RetryBufferBytes: 4 << 10, RejectedUnprocessed: 1 << grpcwire.ResourceExhausted})
}

func netipFrom(a netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(a, port) }

func h2Limits(streams int) h2.Limits {
	return h2.Limits{MaxConcurrentStreams: streams, InitialWindowSize: 64 << 10, MaxHeaderListSize: 64 << 10, MaxResetsPerSecond: 1 << 30, MaxControlFramesPerSecond: 1 << 30}
}

func (s *harness) attemptsSeen() (n int) {
	for _, v := range s.servers {
		n += len(v.Calls)
	}
	return n
}

func (s *harness) scriptAll(script func(k *grpcpeer.ServerCall) []grpcpeer.Action) {
	for _, v := range s.servers {
		v.Script = script
	}
}

func (s *harness) closeAndCheck(c *grpcpeer.Client) {
	s.t.Helper()
	c.Endpoint.Close()
	s.world.Run(100)
	s.checkReleased()
}

func (s *harness) requestBody() []byte {
	for _, v := range s.servers {
		for _, k := range v.Calls {
			return k.Body
		}
	}
	return nil
}
