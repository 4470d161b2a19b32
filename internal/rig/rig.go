// Package rig starts stand-in servers, discovery and real brokers side by side on loopback, loads them and counts what
// came of it. Brokers are processes of the running executable (its `broker` sub-command), so that what they take of
// memory and CPU is theirs alone. Figures of it are those of stand-in servers.
package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kestrelspread/internal/standin/sockets"
)

// Server is one stand-in that speaks frames and gRPC.
type Server struct {
	ID     string
	Frames *sockets.Frames
	GRPC   *sockets.GRPC
}

// Slow makes both sides slower by so many times; 1: as ever.
func (s *Server) Slow(times int64) {
	s.Frames.Times.Store(times)
	s.GRPC.Times.Store(times)
}

// Silent has both sides take what comes and say nothing.
func (s *Server) Silent(on bool) {
	s.Frames.Silent.Store(on)
	s.GRPC.Silent.Store(on)
}

// Rig is servers, discovery and the brokers in front of them.
type Rig struct {
	Servers   []*Server
	Discovery *sockets.Discovery
	Shards    int
	Dir       string
	brokers   []*Broker
	places    int
}

// New starts servers whose answers take a log-normal time round a median, in ms.
func New(servers, places int, median, spread float64) (*Rig, error) {
	dir, err := os.MkdirTemp("", "kestrel")
	if err != nil {
		return nil, err
	}
	r := &Rig{Dir: dir, Shards: 2 * places, places: places}
	var list []sockets.Instance
	for i := range servers {
		f, err := sockets.StartFrames(median, spread)
		if err != nil {
			return nil, err
		}
		g, err := sockets.StartGRPC(median, spread)
		if err != nil {
			return nil, err
		}
		s := &Server{ID: fmt.Sprint("s", i), Frames: f, GRPC: g}
		r.Servers = append(r.Servers, s)
		list = append(list, sockets.Instance{ID: s.ID, Addr: f.Addr().String(), Zone: "a", Cell: i % places, Lifecycle: "ready", Weight: 1})
	}
	r.Discovery, err = sockets.StartDiscovery(list)
	return r, err
}

// Close ends all.
func (r *Rig) Close() {
	for _, b := range r.brokers {
		b.Stop()
	}
	for _, s := range r.Servers {
		s.Frames.Close()
		s.GRPC.Server.Stop()
	}
	r.Discovery.Close()
	os.RemoveAll(r.Dir)
}

// Broker is one broker, started.
type Broker struct {
	Policy, HTTP, GRPC string
	PID                int
	cmd                *exec.Cmd
	log                *lines
	ended              bool
}

type lines struct {
	lock sync.Mutex
	b    bytes.Buffer
}

// Write implements io.Writer, for several goroutines.
func (l *lines) Write(b []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.b.Write(b)
}

// String gives what was written so far.
func (l *lines) String() string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.b.String()
}

// Settings are a broker's as its platform states them.
func (r *Rig) settings() string {
	return fmt.Sprintf(`{"balancers":1,"classes":[
{"aim-ms":200,"deadline-ms":1000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"quick"},
{"aim-ms":200,"deadline-ms":1000,"effect":"once","importance":1,"late-value":0.3,"name":"once"},
{"aim-ms":60000,"deadline-ms":300000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"stream"}],
"family-info":{"places":%d,"span":2,"batch":4,"slabs":%d,"class-need":[1,1,1],"class-floor":[1,1,1]},"discovery":"push",
"localities":["a"],"limits":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"connect-timeout-ms":250,
"conn-idle-ms":30000,"streams-per-conn":100,"most-held":100000,"retry-after":true,"max-retry-after-ms":500},
"safety":{"drain-grace-ms":500},"report":{"fields":["active"],"via":"none"},"zone":0}`, r.places, r.Shards)
}

