package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: one line an event, with the time since the start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func createRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }
