// Package layers keeps the architecture: cores do no I/O and know no clock, the module imports next to nothing, only
// commands wire, and the plain broker links nothing that it does not need.
package layers

import (
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// cores are pure: neither sockets nor files, clocks, goroutines or shells. transport's types are allowed to those that
// speak to the loop, as they name connections.
var cores = []string{
	"aggregator/policy",
	"predict",
	"window",
	"protocol",
	"aggregator/engine",
	"h2",
	"grpcwire",
	"routes",
	"connpool",
	"grpcproxy",
	"aggregator/settings",
	"operator",
	"ledger",
	"background",
	"fleet/zonefailure",
	"fleet/capacity",
	"fleet/shedding",
	"fleet/lossplan",
	"fleet/zonerecovery",
	"fleet/statement",
	"fleet/lease",
	"fleet/lease/replica",
	"fleet/lease/fence",
	"fleet/lease/membership",
}

var barred = map[string]bool{"net": true, "net/http": true, "os": true, "os/exec": true, "sync": true, "context": true,
	"syscall": true, "time": true, "golang.org/x/sys/unix": true, "google.golang.org/grpc": true, "math/rand": true, "math/rand/v2": true}

// check gives what is wrong with one source file of a core.
func check(name string, src any) (bad []string) {
	f, err := parser.ParseFile(token.NewFileSet(), name, src, 0)
	if err != nil {
		return []string{err.Error()}
	}
	for _, i := range f.Imports {
		path := strings.Trim(i.Path.Value, `"`)
		// A calendar needs zones; the clock itself stays barred.
		if path == "time" && strings.HasSuffix(name, "ledger/calendar.go") {
			continue
		}
		if barred[path] && !(path == "sync" && strings.Contains(name, "operator")) {
			bad = append(bad, name+" imports "+path)
		}
	}
	return bad
}

func TestCoresArePure(t *testing.T) {
	seen := 0
	for _, core := range cores {
		files, _ := filepath.Glob("../" + core + "/*.go")
		if len(files) == 0 {
			t.Errorf("no package %s: the list must follow it", core)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			seen++
			for _, bad := range check(file, nil) {
				t.Error(bad)
			}
			text, _ := os.ReadFile(file)
			for _, clock := range []string{"time.Now", "time.Since", "time.After", "time.Sleep", "time.NewTimer"} {
				if strings.Contains(string(text), clock+"(") {
					t.Error(file, "reads a clock")
				}
			}
			if strings.Contains(string(text), "\tgo func") || strings.Contains(string(text), "\tgo ") && !strings.Contains(string(text), "// ") {
				t.Error(file, "starts a goroutine")
			}
		}
	}
	if seen < 20 {
		t.Error("only", seen, "files looked at")
	}
	if bad := check("planted.go", "package x\nimport \"time\"\n"); len(bad) != 1 {
		t.Error("a planted import is not found")
	}
}

func deps(t *testing.T, pkg string) string {
	out, err := exec.Command("go", "list", "-deps", pkg).Output()
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

func TestWhatIsLinked(t *testing.T) {
	for _, pkg := range strings.Fields(deps(t, "kestrelspread/internal/aggregator/policy")) {
		switch pkg {
		case "kestrelspread/internal/aggregator/policy", "kestrelspread/internal/predict", "kestrelspread/internal/window":
		default:
			if strings.HasPrefix(pkg, "kestrelspread/") {
				t.Error("the module imports", pkg)
			}
		}
	}
	lean, full := deps(t, "kestrelspread/cmd/kestrellean"), deps(t, "kestrelspread/cmd/kestrelspread")
	for _, pkg := range []string{"golang.org/x/net/http2", "github.com/spf13/cobra", "github.com/santhosh-tekuri/jsonschema/v6", "github.com/cockroachdb/pebble/v2",
		"google.golang.org/grpc", "net/http", "crypto/tls", "go.etcd.io/raft/v3", "github.com/hashicorp/memberlist", "gonum.org/v1/plot"} {
		if strings.Contains(lean, pkg+"\n") {
			t.Error("the plain broker links", pkg)
		}
	}
	for _, pkg := range []string{"kestrelspread/internal/standin"} {
		if strings.Contains(full, pkg) {
			t.Error("the broker links", pkg)
		}
	}
	for _, pkg := range []string{"golang.org/x/net/http2", "github.com/spf13/cobra"} {
		if !strings.Contains(full, pkg+"\n") {
			t.Error("this check would find nothing: the full broker does not link", pkg)
		}
	}
}
