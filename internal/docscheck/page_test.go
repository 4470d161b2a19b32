package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// code is a piece of a page that is set as code: a span, a line of a block, or the target of a link.
type code struct {
	page  string // path from the root of the repository
	line  int
	text  string
	block bool
	link  bool
	// path is set in the first column of a table whose head is "path".
	path bool
}

var (
	span     = regexp.MustCompile("`([^`]+)`")
	link     = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)
	listItem = regexp.MustCompile(`^\s*([-*+]|\d+\.)\s`)
	comment  = regexp.MustCompile(`\s#\s.*$`)
)

// pages gives the pages of the repository: README.md, CONTRIBUTING.md and all of docs.
func pages(root string) ([]string, error) {
	var found []string
	for _, name := range []string{"README.md", "CONTRIBUTING.md"} {
		if _, err := os.Stat(filepath.Join(root, name)); err == nil {
			found = append(found, name)
		}
	}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry os.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && filepath.Ext(path) == ".md" {
			relative, _ := filepath.Rel(root, path)
			found = append(found, relative)
		}
		return err
	})
	return found, err
}

// reader goes through a page line by line.
type reader struct {
	page  string
	found []code
	// paragraph holds the lines of prose that were not looked at yet, with their numbers.
	paragraph []string
	numbers   []int

	fenced, inBlock, inList, pathTable, afterEmpty bool
}

// codeOf gives the code and the links of a page. Blocks are fenced, or indented by four columns after an empty line,
// outside lists. Their shell comments and lines of JSON are left out; a line that ends with a backslash goes on.
func codeOf(page, text string) []code {
	r := &reader{page: page, afterEmpty: true}
	for i, line := range strings.Split(text, "\n") {
		r.line(i+1, line)
	}
	r.endParagraph()
	return append(r.found, linksOf(page, text)...)
}

func (r *reader) line(number int, line string) {
	empty := strings.TrimSpace(line) == ""
	indented := strings.HasPrefix(line, "    ") && (r.inBlock || r.afterEmpty) && !r.inList
	switch {
	case strings.HasPrefix(strings.TrimSpace(line), "```"):
		r.endParagraph()
		r.fenced = !r.fenced
	case r.fenced:
		r.blockLine(number, line)
	case empty:
		r.endParagraph()
		r.pathTable = false
	case indented:
		r.blockLine(number, line)
	case strings.HasPrefix(line, "| path |"):
		r.pathTable = true
	case strings.HasPrefix(line, "|"):
		r.endParagraph()
		r.tableRow(number, line)
	default:
		r.prose(number, line)
	}
	r.inBlock = !r.fenced && (indented || empty && r.inBlock)
	r.afterEmpty = empty
}

func (r *reader) blockLine(number int, line string) {
	line = strings.TrimSpace(comment.ReplaceAllString(line, ""))
	if last := len(r.found) - 1; last >= 0 && r.found[last].block && strings.HasSuffix(r.found[last].text, `\`) {
		r.found[last].text = strings.TrimSuffix(r.found[last].text, `\`) + line
	} else if line != "" {
		r.found = append(r.found, code{page: r.page, line: number, text: line, block: true})
	}
}

func (r *reader) tableRow(number int, line string) {
	columns := strings.SplitN(line, "|", 3)
	if len(columns) < 3 {
		return
	}
	for _, c := range spansOf(r.page, columns[1], []int{number}) {
		c.path = r.pathTable
		r.found = append(r.found, c)
	}
	r.found = append(r.found, spansOf(r.page, columns[2], []int{number})...)
}

func (r *reader) prose(number int, line string) {
	if listItem.MatchString(line) {
		r.endParagraph()
		r.inList = true
	} else if line[0] != ' ' {
		r.inList = false
	}
	r.paragraph, r.numbers = append(r.paragraph, line), append(r.numbers, number)
}

func (r *reader) endParagraph() {
	if len(r.paragraph) > 0 {
		r.found = append(r.found, spansOf(r.page, strings.Join(r.paragraph, "\n"), r.numbers)...)
		r.paragraph, r.numbers = nil, nil
	}
}

// linksOf gives the targets of a page's links that lead to files.
func linksOf(page, text string) []code {
	var found []code
	for i, line := range strings.Split(text, "\n") {
		for _, m := range link.FindAllStringSubmatch(line, -1) {
			if !strings.Contains(m[1], "://") {
				found = append(found, code{page: page, line: i + 1, text: m[1], link: true})
			}
		}
	}
	return found
}

// spansOf gives the code spans of a paragraph whose lines have the given numbers.
func spansOf(page, paragraph string, lines []int) []code {
	var found []code
	for _, m := range span.FindAllStringSubmatchIndex(paragraph, -1) {
		line := lines[min(strings.Count(paragraph[:m[0]], "\n"), len(lines)-1)]
		text := strings.Join(strings.Fields(paragraph[m[2]:m[3]]), " ")
		if text != "" {
			found = append(found, code{page: page, line: line, text: text})
		}
	}
	return found
}
