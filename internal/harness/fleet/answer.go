package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// seal is the parsed seal of an answer: which run of which broker made it, and what its body must match.
type seal struct {
	instance string
	run      string
	check    uint64 // hash of the body; of a stream the number of events
}

// parseSeal parses the header of an answer.
func parseSeal(text string) (seal, bool) {
	fields := strings.Split(text, ".")
	if len(fields) != 3 {
		return seal{}, false
	}
	check, err := strconv.ParseUint(fields[2], 16, 64)
	return seal{instance: fields[0], run: fields[1], check: check}, err == nil
}

// checkBody reads a body that is not a stream, and returns what is wrong with the answer. An error: the body is truncated.
func checkBody(answer *http.Response) (defect string, err error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	if answer.StatusCode != http.StatusOK {
		return "", nil
	}
	parsed, ok := parseSeal(answer.Header.Get(llmbroker.HeaderSeal))
	if !ok {
		return "MIXED: a success without a broker's seal", nil
	}
	if parsed.check != llmbroker.Hash(body) {
		return "MIXED: a success whose body is not that of its seal", nil
	}
	return "", nil
}

// streamReader reads a stream, and records what is wrong with it in the attempt.
type streamReader struct {
	attempt        *Attempt
	request        *request
	seal           seal
	firstAttemptAt time.Time
	latencyTarget  time.Duration
	gapTarget      time.Duration
	lastEvent      int // ID of the newest event; 0: none
	lastEventAt    time.Time
	lastRun        string // named by the newest event; streams that may not be resumed come from one run
}

// read reads a stream to its end. An error: it is truncated.
func (s *streamReader) read(answer *http.Response) error {
	parsed, ok := parseSeal(answer.Header.Get(llmbroker.HeaderSeal))
	if !ok {
		s.attempt.Defect = "MIXED: a stream without a broker's seal"
	}
	s.seal = parsed
	reader := bufio.NewReader(answer.Body)
	for {
		event, err := readEvent(reader)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		s.handleEvent(event)
	}
	if uint64(s.lastEvent) != parsed.check && s.attempt.Defect == "" {
		s.attempt.Defect = fmt.Sprintf("ORDER: a stream ends as complete after event %d of %d", s.lastEvent, parsed.check)
	}
	return nil
}

// readEvent reads up to the empty line after an event. io.EOF: the stream has ended properly.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF && len(event)+len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return event, nil
		}
		event = append(event, line...)
	}
}

// handleEvent parses one event, and records whether it is late.
func (s *streamReader) handleEvent(handleEvent []byte) {
	now := time.Now()
	if s.lastEvent == 0 && now.Sub(s.firstAttemptAt) > s.latencyTarget || s.lastEvent > 0 && now.Sub(s.lastEventAt) > s.gapTarget {
		s.attempt.Late = true
	}
	s.lastEventAt = now
	var id int
	var text, run string
	for line := range strings.Lines(string(handleEvent)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "id":
			id, _ = strconv.Atoi(value)
		case "data":
			text, run, _ = strings.Cut(value, " ")
		}
	}
	s.checkEvent(id, text, run)
}

// checkEvent checks that each event arrives once, in order, with the text that every run gives it.
func (s *streamReader) checkEvent(id int, text, run string) {
	switch {
	case s.attempt.Defect != "":
	case id != s.lastEvent+1:
		s.attempt.Defect = fmt.Sprintf("ORDER: event %d follows event %d", id, s.lastEvent)
	case text != llmbroker.EventText(s.request.uri, s.request.body, id):
		s.attempt.Defect = fmt.Sprintf("MIXED: event %d belongs to another request", id)
	case s.lastRun != "" && run != s.lastRun && !s.attempt.idempotent():
		s.attempt.Defect = fmt.Sprintf("ORDER: events of the runs %s and %s are joined", s.lastRun, run)
	case s.lastEvent == 0 && run != s.seal.instance+"."+s.seal.run:
		s.attempt.Defect = fmt.Sprintf("MIXED: the seal of %s.%s stands on run %s", s.seal.instance, s.seal.run, run)
	}
	s.lastEvent, s.lastRun = id, run
}
