// Package harness starts simulated servers, discovery and real brokers side by side on loopback, puts load on them and counts the outcomes.
// Brokers are processes of the running executable (its `broker` sub-command), so that their memory and CPU can be measured. Figures
// are those with simulated servers on one machine: they compare policies, and say nothing of a production system.
package harness

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

	"kestrelspread/internal/standin/fakeservers"
)

// Server is a simulated server that serves frames and gRPC.
type Server struct {
	ID     string
	Frames *fakeservers.FrameServer
	GRPC   *fakeservers.GRPCServer
}

// SetSlowdown multiplies the time of answers on both protocols; 1 is normal.
func (s *Server) SetSlowdown(factor int64) {
	s.Frames.SlowdownFactor.Store(factor)
	s.GRPC.SlowdownFactor.Store(factor)
}

// SetUnresponsive has both protocols accept requests and not answer.
func (s *Server) SetUnresponsive(on bool) {
	s.Frames.Unresponsive.Store(on)
	s.GRPC.Unresponsive.Store(on)
}

// Cluster is servers, discovery and the brokers in front of them.
type Cluster struct {
	Servers    []*Server
	Discovery  *fakeservers.Discovery
	ShardCount int
	Dir        string
	brokers    []*Broker
	cellCount  int
}

// New starts servers whose answers take a log-normal time, of a median in ms and a sigma. Cells are assigned in turn.
func New(serverCount, cellCount int, medianMs, sigma float64) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "kestrel")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Dir: dir, ShardCount: 2 * cellCount, cellCount: cellCount}
	var instances []fakeservers.Instance
	for i := range serverCount {
		f, err := fakeservers.StartFrameServer(medianMs, sigma)
		if err != nil {
			return nil, err
		}
		g, err := fakeservers.StartGRPCServer(medianMs, sigma)
		if err != nil {
			return nil, err
		}
		s := &Server{ID: fmt.Sprint("s", i), Frames: f, GRPC: g}
		c.Servers = append(c.Servers, s)
		instances = append(instances, fakeservers.Instance{ID: s.ID, Address: f.Addr().String(), Zone: "a", Cell: i % cellCount, Lifecycle: "ready", Weight: 1})
	}
	c.Discovery, err = fakeservers.StartDiscovery(instances)
	return c, err
}

// Close ends brokers, servers and discovery, and removes the directory.
func (c *Cluster) Close() {
	for _, b := range c.brokers {
		b.Stop()
	}
	for _, s := range c.Servers {
		s.Frames.Close()
		s.GRPC.Server.Stop()
	}
	c.Discovery.Close()
	os.RemoveAll(c.Dir)
}

// Broker is a broker process.
type Broker struct {
	Policy, HTTPAddress, GRPCAddress string
	PID                              int
	command                          *exec.Cmd
	log                              *logBuffer
	stopped                          bool
}

// logBuffer retains the log of a broker.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer. It is safe for concurrent use.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

// String returns what was written so far.
func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// settings are a broker's settings in the form of its platform.
func (c *Cluster) settings() string {
	return fmt.Sprintf(`{"balancers":1,"classes":[
{"aim-ms":200,"deadline-ms":1000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"quick"},
{"aim-ms":200,"deadline-ms":1000,"effect":"once","importance":1,"late-value":0.3,"name":"once"},
{"aim-ms":60000,"deadline-ms":300000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"stream"}],
"family-info":{"places":%d,"span":2,"batch":4,"slabs":%d,"class-need":[1,1,1],"class-floor":[1,1,1]},"discovery":"push",
"localities":["a"],"limits":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"connect-timeout-ms":250,
"conn-idle-ms":30000,"streams-per-conn":100,"most-held":100000,"retry-after":true,"max-retry-after-ms":500},
"safety":{"drain-grace-ms":500},"report":{"fields":["active"],"via":"none"},"zone":0}`, c.cellCount, c.ShardCount)
}

