package protocol

import (
	"bytes"
)

// LineSplitter splits a stream into lines, of which each may be long. A list that comes indented,
// over many lines, is one: a line that is the sound beginning of a list is kept until its last
// brace is closed.
type LineSplitter struct {
	partial         []byte
	depth, scanned  int
	quoted, escaped bool
}

// listComplete follows braces through a line, and tells whether all are shut at its end.
func (l *LineSplitter) listComplete(line []byte) bool {
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
	return l.depth <= 0 || l.quoted // no line ends within a string
}

// Feed takes the next bytes and calls each with every line that they complete; it ends at the first
// error.
func (l *LineSplitter) Feed(b []byte, each func(line []byte) error) error {
	for {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		if !ended {
			if len(l.partial)+len(line) > maxLine {
				return newError(400, "a line is too long")
			}
			l.partial = append(l.partial, line...)
			return nil
		}
		goes := len(l.partial) > 0 && l.depth > 0 // on from the line before
		if len(l.partial) > 0 {
			l.partial = append(l.partial, line...)
			line = l.partial
		}
		piece := line[l.scanned:]
		if goes {
			// A blank line is a beat and a sound list is one of its own: what is held was cut off,
			// and goes on nowhere.
			if _, _, err := ReadList(piece, nil); err == nil || len(bytes.TrimSpace(piece)) == 0 {
				return newError(400, "half a list")
			}
		}
		if !l.listComplete(piece) && (goes || beginsList(line)) && len(line) < maxLine {
			if len(l.partial) == 0 {
				l.partial = append(l.partial, line...)
			}
			l.partial = append(l.partial, '\n') // what is held stays where it is: moved for each line, a long list would take minutes
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
