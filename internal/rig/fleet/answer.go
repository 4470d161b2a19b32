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

// seal is the stamp of an answer, read.
type seal struct {
	instance string
	run      string
	check    uint64
}

func parseSeal(text string) (seal, bool) {
	fields := strings.Split(text, ".")
	if len(fields) != 3 {
		return seal{}, false
	}
	check, err := strconv.ParseUint(fields[2], 16, 64)
	return seal{instance: fields[0], run: fields[1], check: check}, err == nil
}

// checkWhole reads a body that is no stream, and says what is wrong with the answer. An error: it was cut off.
func checkWhole(answer *http.Response) (problem string, err error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	if answer.StatusCode != http.StatusOK {
		return "", nil
	}
	stamp, ok := parseSeal(answer.Header.Get(llmbroker.HeaderSeal))
	if !ok {
		return "MIXED: a success without a broker's seal", nil
	}
	if stamp.check != llmbroker.Hash(body) {
		return "MIXED: a success whose body is not that of its seal", nil
	}
	return "", nil
}

// streamReader reads a stream, and notes what is wrong with it.
type streamReader struct {
	record  *Record
	request *request
	seal    seal
	started time.Time // of the client's first try
	aim     time.Duration
	gap     time.Duration
	last    int // id of the newest event; 0: none
	lastAt  time.Time
	run     string // that the events of a stream name that may not be resumed
}

// read reads a stream to its end. An error: it was cut off.
func (s *streamReader) read(answer *http.Response) error {
	stamp, ok := parseSeal(answer.Header.Get(llmbroker.HeaderSeal))
	if !ok {
		s.record.Problem = "MIXED: a stream without a broker's seal"
	}
	s.seal = stamp
	reader := bufio.NewReader(answer.Body)
	for {
		event, err := readEvent(reader)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		s.event(event)
	}
	if uint64(s.last) != stamp.check && s.record.Problem == "" {
		s.record.Problem = fmt.Sprintf("ORDER: a stream ends as complete after event %d of %d", s.last, stamp.check)
	}
	return nil
}

// readEvent reads up to the empty line behind an event. io.EOF: the stream has ended properly.
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

// event checks one event: each comes once, in order, with the text that every run gives it.
func (s *streamReader) event(event []byte) {
	now := time.Now()
	if s.last == 0 && now.Sub(s.started) > s.aim || s.last > 0 && now.Sub(s.lastAt) > s.gap {
		s.record.Late = true
	}
	s.lastAt = now
	var id int
	var piece, run string
	for line := range strings.Lines(string(event)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "id":
			id, _ = strconv.Atoi(value)
		case "data":
			piece, run, _ = strings.Cut(value, " ")
		}
	}
	s.check(id, piece, run)
}

func (s *streamReader) check(id int, piece, run string) {
	switch {
	case s.record.Problem != "":
	case id != s.last+1:
		s.record.Problem = fmt.Sprintf("ORDER: event %d follows event %d", id, s.last)
	case piece != llmbroker.Piece(s.request.uri, s.request.body, id):
		s.record.Problem = fmt.Sprintf("MIXED: event %d belongs to another request", id)
	case s.run != "" && run != s.run && !s.record.idempotent():
		s.record.Problem = fmt.Sprintf("ORDER: events of the runs %s and %s are joined", s.run, run)
	case s.last == 0 && run != s.seal.instance+"."+s.seal.run:
		s.record.Problem = fmt.Sprintf("MIXED: the seal of %s.%s stands on run %s", s.seal.instance, s.seal.run, run)
	}
	s.last, s.run = id, run
}
