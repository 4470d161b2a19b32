package operator

import (
	"strings"
	"testing"

	"kestrelspread/deploy"
	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/routes"
)

const testFacts = `{"classes":[{"name":"quick","deadline-ms":3000},{"name":"once"}],"customers":[{"name":"all"},{"name":"desk"}],
"family-info":{"slabs":4}}`

func testSettings(t testing.TB) settings.Values {
	v, err := settings.FromJSON([]byte(testFacts))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestExampleIsValid(t *testing.T) {
	s, err := Read(deploy.Example, testSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	if s.GRPC == nil || s.GRPC.ProxySettings.Routes.Len() != 3 || s.GRPC.ProxySettings.Limits.StreamWindowBytes != 64<<10 || s.GRPC.ProxySettings.Limits.MaxResetsPerSecond != 100 {
		t.Errorf("%+v", s.GRPC)
	}
	r := s.GRPC.ProxySettings.Routes.Find("/pension.Balances/Get", func(string) (string, bool) { return "", false })
	if r == nil || r.CommitPoint != routes.AtEnd || r.DefaultTimeout != 1000 || r.MaxTimeout != 3000 || r.ResponseBufferBytes != 256<<10 {
		t.Errorf("%+v", r)
	}
	if s, err := Read([]byte(`{}`), testSettings(t)); err != nil || s.GRPC != nil {
		t.Error("an empty file enables something:", s, err)
	}
}

func TestSheddingOrderIsRead(t *testing.T) {
	s, err := Read([]byte(`{"order":{"types":[["once"]],"bulk-customers":["desk"],"retries":0.5}}`), testSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	if o := s.SheddingWeights; o.Types[1] >= o.Types[0] || o.Customers[1] >= o.Customers[0] || o.RetryWeight != 0.5 {
		t.Errorf("%+v", o)
	}
}

func TestFindingsNameTheirPath(t *testing.T) {
	text := func(route string) string {
		return `{"grpc":{"listen":"127.0.0.1:1","servers":{"port-offset":1},"routes":[` + route + `]}}`
	}
	ok := `{"name":"a","match":{"prefix":"/"},"query-type":"quick"}`
	for _, c := range []struct{ text, want string }{
		{`{`, "/: no JSON"},
		{`[]`, "/: "},
		{`{"grcp":{}}`, "/grcp: no such setting"},
		{`{"grpc":{}}`, "/grpc: missing properties"},
		{`{"order":{}}`, "/order: "},
		{`{"order":{"types":[["quick"],["fast"]]}}`, `/order/types/1/0: the settings name no query type "fast"`},
		{`{"order":{"types":[["quick"],["quick"]]}}`, "/order/types/1/0: stands at /order/types/0/0 already"},
		{`{"order":{"bulk-customers":["dusk"]}}`, `/order/bulk-customers/0: the settings name no customer "dusk"`},
		{`{"order":{"retries":2}}`, "/order/retries: "},
		{`{"sites":{},"talk":{"listen":"127.0.0.1:1","via":{"127.0.0.1:2":"there"}}}`, `/talk/via/127.0.0.1:2: no address: "there"`},
		{text(``), "/grpc/routes: "},
		{text(`{"name":"a","match":{"prefix":"/","servise":"x"},"query-type":"quick"}`), "/grpc/routes/0/match/servise: no such setting"},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"fast"}`), `/grpc/routes/0/query-type: the settings name no query type "fast"`},
		{text(ok + `,` + strings.Replace(ok, `"a"`, `"b"`, 1)), "/grpc/routes/1/match: matches the same calls as route 0"},
		{text(ok + `,{"name":"a","match":{"prefix":"/x"},"query-type":"quick"}`), "/grpc/routes/1/name: "},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","shard":{"fixed":4}}`), "/grpc/routes/0/shard/fixed: there are 4 shards"},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","shard":{"metadata":"x","hash":"fnv1a","blocks":5}}`),
			"/grpc/routes/0/shard/blocks: "},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","shard":{"metadata":"X-Shard"}}`), "/grpc/routes/0/shard/metadata: "},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","customer":{"name":"none"}}`), "/grpc/routes/0/customer/name: "},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","timeout-ms":100,"timeout-most-ms":50}`), "/grpc/routes/0/timeout-most-ms: "},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","timeout-ms":0}`), "/grpc/routes/0/timeout-ms: "},
		{text(`{"name":"a","match":{"prefix":"/"},"query-type":"quick","unseen":["NOT_FOUND"]}`), "/grpc/routes/0/unseen/0: "},
		{strings.Replace(text(ok), "127.0.0.1:1", "127.0.0.999:1", 1), "/grpc/listen: "},
		{strings.Replace(text(ok), `"port-offset":1`, `"port-offset":0`, 1), "/grpc/servers/port-offset: "},
		{strings.Replace(text(ok), `"port-offset":1`, `"by-id":{"s":"host:1"}`, 1), "/grpc/servers/by-id/s: "},
		{strings.Replace(text(ok), `"routes"`, `"limits":{"window-kb":999,"held-kb":64},"routes"`, 1), "/grpc/limits/window-kb: "},
		{strings.Replace(text(ok), `"routes"`, `"channels":{"backoff-ms":10000},"routes"`, 1), "/grpc/channels/backoff-ms: "},
	} {
		_, err := Read([]byte(c.text), testSettings(t))
		if err == nil || !strings.Contains("\n"+err.Error(), "\n"+c.want) {
			t.Errorf("%.120s:\n  %v\n  want %s", c.text, err, c.want)
		}
	}
	if _, err := Read([]byte(text(ok)), testSettings(t)); err != nil {
		t.Error(err)
	}
	// All findings are reported at once.
	_, err := Read([]byte(text(`{"name":"a","match":{"prefix":"/"},"query-type":"x","shard":{"fixed":9}}`)), testSettings(t))
	if f, is := err.(Findings); !is || len(f) != 2 {
		t.Error(err)
	}
}

