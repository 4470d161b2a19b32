package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes: what was sent, answered and run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	began   time.Time
	file    *os.File
	writer  *bufio.Writer
	numbers map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file), numbers: map[string]int{}}, nil
}

// add writes a line.
func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.writer, format+"\n", values...)
}

// count counts an event by its name.
func (r *record) count(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.numbers[name]++
}

// say writes a line and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// at is a time as it stands in the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
