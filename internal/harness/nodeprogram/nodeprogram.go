// Package nodeprogram builds the programs of this repository for tests that start real processes.
package nodeprogram

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// The programs.
const (
	Node           = "kestrelnode"
	Aggregator     = "kestrelspread"
	LeanAggregator = "kestrellean"
)

// Build builds kestrelnode at the path, with further flags of go build. The error has the compiler's output.
func Build(path string, flags ...string) error { return BuildProgram(Node, path, flags...) }

// BuildProgram builds a program at the path, with further flags of go build. The error has the compiler's output.
func BuildProgram(name, path string, flags ...string) error {
	arguments := append([]string{"build", "-o", path}, flags...)
	output, err := exec.Command("go", append(arguments, "kestrelspread/cmd/"+name)...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, output)
	}
	return nil
}

// WithBuilt builds kestrelnode once, runs the tests with its path, and removes it. It returns the exit status for TestMain.
func WithBuilt(run func(path string) int, flags ...string) int {
	dir, err := os.MkdirTemp("", "kestrelnode")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "kestrelnode")
	if err := Build(path, flags...); err != nil {
		fmt.Println(err)
		return 1
	}
	return run(path)
}
