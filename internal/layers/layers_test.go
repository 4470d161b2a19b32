// Package layers tests the dependencies between the packages: state machines do no I/O and read no clock,
// the aggregator's policy imports only its own libraries, and no program links packages that it doesn't
// need. It consists of tests alone.
package layers

import (
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// pureCores are packages under internal that use no sockets, files, clocks, goroutines or child
// processes. Those that the event loop calls may import package transport for the type of a connection.
var pureCores = []string{
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

// barredImports are packages that do I/O, read clocks, block, or share a random source, so that a state
// machine must not import them.
var barredImports = map[string]bool{
	"context":                true,
	"golang.org/x/sys/unix":  true,
	"google.golang.org/grpc": true,
	"math/rand":              true,
	"math/rand/v2":           true,
	"net":                    true,
	"net/http":               true,
	"os":                     true,
	"os/exec":                true,
	"sync":                   true,
	"syscall":                true,
	"time":                   true,
}

// clockCalls are the calls that read a clock or wait for one.
var clockCalls = []string{"time.Now(", "time.Since(", "time.After(", "time.Sleep(", "time.NewTimer("}

// minCoreFiles is far below the number of files in pureCores: if fewer are found, the test has missed them.
const minCoreFiles = 20

// importProblems describes the barred imports of a source file of a pure core. If source is nil, it reads
// the file.
func importProblems(name string, source any) (problems []string) {
	file, err := parser.ParseFile(token.NewFileSet(), name, source, 0)
	if err != nil {
		return []string{err.Error()}
	}
	for _, spec := range file.Imports {
		path := strings.Trim(spec.Path.Value, `"`)
		// The ledger's calendar needs time zones. Reading the clock stays barred by clockCalls.
		if path == "time" && strings.HasSuffix(name, "ledger/calendar.go") {
			continue
		}
		if path == "sync" && strings.Contains(name, "operator") {
			continue
		}
		if barredImports[path] {
			problems = append(problems, name+" imports "+path)
		}
	}
	return problems
}

// textProblems describes the calls that read a clock and the go statements in the text of a source file of
// a pure core.
func textProblems(name, text string) (problems []string) {
	for _, call := range clockCalls {
		if strings.Contains(text, call) {
			problems = append(problems, name+" reads a clock: "+call)
		}
	}
	if strings.Contains(text, "\tgo func") || strings.Contains(text, "\tgo ") && !strings.Contains(text, "// ") {
		problems = append(problems, name+" starts a goroutine")
	}
	return problems
}

// sourceFiles returns the source files of a package except its tests.
func sourceFiles(t *testing.T, directory string) []string {
	t.Helper()
	files, err := filepath.Glob(directory + "/*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

func TestCoresArePure(t *testing.T) {
	seen := 0
	for _, core := range pureCores {
		files := sourceFiles(t, "../"+core)
		if len(files) == 0 {
			t.Errorf("package %s has no source files: update pureCores", core)
		}
		seen += len(files)
		for _, name := range files {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			for _, problem := range append(importProblems(name, nil), textProblems(name, string(text))...) {
				t.Error(problem)
			}
		}
	}
	if seen < minCoreFiles {
		t.Error("only", seen, "source files were checked, want at least", minCoreFiles)
	}
}

// TestBarredImportIsFound checks that importProblems finds a barred import.
func TestBarredImportIsFound(t *testing.T) {
	if problems := importProblems("planted.go", "package x\nimport \"time\"\n"); len(problems) != 1 {
		t.Errorf("barred import of time: got problems %q, want one", problems)
	}
}

// dependencies returns the packages that a package links, one per line.
func dependencies(t *testing.T, path string) string {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", path).Output()
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

func TestPolicyImportsOnlyItsLibraries(t *testing.T) {
	const policy = "kestrelspread/internal/aggregator/policy"
	allowed := []string{policy, "kestrelspread/internal/predict", "kestrelspread/internal/window"}
	for path := range strings.FieldsSeq(dependencies(t, policy)) {
		if strings.HasPrefix(path, "kestrelspread/") && !slices.Contains(allowed, path) {
			t.Error("the policy imports", path)
		}
	}
}

// notInMinimal are packages that the minimal aggregator must not link, to keep its memory use
// low.
var barredFromMinimal = []string{
	"golang.org/x/net/http2", "github.com/spf13/cobra", "github.com/santhosh-tekuri/jsonschema/v6",
	"github.com/cockroachdb/pebble/v2", "google.golang.org/grpc", "net/http", "crypto/tls", "go.etcd.io/raft/v3",
	"github.com/hashicorp/memberlist", "gonum.org/v1/plot",
}

func TestAggregatorsLinkOnlyWhatTheyNeed(t *testing.T) {
	minimal := dependencies(t, "kestrelspread/cmd/kestrellean")
	full := dependencies(t, "kestrelspread/cmd/kestrelspread")
	for _, path := range barredFromMinimal {
		if strings.Contains(minimal, path+"\n") {
			t.Error("the minimal aggregator links", path)
		}
	}
	if strings.Contains(full, "kestrelspread/internal/standin") {
		t.Error("the full aggregator links kestrelspread/internal/standin")
	}
	for _, path := range []string{"golang.org/x/net/http2", "github.com/spf13/cobra"} {
		if !strings.Contains(full, path+"\n") {
			t.Error("the check of the minimal aggregator proves nothing: even the full aggregator does not link", path)
		}
	}
}