func TestCapacityIsLearnedOnlyIfConfigured(t *testing.T) {
	for text, want := range map[string]bool{`{}`: false, `{"sites":{}}`: false, `{"sites":{"borne":false}}`: false, `{"sites":{"borne":true}}`: true} {
		if s, err := Read([]byte(text), testSettings(t)); err != nil || s.LearnCapacity != want {
			t.Error(text, s, err)
		}
	}
	if _, err := Read([]byte(`{"sites":{"born":true}}`), testSettings(t)); err == nil || !strings.Contains(err.Error(), "/sites") {
		t.Error(err)
	}
}

func TestGossipIsChecked(t *testing.T) {
	s, err := Read([]byte(`{"sites":{},"talk":{"listen":"127.0.0.1:7946","join":["127.0.0.2:7946"],"key":"000102030405060708090a0b0c0d0e0f"}}`), testSettings(t))
	if err != nil || s.Gossip == nil || s.Gossip.Listen.Port() != 7946 || len(s.Gossip.Join) != 1 || len(s.Gossip.Key) != 16 {
		t.Fatal(s, err)
	}
	for text, path := range map[string]string{
		`{"talk":{"listen":"127.0.0.1:1"}}`:                                 "/talk",
		`{"sites":{},"talk":{}}`:                                            "/talk",
		`{"sites":{},"talk":{"listen":"here"}}`:                             "/talk/listen",
		`{"sites":{},"talk":{"listen":"127.0.0.1:99999"}}`:                  "/talk/listen",
		`{"sites":{},"talk":{"listen":"127.0.0.1:1","join":["x"]}}`:         "/talk/join/0",
		`{"sites":{},"talk":{"listen":"127.0.0.1:1","key":"abc"}}`:          "/talk/key",
		`{"sites":{},"talk":{"listen":"127.0.0.1:1","key":"000102030405"}}`: "/talk/key",
		`{"sites":{},"talk":{"listen":"127.0.0.1:1","loud":true}}`:          "/talk/loud",
	} {
		if _, err := Read([]byte(text), testSettings(t)); err == nil || !strings.Contains(err.Error(), path+":") {
			t.Errorf("%s: %v, want %s", text, err, path)
		}
	}
}
