package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"kestrelspread/internal/node/forward/upstream"
)

// eventID is the id of an event; ids rise within a stream (PROTOCOL.md, "Requests").
type eventID struct {
	number int64
	set    bool
}

// noEvent is the id before the first event.
var noEvent eventID

// eventSource is the body of a stream.
type eventSource interface {
	io.Reader
	// EndsNow reports whether the next Read returns io.EOF without waiting.
	EndsNow() bool
}

// eventReader splits a stream into complete events. An empty line ends an event.
type eventReader struct {
	source eventSource
	// skipThrough: events up to this one are skipped, since the client has them.
	skipThrough eventID

	buffer *buffer
	// consumed bytes at the front of the buffer have been forwarded; bytes up to complete form
	// complete events; bytes up to scanned have been searched for line ends.
	consumed, complete int
	scanned            int
	ended              bool // the broker ended the stream properly
	// readErr broke the stream after the complete events that are buffered.
	readErr error
}

// newEventReader returns a reader of a stream that skips events up to the one given.
func newEventReader(source eventSource, after eventID) *eventReader {
	return &eventReader{source: source, skipThrough: after, buffer: takeBuffer()}
}

// release returns the buffer to its pool.
func (e *eventReader) release() {
	e.buffer.release()
	e.buffer = nil
}

// ready reports whether there is something to forward: complete events, or the end.
func (e *eventReader) ready() bool { return e.complete > e.consumed || e.ended }

// errEventTooLarge says that an event exceeds maxEventBytes.
var errEventTooLarge = fmt.Errorf("%w: event of a stream is too large", upstream.ErrInvalidAnswer)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// fill reads once. At the proper end of the stream the rest counts as an event. An error is
// returned only after the complete events before it have been taken.
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

// compact moves the bytes that were not consumed to the front of the buffer.
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

// scan searches the new bytes for ends of events.
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

// endsEmptyLine reports whether the line from scanned to end is empty.
func (e *eventReader) endsEmptyLine(end int) bool {
	line := e.buffer.bytes[e.scanned:end]
	return len(line) == 0 || len(line) == 1 && line[0] == '\r'
}

// takeEvents returns the complete events that were not consumed. The bytes are valid until the next
// fill.
func (e *eventReader) takeEvents() []byte {
	events := e.buffer.bytes[e.consumed:e.complete]
	e.consumed = e.complete
	return events
}

// numberedEvents is the result of takeEventsAfter.
type numberedEvents struct {
	events []byte
	lastID eventID
	// hasUnnumbered: some event with data has no id, so that the stream can't be resumed after it.
	hasUnnumbered bool
}

// takeEventsAfter returns the complete events that were not consumed, and the id of the last of
// them. In a resumed stream, events up to the last one that the client has are left out.
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

// splitEvent returns the first event and the rest.
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

// parseEventID reads the id of an event, and whether it has data: comments have neither.
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
