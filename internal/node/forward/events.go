package forward

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"kestrelspread/internal/node/forward/upstream"
)

// eventID is the id of an event of a stream; ids rise within a stream (PROTOCOL.md, "Requests").
type eventID struct {
	number int64
	set    bool
}

// noEvent is where a stream starts.
var noEvent eventID

// eventSource is the body of a stream.
type eventSource interface {
	io.Reader
	// EndsNow reports whether the next Read gives io.EOF without waiting.
	EndsNow() bool
}

// eventReader cuts a stream into whole events. An event ends with an empty line.
type eventReader struct {
	source eventSource
	// skipThrough: events up to this one are left out, since the client has them.
	skipThrough eventID

	buffer *buffer
	// consumed bytes at the front of the buffer have been passed on; those up to whole are whole events.
	consumed, complete int
	scanned            int
	ended              bool // the broker ended the stream in the proper way
	// readErr is what broke the stream off behind the whole events that are here.
	readErr error
}

func newEventReader(source eventSource, after eventID) *eventReader {
	return &eventReader{source: source, skipThrough: after, buffer: takeBuffer()}
}

func (e *eventReader) release() {
	e.buffer.release()
	e.buffer = nil
}

// ready reports whether there is something to pass on: whole events, or the end.
func (e *eventReader) ready() bool { return e.complete > e.consumed || e.ended }

// errEventTooLarge says that an event is larger than any broker sends.
var errEventTooLarge = upstream.InvalidAnswer.New("event of a stream is too large")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// fill reads once. At the proper end of the stream what is left counts as an event. An error comes only after the whole
// events before it have been passed on.
func (e *eventReader) fill() error {
	if e.readErr != nil {
		return e.readErr
	}
	e.compact()
	if len(e.buffer.bytes) > maxEventBytes {
		return errEventTooLarge
	}
	e.buffer.grow(minReadSize)
	data := e.buffer.bytes
	count, err := e.source.Read(data[len(data):cap(data)])
	e.buffer.bytes = data[:len(data)+count]
	e.scan()
	if errors.Is(err, io.EOF) {
		e.ended = true
		e.complete = len(e.buffer.bytes)
		return nil
	}
	if err != nil && e.ready() {
		e.readErr = err
		return nil
	}
	if err == nil && e.source.EndsNow() {
		return e.fill()
	}
	return err
}

// compact moves what is left to the front of the buffer.
func (e *eventReader) compact() {
	if e.consumed == 0 {
		return
	}
	rest := copy(e.buffer.bytes, e.buffer.bytes[e.consumed:])
	e.buffer.bytes = e.buffer.bytes[:rest]
	e.complete -= e.consumed
	e.scanned -= e.consumed
	e.consumed = 0
}

// scan finds the ends of events in the bytes that are new.
func (e *eventReader) scan() {
	data := e.buffer.bytes
	for {
		end := bytes.IndexByte(data[e.scanned:], '\n')
		if end < 0 {
			return
		}
		end += e.scanned
		if e.endsEmptyLine(end) {
			e.complete = end + 1
		}
		e.scanned = end + 1
	}
}

// endsEmptyLine reports whether the line that ends at the position, and starts where scanning stands, is empty.
func (e *eventReader) endsEmptyLine(end int) bool {
	line := e.buffer.bytes[e.scanned:end]
	return len(line) == 0 || len(line) == 1 && line[0] == '\r'
}

// takeEvents gives the whole events that have not been passed on. The bytes hold until the next fill.
func (e *eventReader) takeEvents() []byte {
	events := e.buffer.bytes[e.consumed:e.complete]
	e.consumed = e.complete
	return events
}

// numberedEvents is what takeNumbered found.
type numberedEvents struct {
	events []byte
	lastID eventID
	// hasUnnumbered: some event has no id, so that nobody can go on behind it.
	hasUnnumbered bool
}

// takeEventsAfter gives the whole events that have not been passed on, and the id of the last of them. Where the client has
// events of another run, those up to its last are left out.
func (e *eventReader) takeEventsAfter(last eventID) numberedEvents {
	events := e.takeEvents()
	found := numberedEvents{events: events[:0], lastID: last}
	for len(events) > 0 {
		var event []byte
		event, events = splitEvent(events)
		id, hasData := parseEventID(event)
		if !id.set {
			found.hasUnnumbered = found.hasUnnumbered || hasData
		} else if e.skipThrough.set && id.number <= found.lastID.number {
			continue
		} else {
			found.lastID = id
		}
		found.events = append(found.events, event...)
	}
	return found
}

// splitEvent gives the first event and the rest.
func splitEvent(events []byte) (event, rest []byte) {
	start := 0
	for {
		end := bytes.IndexByte(events[start:], '\n')
		if end < 0 {
			return events, nil
		}
		line := events[start : start+end]
		start += end + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return events[:start], events[start:]
		}
	}
}

// parseEventID reads the id of an event, and whether it has data at all: comments have neither.
func parseEventID(event []byte) (id eventID, hasData bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data":
			hasData = true
		case "id":
			number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				id = eventID{number: number, set: true}
			}
		}
	}
	return id, hasData
}
