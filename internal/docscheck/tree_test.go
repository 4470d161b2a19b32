package docscheck

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// tree is what a page may name.
type tree struct {
	// files and directories by their path from the root.
	paths map[string]bool
	// suffixes of paths, whole segments: "agent/index.go" of "internal/node/agent/index.go".
	suffixes map[string]bool
	// testFunctions gives the directories of a test, fuzz target or benchmark.
	testFunctions map[string][]string
	// testFlags gives the directories whose tests define a flag.
	testFlags map[string][]string
	buildTags map[string]bool
	// packages gives the package-level names, fields and methods of packages by their directory's last segment.
	packages map[string]map[string]bool
	// imports are the last segments of imported paths from outside.
	imports map[string]bool
	// members of types of any package, by type.
	members map[string]map[string]bool
	// keyPaths are paths of keys in the operator's schema, joined by "/".
	keyPaths map[string]bool
	// keys of documents: those of struct tags, of JSON in literals, of the operator's schema and of CUE files.
	keys map[string]bool
	// words that code knows: identifiers, words of string literals, keys of data files; comments don't count.
	words map[string]bool
	// texts are string literals of programs, of tests only what they print, split at formatting verbs, as words.
	texts [][]string
	// literals of programs and tests, for paths in them.
	literals strings.Builder
}

var (
	word      = regexp.MustCompile(`[A-Za-z0-9_]+(?:-[A-Za-z0-9_]+)*`)
	verb      = regexp.MustCompile(`%[-+# 0-9.*]*[a-zA-Z]`)
	jsonKey   = regexp.MustCompile(`"([A-Za-z][\w-]*)"\s*:`)
	testName  = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z0-9_]`)
	buildLine = regexp.MustCompile(`(?m)^//go:build (.*)$`)
)

// leftOut are directories that are no part of the code: history, results, and what builds leave.
var leftOut = map[string]bool{".git": true, "journal": true, "bin": true, "found": true, "logs": true, "target": true}

// readTree reads all files below root.
func readTree(root string) (*tree, error) {
	t := &tree{paths: map[string]bool{}, suffixes: map[string]bool{}, testFunctions: map[string][]string{}, testFlags: map[string][]string{},
		buildTags: map[string]bool{}, packages: map[string]map[string]bool{}, imports: map[string]bool{},
		members: map[string]map[string]bool{}, keyPaths: map[string]bool{}, keys: map[string]bool{}, words: map[string]bool{}}
	err := filepath.WalkDir(root, func(file string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, file)
		name = filepath.ToSlash(name)
		if name == "." {
			return nil
		}
		t.addPath(name)
		if entry.IsDir() {
			if leftOut[name] {
				return filepath.SkipDir
			}
			return nil
		}
		return t.addFile(name, file)
	})
	if err != nil {
		return nil, err
	}
	return t, t.addSchema(filepath.Join(root, "deploy", "operator.schema.json"))
}

func (t *tree) addPath(name string) {
	t.paths[name] = true
	segments := strings.Split(name, "/")
	for i := range segments {
		t.suffixes[strings.Join(segments[i:], "/")] = true
	}
	for _, segment := range segments {
		t.addWords(segment)
	}
}

func (t *tree) addWords(text string) {
	for _, w := range word.FindAllString(text, -1) {
		t.words[w] = true
		for _, part := range strings.Split(w, "-") {
			t.words[part] = true
		}
	}
}

func (t *tree) addFile(name, file string) error {
	switch path.Ext(name) {
	case ".md", ".svg", ".sum":
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if path.Ext(name) != ".go" {
		t.addWords(string(text))
		if path.Ext(name) == ".cue" {
			t.addKeysIn(string(text))
		}
		return nil
	}
	return t.addGo(name, text)
}

func (t *tree) addGo(name string, text []byte) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), name, text, parser.ParseComments)
	if err != nil {
		return err
	}
	directory, isTest := path.Dir(name), strings.HasSuffix(name, "_test.go")
	for _, m := range buildLine.FindAllStringSubmatch(string(text), -1) {
		for _, tag := range word.FindAllString(m[1], -1) {
			t.buildTags[tag] = true
		}
	}
	for _, i := range parsed.Imports {
		imported, _ := strconv.Unquote(i.Path.Value)
		if !strings.HasPrefix(imported, "kestrelspread/") {
			t.imports[path.Base(imported)] = true
		}
	}
	// This package's own examples of what doesn't exist are no evidence that it does.
	if strings.HasSuffix(directory, "docscheck") {
		return nil
	}
	names := t.packages[path.Base(directory)]
	if names == nil {
		names = map[string]bool{}
		t.packages[path.Base(directory)] = names
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		t.addUse(node, isTest)
		t.addDeclaration(node, names)
		if isTest {
			t.addTest(node, directory)
		}
		return true
	})
	return nil
}

