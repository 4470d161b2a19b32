// Package docscheck is a test that keeps the pages true: what README.md, CONTRIBUTING.md and docs set as code must exist.
// It looks at code spans, code blocks and links, never at prose, and knows these kinds:
//
//   - links to files, from the page's own directory;
//   - test functions, fuzz targets and benchmarks, with the package if one stands before ("chain TestSeeds"), named in full;
//   - paths, whole or the end of one ("agent/store.go", "config/schema"); in a table whose head is "path" every span is one;
//   - commands of the programs built here with their sub-commands and flags, as the programs' own help tells them, and
//     go test with its packages, patterns, build tags and the tests' own flags;
//   - qualified Go names ("config.Compiled", "Holder.Turn");
//   - other single words: they must occur in code as an identifier, in a string literal or in a data file (keys, counters);
//   - log lines: several words must be made up of what programs say, with values between.
//
// The last two aren't asked of pages that quote what was seen at a time (incidents, measurements).
//
// Where it fails after a rename, change the page; what a message calls alike is the likely new name.
package docscheck

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
)

const root = "../.."

// shared is read once for all tests: it builds the programs.
var shared = sync.OnceValues(func() (*checker, error) {
	tree, err := readTree(root)
	if err != nil {
		return nil, err
	}
	binaries, err := os.MkdirTemp("", "docscheck")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(binaries)
	programs, err := programs(root, binaries)
	if err != nil {
		return nil, err
	}
	return newChecker(tree, programs), nil
})

func sharedChecker(t *testing.T) *checker {
	t.Helper()
	c, err := shared()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestPagesNameWhatExists(t *testing.T) {
	c := sharedChecker(t)
	list, err := pages(root)
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, page := range list {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for _, at := range codeOf(page, string(text)) {
			checked++
			for _, wrong := range c.check(at) {
				t.Errorf("%s:%d: `%s`: %s", at.page, at.line, at.text, wrong)
			}
		}
	}
	if checked < 500 {
		t.Errorf("only %d pieces of code were found in %d pages", checked, len(list))
	}
}
