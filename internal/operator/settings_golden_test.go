package operator

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"kestrelspread/deploy"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/golden anew")

// goldenFiles have each key of the operator's file once by its default and once given, and files that are at fault.
var goldenFiles = []string{
	string(deploy.Example),
	`{}`,
	`{"sites":{"borne":true},"talk":{"listen":"127.0.0.1:7946","join":["127.0.0.2:7946"],"key":"000102030405060708090a0b0c0d0e0f","via":{"127.0.0.3:1":"127.0.0.4:2"}},
"owner":{"listen":"127.0.0.1:1","folder":"/v","voters":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"127.0.0.1:2"},{"name":"c","address":"127.0.0.1:3"}],"lease-ms":2500,
"duties":{"close":{"collect":["/x/*"],"expect":["a"],"wait-ms":5000,"folder":"/out","every-ms":700},"return":{},"drill":{"url":"http://127.0.0.1:9/","count":3,"every-ms":250,"marks":4}}},
"order":{"types":[["once"]],"bulk-customers":["desk"],"retries":0.5},
"ledger":{"folder":"/l","instance":"i","keep-days":2,"period":{"every":"hours","hours":6,"zone":"Europe/Stockholm","grace-ms":100},"export":{"folder":"/e","batch":7,"every-ms":900}}}`,
	`{"sites":{},"owner":{"voters":[{"name":"a","address":"127.0.0.1:1"}],"duties":{"close":{"collect":["/x/*"],"url":"http://127.0.0.1:9/"},"drill":{"url":"http://127.0.0.1:9/"}}},
"ledger":{"folder":"/l","period":{"every":"month","zone":"UTC"},"export":{"url":"http://127.0.0.1:9/"}}}`,
	`{"ledger":{"folder":"/l","period":{"every":"day","zone":"UTC"}}}`,
	`{"grpc":{"listen":"127.0.0.1:1","servers":{"port-offset":5,"by-id":{"s":"127.0.0.1:77"}},
"limits":{"connections":11,"calls-per-connection":12,"calls":13,"calls-per-customer":14,"held-kb":500,"held-per-connection-kb":66,"window-kb":17,"metadata-kb":18,"resets-per-second":19,
"controls-per-second":20,"handshake-ms":21,"idle-ms":22000,"half-ms":23,"stuck-ms":24,"lag-kb":25},
"channels":{"most":3,"streams":31,"waiting":32,"connect-ms":33,"idle-ms":34000,"backoff-ms":35,"backoff-most-ms":3600,"ping-ms":37000,"ping-wait-ms":380},
"routes":[{"name":"a","match":{"service":"p.S","method":"M","metadata":[{"key":"k","value":"v"},{"key":"l"}]},"query-type":"once","customer":{"name":"desk","metadata":"cust"},
"shard":{"metadata":"x-shard","hash":"fnv1a","blocks":2},"timeout-ms":90,"timeout-most-ms":95,"message-kb":5,"repeat-kb":6,"hold-kb":7,"commit":"headers","work-ms":8,"unseen":["UNAVAILABLE"]},
{"name":"b","match":{"prefix":"/"},"query-type":"quick"}]}}`,
	`{"owner":{"listen":"there","voters":[{"name":"a","address":"x"},{"name":"a","address":"127.0.0.1:2"}],"duties":{"return":{}}}}`,
	`{"talk":{"listen":"127.0.0.1:99999","join":["127.0.0.1:99999"],"key":"00010203040506070809","via":{"127.0.0.1:99999":"127.0.0.999:1"}},"order":{"types":[["x"],["once"],["once"]],"bulk-customers":["y"]}}`,
	`{"ledger":{"folder":"/l","period":{"every":"day","zone":"UTC"},"export":{"folder":"/l"}}}`,
	`{"grpc":{"listen":"127.0.0.999:1","servers":{"by-id":{"s":"127.0.0.1:99999"}},"limits":{"held-kb":64,"held-per-connection-kb":65,"window-kb":66},"channels":{"backoff-ms":9000},
"routes":[{"name":"a","match":{"prefix":"/"},"query-type":"z"},{"name":"a","match":{"prefix":"/a"},"query-type":"quick","shard":{"fixed":99}}]}}`,
}

// TestGoldenSettings freezes what each file means, and what is said of those at fault.
func TestGoldenSettings(t *testing.T) {
	var got bytes.Buffer
	for i, text := range goldenFiles {
		fmt.Fprintln(&got, "file", i)
		s, err := Read([]byte(text), testSettings(t))
		if err != nil {
			fmt.Fprintln(&got, err)
			continue
		}
		fmt.Fprintln(&got, s.WatchSites, s.LearnCapacity)
		if s.Gossip != nil {
			fmt.Fprintln(&got, "talk", *s.Gossip)
		}
		if s.SheddingWeights != nil {
			fmt.Fprintln(&got, "order", *s.SheddingWeights)
		}
		if s.Ledger != nil {
			fmt.Fprintln(&got, "ledger", *s.Ledger)
		}
		if o := s.Roles; o != nil {
			fmt.Fprintln(&got, "owner", o.Listen, o.Directory, o.Voters, o.LeaseMs, o.ZoneRecovery)
			if o.Statements != nil {
				fmt.Fprintln(&got, "close", *o.Statements)
			}
			if o.Exercise != nil {
				fmt.Fprintln(&got, "drill", *o.Exercise)
			}
		}
		if s.GRPC != nil {
			fmt.Fprintln(&got, "grpc", s.GRPC.Listen, s.GRPC.ProxySettings.Limits, s.GRPC.ProxySettings.ConnPool, s.GRPC.ProxySettings.Addresses)
			for _, path := range []string{"/p.S/M", "/else", "/pension.Balances/Get"} {
				if r := s.GRPC.ProxySettings.Routes.Find(path, func(string) (string, bool) { return "v", true }); r != nil {
					fmt.Fprintln(&got, path, *r)
				}
			}
		}
	}
	const name = "testdata/golden/settings.txt"
	if *writeGolden {
		if err := os.WriteFile(name, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("settings differ from %s, got:\n%s", name, got.Bytes())
	}
}
