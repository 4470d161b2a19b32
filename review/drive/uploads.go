package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	memoryLimitMB  = 284     // limits.memoryMb of the settings
	uploadBytes    = 4000000 // of limits.maxBodyBytes, 4194304
	uploadsPerNode = 96
	uploadTime     = 8 * time.Second // a body takes so long to come: 0.5 MB/s
	waves          = 3
	restartDelay   = 500 * time.Millisecond
	steps          = 40 // pieces of a body
)

// uploads: on each machine some clients send bodies in chunks at the same time, each within limits.maxBodyBytes. Fault: no three ends
// of processes on two machines or more; memory over the limit counts. Without the disruption the same number of bodies comes one after
// another.
func uploads(s *scene) int { return s.playUploads(true) }

// uploadsWithLength is a control: the same bodies state their length.
func uploadsWithLength(s *scene) int { return s.playUploads(false) }

func (s *scene) playUploads(inChunks bool) int {
	f, err := newFleet(s.record, s.program, 5, 3, nil)
	if err != nil {
		return s.cannotRun(err)
	}
	defer f.close()
	if err := startAll(f.nodes); err != nil {
		return s.cannotRun(err)
	}
	routes := []map[string]any{
		route("r-scan", "/scan/", "unsafe", "labels", 20000, 1), route("r-print", "/print/", "unsafe", "labels", 3000, 1),
	}
	if err := f.replace(0, configuration(3, routes, "labels"), 15*time.Second); err != nil {
		return s.cannotRun(err)
	}
	seen := &arrivals{}
	for i := range 3 {
		b, err := startBroker(f, seen, "labels", i, 30*time.Millisecond)
		if err != nil {
			return s.cannotRun(err)
		}
		defer b.end()
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return s.cannotRun(err)
	}
	time.Sleep((contactMs + 500) * time.Millisecond)
	stop, stopped := make(chan struct{}), make(chan struct{})
	c := &clients{fleet: f, platform: newPlatform(f, stop), path: "/print/", deadline: 3 * time.Second}
	go func() { defer close(stopped); c.run(20, stop) }()
	w := &memoryWatch{record: s.record, peaks: map[string]int{}, ends: map[string]int{}}
	for number := range waves {
		s.record.say("wave %d", number+1)
		var upload sync.WaitGroup
		for _, n := range f.nodes {
			for i := range uploadsPerNode {
				upload.Add(1)
				delay := time.Duration(0)
				duration := uploadTime
				if !s.trouble {
					duration = 50 * time.Millisecond
					delay = time.Duration(i) * 4 * duration
				}
				go func() { defer upload.Done(); time.Sleep(delay); s.upload(n, inChunks, duration) }()
			}
		}
		done := make(chan struct{})
		go func() { upload.Wait(); close(done) }()
		if err := w.watch(f, done); err != nil {
			return s.cannotRun(err)
		}
	}
	close(stop)
	<-stopped
	return s.judgeEnds(w, c, seen)
}

// upload sends one body, evenly over the duration.
func (s *scene) upload(n *node, inChunks bool, duration time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	status, err := uploadTo(n.front(), id, inChunks, duration)
	if err != nil {
		s.record.count("uploads without an answer")
		s.record.add("upload %s to %s: %v", id, n.name, err)
		return
	}
	s.record.count(fmt.Sprintf("uploads answered %d", status))
	s.record.add("upload %s to %s: %d", id, n.name, status)
}

func uploadTo(address, id string, inChunks bool, duration time.Duration) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	head := "POST /scan/" + id + " HTTP/1.1\r\nHost: labels.example\r\nX-Kestrelspread-Request-Id: " + id +
		"\r\nX-Kestrelspread-Deadline-Ms: 20000\r\n"
	before, after, end := "", "", ""
	piece := bytes.Repeat([]byte("s"), uploadBytes/steps)
	if inChunks {
		before, after, end = fmt.Sprintf("%x\r\n", len(piece)), "\r\n", "0\r\n\r\n"
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadBytes)
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	for range steps {
		if _, err := fmt.Fprintf(conn, "%s%s%s", before, piece, after); err != nil {
			return 0, err
		}
		time.Sleep(duration / steps)
	}
	if _, err := io.WriteString(conn, end); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// memoryWatch is the platform's watch over memory: a process that exceeds its limit is killed, and started again after a short delay.
type memoryWatch struct {
	record *record
	peaks  map[string]int // by machine, MB
	ends   map[string]int
}

// watch looks at all processes until done is closed. It runs on the main thread, which starts processes.
func (w *memoryWatch) watch(f *fleet, done <-chan struct{}) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
		for _, n := range f.nodes {
			resident := n.residentMB()
			w.peaks[n.name] = max(w.peaks[n.name], resident)
			if resident <= memoryLimitMB {
				continue
			}
			w.ends[n.name]++
			w.record.say("%s has %d MB, over its limit of %d: the platform kills it", n.name, resident, memoryLimitMB)
			n.signal(syscall.SIGKILL, true)
			n.wait()
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				return err
			}
		}
	}
}

// residentMB is the resident memory of a machine's process.
func (n *node) residentMB() int {
	n.mutex.Lock()
	pid := n.command.Process.Pid
	n.mutex.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// judgeEnds counts the ends of processes.
func (s *scene) judgeEnds(w *memoryWatch, c *clients, seen *arrivals) int {
	ends := 0
	for _, count := range w.ends {
		ends += count
	}
	sent, lost := c.byID(), 0
	for _, one := range seen.snapshot() {
		if request, known := sent[one.id]; known && !one.ranAt.IsZero() && request.status == 0 {
			lost++
		}
	}
	s.record.say("highest memory by machine, MB: %v", w.peaks)
	s.record.say("%v", s.record.numbers)
	s.record.say("processes ended over memory: %d, on %d machines; label requests that ran and whose clients got no answer: %d", ends, len(w.ends), lost)
	if ends >= 3 && len(w.ends) >= 2 {
		return broken
	}
	return held
}