// addUse adds the words of a node.
func (t *tree) addUse(node ast.Node, isTest bool) {
	switch n := node.(type) {
	case *ast.Ident:
		t.words[n.Name] = true
	case *ast.Field:
		if n.Tag != nil {
			t.addKeysIn(n.Tag.Value)
		}
	case *ast.BasicLit:
		if n.Kind == token.STRING {
			t.addLiteral(n.Value, isTest)
		}
	}
}

// addDeclaration adds what a node declares to the names of its package.
func (t *tree) addDeclaration(node ast.Node, names map[string]bool) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		names[n.Name.Name] = true
		if n.Recv != nil {
			t.addMember(receiver(n), n.Name.Name)
		}
	case *ast.TypeSpec:
		names[n.Name.Name] = true
		t.addMember(n.Name.Name, "")
		t.addFields(n, names)
	case *ast.ValueSpec:
		for _, declared := range n.Names {
			names[declared.Name] = true
		}
	}
}

// addTest adds the test functions and flags that a test file defines.
func (t *tree) addTest(node ast.Node, directory string) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		if n.Recv == nil && testName.MatchString(n.Name.Name) {
			t.testFunctions[n.Name.Name] = append(t.testFunctions[n.Name.Name], directory)
		}
	case *ast.CallExpr:
		if flag, ok := definedFlag(n); ok {
			t.testFlags[flag] = append(t.testFlags[flag], directory)
		}
		if text, ok := printed(n); ok {
			t.addTexts(text)
		}
	}
}

// printed gives the format of what a test prints for its reader, as the sum of a long run.
func printed(call *ast.CallExpr) (string, bool) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || function.Sel.Name != "Printf" || len(call.Args) == 0 {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

func (t *tree) addKeysIn(text string) {
	for _, key := range word.FindAllString(text, -1) {
		t.keys[key] = true
	}
}

func (t *tree) addLiteral(quoted string, isTest bool) {
	value, err := strconv.Unquote(quoted)
	if err != nil {
		return
	}
	t.addWords(value)
	t.literals.WriteString(value + "\n")
	for _, m := range jsonKey.FindAllStringSubmatch(value, -1) {
		t.keys[m[1]] = true
	}
	if !isTest {
		t.addTexts(value)
	}
}

func (t *tree) addTexts(format string) {
	for _, piece := range verb.Split(format, -1) {
		if words := lineWords(piece); len(words) > 0 {
			t.texts = append(t.texts, words)
		}
	}
}

func (t *tree) addMember(of, name string) {
	if t.members[of] == nil {
		t.members[of] = map[string]bool{}
	}
	t.members[of][name] = true
}

// addFields adds the fields and methods that a type's declaration names.
func (t *tree) addFields(spec *ast.TypeSpec, names map[string]bool) {
	var fields *ast.FieldList
	switch declared := spec.Type.(type) {
	case *ast.StructType:
		fields = declared.Fields
	case *ast.InterfaceType:
		fields = declared.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			names[name.Name] = true
			t.addMember(spec.Name.Name, name.Name)
		}
	}
}

func receiver(f *ast.FuncDecl) string {
	of := f.Recv.List[0].Type
	if star, ok := of.(*ast.StarExpr); ok {
		of = star.X
	}
	switch generic := of.(type) {
	case *ast.IndexExpr:
		of = generic.X
	case *ast.IndexListExpr:
		of = generic.X
	}
	if name, ok := of.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// definedFlag gives the name of a flag that a call of package flag defines.
func definedFlag(call *ast.CallExpr) (string, bool) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	if from, ok := function.X.(*ast.Ident); !ok || from.Name != "flag" {
		return "", false
	}
	at := 0
	if strings.HasSuffix(function.Sel.Name, "Var") {
		at = 1
	}
	if len(call.Args) < at+3 {
		return "", false
	}
	literal, ok := call.Args[at].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	name, err := strconv.Unquote(literal.Value)
	return name, err == nil
}

// addSchema adds the keys of a JSON schema, as paths and parts of paths.
func (t *tree) addSchema(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var schema any
	if err := json.Unmarshal(text, &schema); err != nil {
		return err
	}
	t.addKeys(schema, nil)
	return nil
}

func (t *tree) addKeys(schema any, above []string) {
	object, ok := schema.(map[string]any)
	if !ok {
		return
	}
	for key, value := range object {
		if key != "properties" {
			t.addKeys(value, above)
			continue
		}
		properties, _ := value.(map[string]any)
		for name, property := range properties {
			t.keys[name] = true
			keys := append(append([]string{}, above...), name)
			for i := range keys {
				t.keyPaths[strings.Join(keys[i:], "/")] = true
			}
			t.addKeys(property, keys)
		}
	}
}
