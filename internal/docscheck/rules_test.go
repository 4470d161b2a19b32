package docscheck

import (
	"fmt"
	"go/build"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// checker knows the tree and the programs' command lines.
type checker struct {
	*tree
	programs map[string]*command
	flags    map[string]bool // of all programs
	topLevel map[string]bool // directories at the root
}

func newChecker(t *tree, programs map[string]*command) *checker {
	c := &checker{tree: t, programs: programs, flags: map[string]bool{}, topLevel: map[string]bool{}}
	for _, program := range programs {
		program.everyFlag(c.flags)
	}
	for name := range t.paths {
		if first, _, below := strings.Cut(name, "/"); below {
			c.topLevel[first] = true
		}
	}
	return c
}

var (
	testWord    = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*…?`)
	sourceFile  = regexp.MustCompile(`^[\w./*-]+\.(go|md|proto|cue)$`)
	slashed     = regexp.MustCompile(`^[a-z][a-z0-9_-]*(/[a-z0-9_-]+)+/?$`)
	qualified   = regexp.MustCompile(`^(\w+)\.([A-Za-z]\w*)$`)
	identifier  = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_]*(-[A-Za-z0-9_]+)*$`)
	subCommand  = regexp.MustCompile(`^[a-z][a-z-]*$`)
	longFlag    = regexp.MustCompile(`^--([a-z][a-z0-9-]*)(=.*)?$`)
	testFlag    = regexp.MustCompile(`^--?([a-z][a-z0-9-]*)$`)
	environment = regexp.MustCompile(`^[A-Z_]+=\S*$`)
	braces      = regexp.MustCompile(`^([\w./-]*)\{([\w,.-]+)\}([\w./-]*)$`)
	signature   = regexp.MustCompile(`^([\w.]+)\([\w., ]*\)$`)
	value       = regexp.MustCompile(`^([A-Z]+|\.\.\.|…|[0-9.,]+|true|false)$`)
)

// outside are the first segments of paths that lie outside the repository: the operators' benches and pages.
var outside = map[string]bool{"..": true, "more": true, "given": true, "shared": true}

// otherPrograms are programs that aren't built here; flags behind them are theirs.
var otherPrograms = map[string]bool{"fleetbench": true, "lbsim": true, "lbreal": true, "curl": true, "kill": true, "gcc": true, "go": true,
	"git": true, "xargs": true, "ls": true, "mkdir": true, "gofmt": true}

// history are pages that tell what was seen at a time, by runs and sites that the repository doesn't have: log lines and
// bare words there are quotations. Paths, tests, commands and qualified names are checked there as everywhere.
func history(page string) bool {
	return strings.HasPrefix(page, "docs/incidents/") || strings.HasPrefix(page, "docs/measure/") || page == "docs/results.md" ||
		page == "docs/questions.md" || page == "docs/CAPACITY.md" || page == "docs/ROADMAP.md"
}

// check gives what is wrong with one piece of code, none if all that it names exists.
func (c *checker) check(at code) []string {
	if at.link {
		if c.paths[path.Join(path.Dir(at.page), at.text)] {
			return nil
		}
		return []string{"the link leads nowhere"}
	}
	var wrong []string
	words := strings.Fields(at.text)
	tests := testWord.FindAllString(at.text, -1)
	if len(words) > 0 && words[0] != "go" {
		for _, name := range tests {
			wrong = append(wrong, c.checkTest(name, at.text)...)
		}
	}
	if strings.HasPrefix(at.text, "{") || strings.HasPrefix(at.text, `"`) {
		return wrong
	}
	wrong = append(wrong, c.checkCommand(words, at.block)...)
	for _, w := range words {
		wrong = append(wrong, c.checkPath(at, strings.Trim(w, `'",;:()`))...)
	}
	if at.block || len(wrong) > 0 || len(tests) > 0 {
		return wrong
	}
	if m := signature.FindStringSubmatch(at.text); m != nil {
		at.text, words = m[1], []string{m[1]}
	}
	if m := qualified.FindStringSubmatch(at.text); m != nil && !sourceFile.MatchString(at.text) {
		return c.checkQualified(m[1], m[2])
	}
	if history(at.page) {
		return nil
	}
	if len(words) == 1 {
		return c.checkWord(at)
	}
	return c.checkLine(at.text, words)
}

// checkTest looks for a test function; "package TestName" has it in that package.
func (c *checker) checkTest(name, text string) []string {
	in, ok := c.testFunctions[name]
	if !ok {
		return []string{fmt.Sprintf("no test function %s%s", name, c.nearTests(name))}
	}
	before, _, _ := strings.Cut(text, name)
	fields := strings.Fields(before)
	if len(fields) != 1 || !slashed.MatchString(fields[0]) && !identifier.MatchString(fields[0]) {
		return nil
	}
	for _, directory := range in {
		if strings.HasSuffix("/"+directory, "/"+strings.TrimPrefix(fields[0], "./")) {
			return nil
		}
	}
	return []string{fmt.Sprintf("%s is a test of %s, not of %s", name, strings.Join(in, ", "), fields[0])}
}

// camel are the words of a name in camel case.
var camel = regexp.MustCompile(`[A-Z][a-z0-9]*`)

// nearTests names the test functions that share most words with one that doesn't exist.
func (c *checker) nearTests(name string) string {
	wanted := camel.FindAllString(name, -1)
	best, near := 2, []string{}
	for other, in := range c.testFunctions {
		shared := 0
		for _, w := range camel.FindAllString(other, -1) {
			if slices.Contains(wanted, w) {
				shared++
			}
		}
		if shared > best {
			best, near = shared, nil
		}
		if shared == best && shared > 2 {
			near = append(near, in[0]+" "+other)
		}
	}
	if len(near) == 0 {
		return ""
	}
	slices.Sort(near)
	return "; alike: " + strings.Join(near[:min(len(near), 3)], ", ")
}

// checkCommand looks for a program of ours among the words and follows its sub-commands and flags, and checks go test.
func (c *checker) checkCommand(words []string, block bool) (wrong []string) {
	for i := 0; i < len(words); i++ {
		name := strings.TrimPrefix(words[i], "bin/")
		program, ours := c.programs[name]
		switch {
		case ours:
			return append(wrong, c.follow(name, program, words[i+1:])...)
		case name == "go" && i+1 < len(words) && words[i+1] == "test":
			return append(wrong, c.checkGoTest(words[i+2:])...)
		case otherPrograms[path.Base(name)] && path.Base(name) != "xargs" && path.Base(name) != "ls" && path.Base(name) != "mkdir":
			return wrong
		case strings.HasPrefix(name, "scripts/"):
			return wrong
		}
	}
	if block || len(words) == 0 {
		return wrong
	}
	// A span may leave the program out: "fleet status", "--json", "-args -deep 2".
	if first := c.programs["kestrelctl"].subs[words[0]]; first != nil && len(first.subs) > 0 && len(words) > 1 && subCommand.MatchString(words[1]) {
		if first.subs[words[1]] != nil || len(words) == 2 {
			return c.follow("kestrelctl", c.programs["kestrelctl"], words)
		}
	}
	if m := longFlag.FindStringSubmatch(words[0]); m != nil && !c.flags[m[1]] {
		return []string{"no program has a flag " + words[0]}
	}
	if words[0] == "-args" {
		return c.checkTestFlags(words[1:], nil)
	}
	return wrong
}

// follow walks a program's sub-commands as far as the words name them, and looks for each flag behind.
func (c *checker) follow(name string, at *command, words []string) (wrong []string) {
	for len(words) > 0 && len(at.subs) > 0 && subCommand.MatchString(words[0]) {
		sub, ok := at.subs[words[0]]
		if !ok {
			return []string{fmt.Sprintf("%s has no sub-command %s", name, words[0])}
		}
		name, at, words = name+" "+words[0], sub, words[1:]
	}
	for _, w := range words {
		if w == "|" || w == "&&" {
			break
		}
		if m := longFlag.FindStringSubmatch(strings.Trim(w, "[],")); m != nil && !at.flags[m[1]] {
			wrong = append(wrong, fmt.Sprintf("%s has no flag --%s", name, m[1]))
		}
	}
	return wrong
}

// checkGoTest looks for the packages, the tests that -run and its like match, the build tags and the tests' own flags.
func (c *checker) checkGoTest(words []string) (wrong []string) {
	var directories []string
	patterns := map[string]string{}
	for i := 0; i < len(words); i++ {
		w := words[i]
		switch {
		case w == "-args":
			wrong = append(wrong, c.checkTestFlags(words[i+1:], directories)...)
			i = len(words)
		case strings.HasPrefix(w, "./"):
			directories = append(directories, strings.TrimSuffix(strings.TrimPrefix(w, "./"), "/..."))
		case w == "-tags" && i+1 < len(words):
			i++
			if !c.buildTags[words[i]] {
				wrong = append(wrong, "no file has the build tag "+words[i])
			}
		case (w == "-run" || w == "-bench" || w == "-fuzz") && i+1 < len(words):
			i++
			patterns[w] = strings.Trim(words[i], `'"`)
		}
	}
	for option, pattern := range patterns {
		if !c.matchesTest(pattern, map[string]string{"-run": "Test", "-bench": "Benchmark", "-fuzz": "Fuzz"}[option], directories) {
			wrong = append(wrong, fmt.Sprintf("no test of %s matches %s %s", strings.Join(directories, ", "), option, pattern))
		}
	}
	return wrong
}

func (c *checker) matchesTest(pattern, kind string, directories []string) bool {
	expression, err := regexp.Compile(pattern)
	if err != nil {
		return false
	}
	for name, in := range c.testFunctions {
		if strings.HasPrefix(name, kind) && expression.MatchString(name) {
			for _, directory := range in {
				if len(directories) == 0 || slices.Contains(directories, directory) {
					return true
				}
			}
		}
	}
	return false
}

// checkTestFlags looks for flags that tests define, in one of the directories if any are named.
func (c *checker) checkTestFlags(words, directories []string) (wrong []string) {
	for _, w := range words {
		m := testFlag.FindStringSubmatch(w)
		if m == nil {
			continue
		}
		defined := c.testFlags[m[1]]
		if !slices.ContainsFunc(defined, func(in string) bool { return len(directories) == 0 || slices.Contains(directories, in) }) {
			wrong = append(wrong, fmt.Sprintf("no test of %s defines the flag -%s", strings.Join(directories, ", "), m[1]))
		}
	}
	return wrong
}

// checkPath looks for a path: in full, as the end of one, or as a path of keys, a route or a media type that code spells.
func (c *checker) checkPath(at code, w string) (wrong []string) {
	if m := braces.FindStringSubmatch(w); m != nil {
		for _, alternative := range strings.Split(m[2], ",") {
			wrong = append(wrong, c.checkPath(at, m[1]+alternative+m[3])...)
		}
		return wrong
	}
	name := strings.TrimSuffix(strings.TrimPrefix(w, "./"), "/")
	first, rest, below := strings.Cut(name, "/")
	switch {
	case name == "" || outside[first] || strings.HasSuffix(name, "..."):
		return nil
	case first == "bin" && below:
		var wrong []string
		for _, program := range strings.Split(rest, ",") {
			if program = strings.TrimPrefix(program, "bin/"); !c.paths["cmd/"+program] {
				wrong = append(wrong, "no command "+program+" is built")
			}
		}
		return wrong
	case at.path:
		if c.suffixes[name] {
			return nil
		}
	case c.topLevel[first] && below:
		if c.paths[name] || c.suffixes[name] || c.matchesPath(name) || c.keyPaths[name] || c.spelled(name) {
			return nil
		}
	case sourceFile.MatchString(name):
		if c.suffixes[name] || c.paths[path.Join(path.Dir(at.page), name)] || c.matchesPath(name) {
			return nil
		}
	case slashed.MatchString(name):
		if c.suffixes[name] || c.keyPaths[name] || c.spelled(name) || standardPackage(name) {
			return nil
		}
	default:
		return nil
	}
	return []string{fmt.Sprintf("no path %s%s", w, c.nearPaths(name))}
}

func (c *checker) matchesPath(pattern string) bool {
	if strings.Contains(pattern, "…") {
		pattern = strings.ReplaceAll(pattern, "…", "*")
	}
	if !strings.Contains(pattern, "*") {
		return false
	}
	for name := range c.paths {
		if ok, _ := path.Match(pattern, name); ok {
			return true
		}
	}
	return false
}

// spelled tells whether a string literal has the words, as the routes of HTTP calls and media types have.
func (c *checker) spelled(name string) bool {
	return !strings.HasPrefix(name, "internal/") && strings.Contains(c.literals.String(), name)
}

func standardPackage(name string) bool {
	info, err := os.Stat(filepath.Join(build.Default.GOROOT, "src", filepath.FromSlash(name)))
	return err == nil && info.IsDir()
}

// nearPaths names the paths whose last segment is that of one that doesn't exist.
func (c *checker) nearPaths(name string) string {
	var near []string
	for other := range c.paths {
		if path.Base(other) == path.Base(name) {
			near = append(near, other)
		}
	}
	if len(near) == 0 {
		return ""
	}
	slices.Sort(near)
	return "; alike: " + strings.Join(near[:min(len(near), 3)], ", ")
}

// checkQualified looks for a name in the package or type before its dot, or for a key below another.
func (c *checker) checkQualified(of, name string) []string {
	switch {
	case c.spelled(of + "." + name):
		return nil // a file that programs write
	case c.packages[of][name] || c.members[of][name] || c.imports[of] || c.keys[of] && c.keys[name]:
		return nil
	case c.packages[of] != nil || c.members[of] != nil:
		return []string{fmt.Sprintf("%s has no %s", of, name)}
	}
	return []string{fmt.Sprintf("no package, type or key %s", of)}
}

// checkWord looks for a single word anywhere in the code.
func (c *checker) checkWord(at code) []string {
	if len(at.text) < 3 || !identifier.MatchString(at.text) || c.words[at.text] || otherPrograms[at.text] {
		return nil
	}
	return []string{"the code knows no word " + at.text}
}

// lineWords are the words of a text, without what sets them off.
func lineWords(text string) []string {
	var words []string
	for _, w := range strings.Fields(text) {
		if w = strings.Trim(w, `'",;:()[]=`); w != "" {
			words = append(words, w)
		}
	}
	return words
}

// checkLine looks for a log line or answer of several words: it has to be made up of texts of the programs, between
// which numbers and other values may stand.
func (c *checker) checkLine(text string, words []string) []string {
	if strings.HasPrefix(words[0], "-") || environment.MatchString(words[0]) || otherPrograms[path.Base(words[0])] || c.programs[strings.TrimPrefix(words[0], "bin/")] != nil {
		return nil
	}
	if c.covered(lineWords(text)) {
		return nil
	}
	return []string{"no program says " + text}
}

func (c *checker) covered(line []string) bool {
	reached := make([]bool, len(line)+1)
	reached[0] = true
	for i := range line {
		if !reached[i] {
			continue
		}
		if value.MatchString(line[i]) || strings.Contains(line[i], "=") {
			reached[i+1] = true
		}
		for _, text := range c.texts {
			for from := range text {
				n := sharedWords(text[from:], line[i:])
				for k := 2; k <= n; k++ {
					reached[i+k] = true
				}
				// One word alone counts if it is a text whole, or ends one and a value follows.
				before := from == len(text)-1 && i+1 < len(line) && value.MatchString(line[i+1])
				if n == 1 && (len(text) == 1 || before) {
					reached[i+1] = true
				}
			}
		}
	}
	return reached[len(line)]
}

func sharedWords(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