// operatorFile is the operator's file, which enables gRPC.
func (c *Cluster) operatorFile() []byte {
	ids := map[string]string{}
	for _, s := range c.Servers {
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

// StartBroker starts a broker with the module (policy "") or with a baseline policy, and waits until it serves. Without grpc it gets no
// operator's file.
func (c *Cluster) StartBroker(policy string, grpc bool) (*Broker, error) {
	b := &Broker{Policy: policy, log: &logBuffer{}}
	configPath, operatorPath, err := c.writeFiles(fmt.Sprint("b", len(c.brokers)))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := []string{"broker"}
	if grpc {
		arguments = append(arguments, "--operator", operatorPath)
	}
	if policy != "" {
		arguments = append(arguments, "--policy", policy)
	}
	b.command = exec.Command(self, arguments...)
	b.command.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	b.command.Stderr = b.log
	if err := b.command.Start(); err != nil {
		return nil, err
	}
	b.PID = b.command.Process.Pid
	c.brokers = append(c.brokers, b)
	if err := b.awaitServing(grpc); err != nil {
		return nil, err
	}
	return b, nil
}

// writeFiles writes the configuration and the operator's file of a broker.
func (c *Cluster) writeFiles(name string) (configPath, operatorPath string, err error) {
	configPath = filepath.Join(c.Dir, name+".json")
	operatorPath = filepath.Join(c.Dir, name+"-operator.json")
	config := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":2,`+
		`"memory_mb":1024,"sockets":4096},"known":%s,"settings":%s}`,
		name, c.Discovery.Addr(), `{"generation":0,"reset":true,"instances":[]}`, c.settings())
	err = errors.Join(os.WriteFile(configPath, []byte(config), 0o600), os.WriteFile(operatorPath, c.operatorFile(), 0o600))
	return configPath, operatorPath, err
}

const (
	maxServingPolls     = 500
	servingPollInterval = 10 * time.Millisecond
)

// awaitServing waits until the broker has logged its addresses and is ready.
func (b *Broker) awaitServing(grpc bool) error {
	for range maxServingPolls {
		b.readAddresses()
		if b.HTTPAddress != "" && (b.GRPCAddress != "" || !grpc) && isReady(b.HTTPAddress) {
			return nil
		}
		time.Sleep(servingPollInterval)
	}
	return fmt.Errorf("the broker does not come up: %s", b.log)
}

// readAddresses takes the addresses of the broker from its log.
func (b *Broker) readAddresses() {
	for line := range strings.Lines(b.log.String()) {
		var entry struct{ Listen, Message string }
		json.Unmarshal([]byte(line), &entry)
		switch entry.Message {
		case "serving":
			b.HTTPAddress = entry.Listen
		case "serving gRPC":
			b.GRPCAddress = entry.Listen
		}
	}
}

// isReady checks the readiness of a broker once.
func isReady(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
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

// stopTimeout is how long a broker may take to stop.
const stopTimeout = 8 * time.Second

// Stop ends a broker with SIGTERM, and after 8 s with SIGKILL. The error is that of its exit.
func (b *Broker) Stop() error {
	if b.stopped {
		return nil
	}
	b.stopped = true
	b.command.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(stopTimeout, func() { b.command.Process.Kill() })
	defer kill.Stop()
	return b.command.Wait()
}

// Log is the log so far.
func (b *Broker) Log() string { return b.log.String() }

// Decisions are the module's log lines about its decisions.
func (b *Broker) Decisions() (decisions []string) {
	for line := range strings.Lines(b.Log()) {
		var entry struct{ Kind, Message string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Kind == "decision" {
			decisions = append(decisions, entry.Message)
		}
	}
	return decisions
}

// clockTicksPerSecond is USER_HZ, the unit of CPU times in /proc on Linux.
const clockTicksPerSecond = 100

// CPUSeconds is the CPU time that the broker has used.
func (b *Broker) CPUSeconds() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.PID))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / clockTicksPerSecond
}

// MemoryKB is the resident memory of the broker, and its anonymous part, in KB.
func (b *Broker) MemoryKB() (resident, anonymous float64) { return ProcessMemoryKB(b.PID) }

// ProcessMemoryKB is the resident memory of a process, and its anonymous part, in KB; 0 if the process has ended.
func ProcessMemoryKB(pid int) (resident, anonymous float64) {
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
