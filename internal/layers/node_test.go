package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// nodeCores are the packages with the state machines of a node (docs/design/system.md). They take inputs
// and the current time, and return the messages, writes and answers that follow.
var nodeCores = []string{"chain", "config", "config/rawjson", "config/schema", "control", "core", "distribution", "kvindex",
	"loadhint", "membership", "registry", "rendezvous", "rollout", "routing", "submit", "transfer", "verdict", "view", "wireproto"}

// allowedNames reports, by package, which names a core may use of a package that is otherwise barred:
// durations, which are plain numbers; random sources that the caller passes in or seeds; and the HTTP
// status codes that brokers answer with.
var allowedNames = map[string]func(name string) bool{
	"time": func(name string) bool {
		return slices.Contains([]string{"Duration", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour"}, name)
	},
	"math/rand/v2": func(name string) bool { return slices.Contains([]string{"Rand", "Source", "New", "NewPCG"}, name) },
	"net/http":     func(name string) bool { return strings.HasPrefix(name, "Status") },
}

// guardFiles may import sync. They only protect a core with a mutex, for requests that come on many
// goroutines.
var mutexWrapperFiles = []string{"kvindex/guarded.go", "routing/guarded.go"}

// nodeCoreProblems describes the barred imports, names and go statements in a source file of a node's core.
// If src is nil, it reads the file.
func nodeCoreProblems(name string, src any) []string {
	file, err := parser.ParseFile(token.NewFileSet(), name, src, 0)
	if err != nil {
		return []string{err.Error()}
	}
	var problems []string
	packages := map[string]string{} // import path by the package's name in this file
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return []string{name + ": " + err.Error()}
		}
		if !isBarredInNodeCore(path) || path == "sync" && isMutexWrapper(name) {
			continue
		}
		if allowedNames[path] == nil || spec.Name != nil && spec.Name.Name == "." {
			problems = append(problems, name+" imports "+path)
			continue
		}
		packages[localName(spec, path)] = path
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			problems = append(problems, name+" starts a goroutine")
		case *ast.SelectorExpr:
			if from, ok := node.X.(*ast.Ident); ok && packages[from.Name] != "" && !allowedNames[packages[from.Name]](node.Sel.Name) {
				problems = append(problems, name+" uses "+from.Name+"."+node.Sel.Name)
			}
		}
		return true
	})
	return problems
}

// isBarredInNodeCore reports whether a core may not import a package, or only names of it by allowedNames.
func isBarredInNodeCore(path string) bool {
	return barredImports[path] || strings.HasPrefix(path, "net/") || strings.HasPrefix(path, "sync/") ||
		path == "os/signal" || path == "runtime"
}

// isMutexWrapper reports whether a source file is one of guardFiles.
func isMutexWrapper(name string) bool {
	return slices.ContainsFunc(mutexWrapperFiles, func(file string) bool { return strings.HasSuffix(name, file) })
}

// localName returns the name under which a file uses a package that it imports.
func localName(spec *ast.ImportSpec, path string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	if path == "math/rand/v2" {
		return "rand"
	}
	return path[strings.LastIndex(path, "/")+1:]
}

func TestNodeCoresArePure(t *testing.T) {
	for _, core := range nodeCores {
		files := sourceFiles(t, "../node/"+core)
		for _, file := range files {
			for _, problem := range nodeCoreProblems(file, nil) {
				t.Error(problem)
			}
		}
		if len(files) == 0 {
			t.Error("package node/" + core + " has no source files: update nodeCores")
		}
	}
}

// TestNodeCoreViolationsAreFound checks that nodeCoreProblems finds planted violations, and nothing else.
func TestNodeCoreViolationsAreFound(t *testing.T) {
	for _, planted := range []struct {
		name   string
		src    string
		impure bool
	}{
		{"x/a.go", "package x\nimport \"time\"\nvar d = 3 * time.Second", false},
		{"x/a.go", "package x\nimport \"time\"\nvar d = time.Now()", true},
		{"x/a.go", "package x\nimport clock \"time\"\nvar d = clock.Since", true},
		{"x/a.go", "package x\nimport . \"time\"\nvar d = Now()", true},
		{"x/a.go", "package x\nimport \"math/rand/v2\"\nfunc f(r *rand.Rand) int { return r.IntN(3) }", false},
		{"x/a.go", "package x\nimport \"math/rand/v2\"\nvar n = rand.IntN(3)", true},
		{"x/a.go", "package x\nimport \"math/rand\"\nvar n *rand.Rand", true},
		{"x/a.go", "package x\nimport \"net/http\"\nvar n = http.StatusOK", false},
		{"x/a.go", "package x\nimport \"net/http\"\nvar n = http.DefaultClient", true},
		{"x/a.go", "package x\nimport \"net/netip\"\nvar n netip.Addr", true},
		{"x/a.go", "package x\nimport \"sync\"\nvar n sync.Mutex", true},
		{"routing/guarded.go", "package x\nimport \"sync\"\nvar n sync.Mutex", false},
		{"x/a.go", "package x\nimport \"sync/atomic\"\nvar n atomic.Bool", true},
		{"x/a.go", "package x\nimport \"os\"\nvar n = os.Args", true},
		{"x/a.go", "package x\nfunc f() { go f() }", true},
	} {
		problems := nodeCoreProblems(planted.name, planted.src)
		if (len(problems) > 0) != planted.impure {
			t.Errorf("%s\n%s\nhas problems %q, want any: %v", planted.name, planted.src, problems, planted.impure)
		}
	}
}

// notInNodes are packages that a node must not link, with their subpackages: a node implements clustering,
// consensus, discovery, proxying, storage and its message formats itself.
var barredFromNodes = []string{"go.etcd.io/raft", "github.com/hashicorp/memberlist", "github.com/hashicorp/raft",
	"github.com/hashicorp/serf", "net/http/httputil", "github.com/cockroachdb/pebble", "google.golang.org/grpc",
	"golang.org/x/net/http2", "kestrelspread/internal/fleet", "kestrelspread/internal/standin", "kestrelspread/internal/harness"}

// barredNodeLinks returns the packages in a list of dependencies that a node must not link.
func barredNodeLinks(packages string) []string {
	var found []string
	for pkg := range strings.FieldsSeq(packages) {
		for _, unwanted := range barredFromNodes {
			if pkg == unwanted || strings.HasPrefix(pkg, unwanted+"/") {
				found = append(found, pkg)
			}
		}
	}
	return found
}

func TestNodeLinksOnlyWhatItNeeds(t *testing.T) {
	packages := dependencies(t, "kestrelspread/cmd/kestrelnode")
	for _, pkg := range barredNodeLinks(packages) {
		t.Error("a node links", pkg)
	}
	if !strings.Contains(packages, "kestrelspread/internal/node/agent\n") {
		t.Error("the check proves nothing: the node does not link its own packages")
	}
	for _, planted := range barredFromNodes {
		if found := barredNodeLinks(packages + planted + "\n" + planted + "/v9/part\n"); len(found) != 2 {
			t.Error("a planted import of", planted, "is not found:", found)
		}
	}
	full := barredNodeLinks(dependencies(t, "kestrelspread/cmd/kestrelspread"))
	for _, pkg := range []string{"go.etcd.io/raft/v3", "github.com/cockroachdb/pebble/v2", "google.golang.org/grpc",
		"golang.org/x/net/http2"} {
		if !slices.Contains(full, pkg) {
			t.Error("the check of the node proves nothing: even the full aggregator does not link", pkg)
		}
	}
}
