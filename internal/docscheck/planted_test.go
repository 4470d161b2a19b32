package docscheck

import (
	"strings"
	"testing"
)

// Pages with one wrong name each: what is planted is found, and what is right beside it isn't.
func TestWrongNamesAreFound(t *testing.T) {
	c := sharedChecker(t)
	for _, planted := range []struct{ name, text, want string }{
		{"test", "`TestClientLeaves` holds", "no test function TestClientLeaves"},
		{"shortened test", "`TestClientLeaves…` holds", "no test function TestClientLeaves…"},
		{"test of another package", "`policy TestWrongNamesAreFound`", "no test function"},
		{"file", "see `internal/aggregator/policy/nowhere.go`", "no path internal/aggregator/policy/nowhere.go"},
		{"end of a path", "see `forward/nowhere.go`", "no path forward/nowhere.go"},
		{"package", "see `nowhere/forward`", "no path nowhere/forward"},
		{"page beside", "see `nowhere.md`", "no path nowhere.md"},
		{"link", "see [there](nowhere.md) and [here](design.md#part)", "the link leads nowhere"},
		{"glob", "see `scenarios/nowhere-*.json`", "no path"},
		{"alternatives", "see `internal/{layers,nowhere}`", "no path internal/nowhere"},
		{"table of paths", "| path | what |\n| --- | --- |\n| `internal/aggregator/policy`, `nowhere` | x |", "no path nowhere"},
		{"second line of a span", "see\n`kestrelctl fleet\nnowhere`", "kestrelctl fleet has no sub-command nowhere"},
		{"sub-command without its program", "`fleet nowhere`", "kestrelctl fleet has no sub-command nowhere"},
		{"flag of a sub-command", "`kestrelctl fleet status --nowhere`", "kestrelctl fleet status has no flag --nowhere"},
		{"flag of subcommands", "`kestrelnode run --nowhere`", "kestrelnode run has no flag --nowhere"},
		{"flag alone", "`--nowhere`", "no program has a flag --nowhere"},
		{"block", "text\n\n    bin/kestrelspread check --nowhere x.json   # comment\n", "kestrelspread check has no flag --nowhere"},
		{"fence", "```\nkestrelctl site plan --nowhere\n```", "kestrelctl site plan has no flag --nowhere"},
		{"continued line", "\n    kestrelctl site plan \\\n      --nowhere", "kestrelctl site plan has no flag --nowhere"},
		{"program", "`bin/kestrelnowhere run`", "no command kestrelnowhere is built"},
		{"pattern of go test", "`go test -run Nowhere ./internal/aggregator/policy`", "no test of internal/aggregator/policy matches -run Nowhere"},
		{"flag of a test", "`go test ./internal/grpcproxy -args -nowhere 3`", "no test of internal/grpcproxy defines the flag -nowhere"},
		{"build tag", "`go test -tags nowhere ./internal/aggregator/policy`", "no file has the build tag nowhere"},
		{"member", "`policy.Nowhere`", "policy has no Nowhere"},
		{"type", "`Nowhere.Step`", "no package, type or key Nowhere"},
		{"signature", "`policy.Nowhere(a, b)`", "policy has no Nowhere"},
		{"word", "the package `nowhereatall`", "the code knows no word nowhereatall"},
		{"log line", "`owner: this voter is nowhere at all`", "no program says"},
	} {
		t.Run(planted.name, func(t *testing.T) {
			var found []string
			for _, at := range codeOf("docs/planted.md", planted.text) {
				found = append(found, c.check(at)...)
			}
			if len(found) == 0 || !strings.Contains(strings.Join(found, "\n"), planted.want) {
				t.Errorf("%q: found %q, want %q", planted.text, found, planted.want)
			}
		})
	}
	for _, sound := range []string{
		"`internal/aggregator/policy`, `./internal/aggregator/policy/...`, `policy/port.go`, `docs/design.md`, `scenarios/*.json`, `internal/{layers,h2}`, `net/http`, `more/anything/there`",
		"`kestrelctl fleet status ADDRESS…`, `fleet demo`, `bin/kestrelctl scenario run FILE --policy sighted,module`, `--json`",
		"`kestrelnode run --disable NAME,...`, `fleetbench score --quick`, `go test -v ./internal/aggregator/policy -run 'A|B|Test'`",
		"[a page](design.md#part), [another](../README.md), [outside](https://example.org/nothing.md)",
		"prose that names TestNothing and internal/nothing outside code",
		"- a list item\n\n    bin/kestrelnowhere goes on in the item, and is no block",
	} {
		for _, at := range codeOf("docs/planted.md", sound) {
			for _, wrong := range c.check(at) {
				t.Errorf("`%s`: %s", at.text, wrong)
			}
		}
	}
}
