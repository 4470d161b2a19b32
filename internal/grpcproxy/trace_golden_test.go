package grpcproxy

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"gotest.tools/v3/golden"

	p "kestrelspread/internal/standin/grpcpeer"
)

// goldenSeeds is how many random scripts the golden file holds.
const goldenSeeds = 40

// values lists a struct of counters without its fields' names.
func values(counters any) string { return fmt.Sprint(reflect.ValueOf(counters).Interface()) }

// TestRandomScriptsKeepTheirTraces freezes what clients and servers get, byte by byte and with its
// time, and the counters, for a number of random scripts.
func TestRandomScriptsKeepTheirTraces(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(goldenSeeds) {
		y := newRandomRun(t, seed)
		all := map[string]*p.ClientCall{}
		y.onCall = func(id string, a *p.ClientCall) { all[id] = a }
		y.run(2000)
		clients, servers := fnv.New64a(), fnv.New64a()
		for n := 1; n <= len(all); n++ {
			a := all[fmt.Sprint("c", n)]
			fmt.Fprintln(clients, n, a.StartedAtMs, a.Headers, a.ReceivedBody, a.Trailers, a.Status, a.HTTPStatus, a.FinalStatuses, a.DoneAtMs, a.ResetBy, a.WasReset, a.ConnLost, a.Canceled, a.SentBytes)
		}
		for _, v := range y.servers {
			for _, k := range v.Calls {
				fmt.Fprintln(servers, v.Name, k.Fields, k.Body, k.HalfClosed, k.ReceivedAtMs, k.Started, k.WasReset, k.ResetAtMs)
			}
		}
		fmt.Fprintf(&text, "%d: %d calls, clients %x, servers %x, %s, %s\n", seed, len(all), clients.Sum64(), servers.Sum64(),
			values(y.proxy.Counters), values(y.proxy.pool.Counters))
	}
	golden.Assert(t, text.String(), "golden/traces.txt")
}

// TestServerBehavioursKeepTheirFields freezes the fields and bytes that a client gets for each thing that a server
// can do.
func TestServerBehavioursKeepTheirFields(t *testing.T) {
	var text strings.Builder
	for _, r := range serverBehaviours() {
		if strings.HasPrefix(r.name, "HTTP ") {
			continue // these come in a map's order
		}
		s := newHarness(t, 3, 2, "", testRoutes()...)
		s.scriptByAttempt(func(_ *p.ServerCall) []p.Action { return r.acts }, func(_ *p.ServerCall) []p.Action {
			if r.laterActs != nil {
				return r.laterActs
			}
			return acts(p.SendHeaders(1), p.SendMessage(0, "ok"), p.SendTrailers(0, 0))
		})
		for _, v := range s.servers {
			v.ActsOnHeaders = r.early
		}
		c := p.Dial(s.world, 1)
		a := c.Call(&p.ClientCall{Path: r.path, TimeoutMs: 900, Body: [][]byte{p.EncodeMessage("ask")}})
		s.world.Run(1500)
		fmt.Fprintf(&text, "%s: %q %q %v %v %v\n", r.name, a.Headers, a.Trailers, a.ReceivedBody, a.DoneAtMs, http2.ErrCode(a.ResetBy))
	}
	golden.Assert(t, text.String(), "golden/rows.txt")
}
