package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// forbiddenFunctions are those that a program must not link for its full-fleet days. These load a
// library of the bench's into each process and lead its sockets, clocks and waits through it: that
// takes a program which needs the C library, and one that neither starts others nor moves bytes
// between descriptors past the calls that the library sees. io.Copy between sockets would bring
// splice in silently; so would net.TCPConn.ReadFrom.
var forbiddenFunctions = regexp.MustCompile(`(?i)(^|[./(*])(forkexec|forkandexecinchild\w*|startprocess|splice\w*|sendfile\w*|copyfilerange|io_?uring\w*)(\.|$|-)`)

// minSymbols is far below what any program of Go has: fewer mean that they were stripped.
const minSymbols = 1000

// linkProblems says what keeps a program from its full-fleet days.
func linkProblems(path string) (problems []string) {
	file, err := elf.Open(path)
	if err != nil {
		return []string{err.Error()}
	}
	defer file.Close()
	isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(file.Progs, isInterpreter) {
		problems = append(problems, "no interpreter")
	}
	if libraries, _ := file.ImportedLibraries(); !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		problems = append(problems, "does not need the C library")
	}
	symbols, err := file.Symbols()
	if err != nil || len(symbols) < minSymbols {
		return append(problems, "no symbols to look at")
	}
	for _, symbol := range symbols {
		// What cgo's start-up brings is there whatever the program does; its names have no dot.
		isGo := elf.ST_TYPE(symbol.Info) == elf.STT_FUNC && strings.Contains(symbol.Name, ".")
		if isGo && forbiddenFunctions.MatchString(symbol.Name) {
			problems = append(problems, "links "+symbol.Name)
		}
	}
	return problems
}

// deploySetting reads a text from the deploy file.
func deploySetting(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^` + key + ` *= *"(.*)"`).FindSubmatch(text)
	if match == nil {
		t.Fatal("the deploy file has no ", key)
	}
	return string(match[1])
}

func runShell(t *testing.T, directory, command string) {
	t.Helper()
	shell := exec.Command("/bin/sh", "-c", command)
	shell.Dir = directory
	if out, err := shell.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", command, err, out)
	}
}

// deployedProgram is the program that the deploy file runs, which has to be one process.
func deployedProgram(t *testing.T) string {
	t.Helper()
	name, found := strings.CutPrefix(deploySetting(t, "run"), "exec bin/")
	if !found || strings.ContainsAny(name, " ;&|") {
		t.Fatalf("run has to end by exec in one process of ours: %q", deploySetting(t, "run"))
	}
	return name
}

func TestDeployedProgramFitsFullFleetDays(t *testing.T) {
	name := deployedProgram(t)
	directory := t.TempDir()
	build := strings.NewReplacer("mkdir -p bin", "mkdir -p "+directory, "-o bin/", "-o "+directory+"/",
		"./cmd/...", "./cmd/"+name).Replace(deploySetting(t, "build"))
	runShell(t, "../..", build)
	for _, problem := range linkProblems(filepath.Join(directory, name)) {
		t.Error(name, problem)
	}
}

func TestStaticBuildIsFound(t *testing.T) {
	directory := t.TempDir()
	runShell(t, "../..", "CGO_ENABLED=0 go build -o "+directory+"/static ./cmd/"+deployedProgram(t))
	problems := strings.Join(linkProblems(directory+"/static"), "; ")
	if !strings.Contains(problems, "no interpreter") || !strings.Contains(problems, "C library") {
		t.Errorf("a static build is not found: %q", problems)
	}
}

// TestForbiddenFunctionsAreFound looks at a program that starts others and copies between sockets.
func TestForbiddenFunctionsAreFound(t *testing.T) {
	directory := t.TempDir()
	const source = `package main
import ("io"; "net"; "os/exec")
func main() {
	a, _ := net.Dial("tcp", "127.0.0.1:1")
	b, _ := net.Dial("tcp", "127.0.0.1:2")
	io.Copy(a, b)
	exec.Command("true").Run()
}
`
	if err := os.WriteFile(directory+"/main.go", []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	runShell(t, directory, "go build -o planted main.go")
	problems := strings.Join(linkProblems(directory+"/planted"), "; ")
	if !strings.Contains(problems, "forkExec") || !strings.Contains(strings.ToLower(problems), "splice") {
		t.Errorf("a program that starts others is not found: %q", problems)
	}
}
