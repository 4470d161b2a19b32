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

// codeOf gives the code and the links of a page. Blocks are fenced, or indented by four columns after an empty line, outside lists.
// Their shell comments and lines of JSON are left out; a line that ends with a backslash goes on.
func codeOf(page, text string) []code {
	var found []code
	var prose strings.Builder
	proseLines := []int{}
	fenced, inBlock, inList, pathTable, afterEmpty := false, false, false, false, true
	addBlockLine := func(number int, line string) {
		line = strings.TrimSpace(comment.ReplaceAllString(line, ""))
		if last := len(found) - 1; last >= 0 && found[last].block && strings.HasSuffix(found[last].text, `\`) {
			found[last].text = strings.TrimSuffix(found[last].text, `\`) + line
		} else if line != "" {
			found = append(found, code{page: page, line: number, text: line, block: true})
		}
	}
	flush := func() {
		if prose.Len() > 0 {
			found = append(found, spansOf(page, prose.String(), proseLines)...)
			prose.Reset()
			proseLines = proseLines[:0]
		}
	}
	for i, line := range strings.Split(text, "\n") {
		number, empty := i+1, strings.TrimSpace(line) == ""
		switch {
		case strings.HasPrefix(strings.TrimSpace(line), "```"):
			flush()
			fenced = !fenced
		case fenced:
			addBlockLine(number, line)
		case empty:
			flush()
			pathTable = false
		case strings.HasPrefix(line, "    ") && (inBlock || afterEmpty) && !inList:
			inBlock = true
			addBlockLine(number, line)
			afterEmpty = false
			continue
		case strings.HasPrefix(line, "| path |"):
			pathTable = true
		case strings.HasPrefix(line, "|"):
			flush()
			columns := strings.SplitN(line, "|", 3)
			if len(columns) == 3 {
				for _, c := range spansOf(page, columns[1], []int{number}) {
					c.path = pathTable
					found = append(found, c)
				}
				found = append(found, spansOf(page, columns[2], []int{number})...)
			}
		default:
			if listItem.MatchString(line) {
				flush()
				inList = true
			} else if line[0] != ' ' {
				inList = false
			}
			prose.WriteString(line + "\n")
			proseLines = append(proseLines, number)
		}
		if !empty {
			inBlock = false
		}
		afterEmpty = empty
	}
	flush()
	return append(found, linksOf(page, text)...)
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