// Operator is the file that switches gRPC on.
func (r *Rig) operator() []byte {
	ids := map[string]string{}
	for _, s := range r.Servers {
		ids[s.ID] = s.GRPC.Addr().String()
	}
	shard := map[string]any{"metadata": "x-shard"}
	b, _ := json.Marshal(map[string]any{"grpc": map[string]any{"listen": "127.0.0.1:0", "servers": map[string]any{"by-id": ids},
		"limits":   map[string]any{"calls": 20000, "calls-per-connection": 20000, "connections": 1000, "held-kb": 262144},
		"channels": map[string]any{"streams": 20000, "waiting": 20000},
		"routes": []any{
			map[string]any{"name": "quick", "match": map[string]any{"service": "demo.Quick"}, "query-type": "quick", "shard": shard,
				"timeout-ms": 1000, "commit": "end", "hold-kb": 256},
			map[string]any{"name": "once", "match": map[string]any{"service": "demo.Once"}, "query-type": "once", "shard": shard, "timeout-ms": 1000},
			map[string]any{"name": "stream", "match": map[string]any{"service": "demo.Stream"}, "query-type": "stream", "shard": shard,
				"timeout-ms": 120000, "timeout-most-ms": 300000, "commit": "headers"},
		}}})
	return b
}

// Start starts a broker with the module (policy "") or one of baseline's. grpc false: without the operator's file.
func (r *Rig) Start(policy string, grpc bool) (*Broker, error) {
	b := &Broker{Policy: policy, log: &lines{}}
	name := fmt.Sprint("b", len(r.brokers))
	conf, op := filepath.Join(r.Dir, name+".json"), filepath.Join(r.Dir, name+"-operator.json")
	text := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":2,`+
		`"memory_mb":1024,"sockets":4096},"known":%s,"settings":%s}`, name, r.Discovery.Addr(), `{"generation":0,"reset":true,"instances":[]}`, r.settings())
	if err := errors.Join(os.WriteFile(conf, []byte(text), 0o600), os.WriteFile(op, r.operator(), 0o600)); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{"broker"}
	if grpc {
		args = append(args, "--operator", op)
	}
	if policy != "" {
		args = append(args, "--policy", policy)
	}
	b.cmd = exec.Command(self, args...)
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+conf)
	b.cmd.Stderr = b.log
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	b.PID = b.cmd.Process.Pid
	r.brokers = append(r.brokers, b)
	for range 500 {
		for line := range strings.Lines(b.log.String()) {
			var said struct{ Listen, Message string }
			json.Unmarshal([]byte(line), &said)
			switch said.Message {
			case "serving":
				b.HTTP = said.Listen
			case "serving gRPC":
				b.GRPC = said.Listen
			}
		}
		if b.HTTP != "" && (b.GRPC != "" || !grpc) && ready(b.HTTP) {
			return b, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, fmt.Errorf("the broker does not come up: %s", b.log)
}

func ready(at string) bool {
	c, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	b := make([]byte, 12)
	n, _ := c.Read(b)
	return strings.HasSuffix(string(b[:n]), " 200")
}

// Stop ends a broker; an error tells that it did not end well.
func (b *Broker) Stop() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.cmd.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(8*time.Second, func() { b.cmd.Process.Kill() })
	defer late.Stop()
	return b.cmd.Wait()
}

// Log is what it has logged so far.
func (b *Broker) Log() string { return b.log.String() }

// Decisions are the module's log lines, each once.
func (b *Broker) Decisions() (list []string) {
	for line := range strings.Lines(b.Log()) {
		var said struct{ Kind, Message string }
		if json.Unmarshal([]byte(line), &said) == nil && said.Kind == "decision" {
			list = append(list, said.Message)
		}
	}
	return list
}

// CPU is the time that the broker has computed, in seconds.
func (b *Broker) CPU() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.PID))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

// Memory is what the broker holds, in KB: all that is resident, and the part that no file backs.
func (b *Broker) Memory() (resident, anonymous float64) { return MemoryOf(b.PID) }

// MemoryOf reads a process's memory in KB.
func MemoryOf(pid int) (resident, anonymous float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			resident = n
		case "RssAnon:":
			anonymous = n
		}
	}
	return resident, anonymous
}
