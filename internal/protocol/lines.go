package protocol

import (
	"bytes"
)

// LineSplitter splits the stream of a discovery service into lines. A list that is indented over many
// lines counts as one line: a line that is a valid prefix of a list is buffered until the last brace
// of the list is closed.
type LineSplitter struct {
	partial []byte // buffered bytes of an incomplete line or list
	depth   int    // open braces and brackets at the end of the scanned bytes
	scanned int    // bytes of partial whose braces were counted
	quoted  bool   // the scanned bytes end within a string
	escaped bool   // the scanned bytes end after a backslash within a string
}

// closesList counts the braces and brackets of a line, and reports whether the list ends with it. That is
// so if no brace or bracket is open at the end of the line, or if the line ends within a string: a valid
// list has no line break there, so it can't continue.
func (l *LineSplitter) closesList(line []byte) bool {
	for _, c := range line {
		switch {
		case l.escaped:
			l.escaped = false
		case l.quoted:
			l.escaped, l.quoted = c == '\\', c != '"'
		case c == '"':
			l.quoted = true
		case c == '{' || c == '[':
			l.depth++
		case c == '}' || c == ']':
			l.depth--
		}
	}
	return l.depth <= 0 || l.quoted
}

// Feed takes the next bytes of the stream and calls each with every line that they complete. It stops
// at the first error.
func (l *LineSplitter) Feed(b []byte, each func(line []byte) error) error {
	for {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		if !ended {
			if len(l.partial)+len(line) > maxLine {
				return newRequestError(400, "line of the discovery stream exceeds the limit")
			}
			l.partial = append(l.partial, line...)
			return nil
		}
		continuesList := len(l.partial) > 0 && l.depth > 0
		if len(l.partial) > 0 {
			l.partial = append(l.partial, line...)
			line = l.partial
		}
		piece := line[l.scanned:]
		if continuesList {
			// A blank line is a heartbeat and a valid list stands alone: in both cases the buffered
			// list was cut off and its rest never comes.
			if _, _, err := ParseServerList(piece, nil); err == nil || len(bytes.TrimSpace(piece)) == 0 {
				return newRequestError(400, "server list was cut off")
			}
		}
		if !l.closesList(piece) && (continuesList || isListPrefix(line)) && len(line) < maxLine {
			if len(l.partial) == 0 {
				l.partial = append(l.partial, line...)
			}
			// The buffered lines stay in place: copying them for each line would take minutes for a long
			// list.
			l.partial = append(l.partial, '\n')
			l.scanned = len(l.partial)
			b = rest
			continue
		}
		l.depth, l.quoted, l.escaped, l.scanned = 0, false, false, 0
		err := each(bytes.TrimRight(line, "\r"))
		if l.partial = l.partial[:0]; err != nil {
			return err
		}
		b = rest
	}
}
