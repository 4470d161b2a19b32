package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"kestrelspread/internal/node/nodestatus"
)

// NodeFaultKind is the kind of an injected fault.
type NodeFaultKind uint8

// The kinds of faults. A stop with SIGTERM excuses nothing: nodes must lose no request then.
const (
	Killed NodeFaultKind = iota
	Frozen
	Stopped
)

// NodeFault is a fault of a node. It ends with the next start or thaw; EndedAt is zero before.
type NodeFault struct {
	Node      string
	Kind      NodeFaultKind
	StartedAt time.Time
	EndedAt   time.Time
}

// Node is one machine of the fleet with its node process.
type Node struct {
	Name         string
	Zone         string
	HasDisk      bool
	ipAddress    string
	index        int // in Fleet.Nodes
	fleet        *Fleet
	seeds        []string // control addresses; nil: those of the fleet
	incarnations int
	log          logBuffer

	mutex        sync.Mutex
	process      *process // nil before the first start
	exitExpected bool     // this package ended the process
	faults       []NodeFault
}

// Front is the address for clients.
func (n *Node) Front() string { return hostPort(n.ipAddress, n.fleet.layout.ports.front) }

// Control is the address for brokers and the operator.
func (n *Node) Control() string { return hostPort(n.ipAddress, n.fleet.layout.ports.control) }

// Readiness is the address for the platform's checks.
func (n *Node) Readiness() string { return hostPort(n.ipAddress, n.fleet.layout.ports.readiness) }

// SetSeeds has the node's next processes name other seeds than the rest of the fleet: the exchange of seeds for other machines that
// serve control.
func (n *Node) SetSeeds(seeds ...*Node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.seeds = nil
	for _, seed := range seeds {
		n.seeds = append(n.seeds, seed.Control())
	}
}

// seedAddresses are the seeds in the node's settings.
func (n *Node) seedAddresses() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.seeds != nil {
		return n.seeds
	}
	return n.fleet.seeds()
}

// AwaitListening waits until the process that was just started serves its control address.
func (n *Node) AwaitListening(ctx context.Context) error {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		if conn, err := net.Dial("tcp", n.Control()); err == nil {
			return conn.Close()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%s doesn't listen: %w", n.Name, ctx.Err())
		}
	}
}

// Start starts the node's process, on the disk of the previous one.
func (n *Node) Start() error {
	path, err := n.fleet.writeSettings(n)
	if err != nil {
		return fmt.Errorf("%w: settings of %s: %w", ErrNotStarted, n.Name, err)
	}
	n.incarnations++
	environment := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KESTRELSPREAD_SETTINGS=" + path}
	started, err := n.fleet.spawner.start(n.fleet.options.Binary, n.arguments(), environment, &n.log)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNotStarted, n.Name, err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process, n.exitExpected = started, false
	n.endFaults(time.Now())
	return nil
}

// arguments are the command line of the node's process.
func (n *Node) arguments() []string {
	if !n.fleet.options.Relayed {
		return []string{"run"}
	}
	return []string{"run", "--netmap", n.fleet.layout.networkMap(n.index)}
}

// DataDir is the directory that stands for the node's disk.
func (n *Node) DataDir() string { return filepath.Join(n.fleet.dir, n.Name, "data") }

// MemoryBytes is the resident memory of the node's process, and its peak so far.
func (n *Node) MemoryBytes() (resident, peak int64, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process.memory()
}

// Process is the identifier of the node's process.
func (n *Node) Process() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process.command.Process.Pid
}

// LoggedBytes is how much the node has logged, in all its incarnations.
func (n *Node) LoggedBytes() int64 { return n.log.writtenBytes() }

// Log is the newest output of the node, of all its incarnations.
func (n *Node) Log() string { return n.log.String() }

// saveLog writes the log to the fleet's directory.
func (n *Node) saveLog() error {
	return os.WriteFile(filepath.Join(n.fleet.dir, n.Name+".log"), []byte(n.Log()), 0o600)
}

// Kill ends the node's process at once, with SIGKILL.
func (n *Node) Kill() {
	n.beginFault(Killed, true).kill()
}

// Terminate sends SIGTERM, and SIGKILL after the grace. killed reports whether that was needed.
func (n *Node) Terminate() (killed bool) {
	p := n.beginFault(Stopped, true)
	_ = p.signal(syscall.SIGTERM)
	timer := time.NewTimer(n.fleet.options.Bounds.Grace)
	defer timer.Stop()
	select {
	case <-p.ended:
		return false
	case <-timer.C:
		p.kill()
		return true
	}
}

// HangUp sends SIGHUP: the settings file may have changed.
func (n *Node) HangUp() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process.signal(syscall.SIGHUP)
}

// Freeze suspends the process, and returns once it is suspended.
func (n *Node) Freeze() error {
	p := n.beginFault(Frozen, false)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStopped()
}

// Thaw resumes a frozen process.
func (n *Node) Thaw() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endFaults(time.Now())
	return n.process.signal(syscall.SIGCONT)
}

// beginFault records a fault, and returns the process to inject it into; exits says that the process is to end.
func (n *Node) beginFault(kind NodeFaultKind, exits bool) *process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.exitExpected = n.exitExpected || exits
	n.faults = append(n.faults, NodeFault{Node: n.Name, Kind: kind, StartedAt: time.Now()})
	return n.process
}

// endFaults ends the faults that last; n.mutex must be held.
func (n *Node) endFaults(now time.Time) {
	for i := range n.faults {
		if n.faults[i].EndedAt.IsZero() {
			n.faults[i].EndedAt = now
		}
	}
}

// Faults lists the faults of the node so far.
func (n *Node) Faults() []NodeFault {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.faults)
}

// Running reports whether the process exists, frozen or not.
func (n *Node) Running() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process != nil && n.process.running()
}

// unexpectedExit describes the end of the process, if this package did not end it.
func (n *Node) unexpectedExit() (string, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process == nil || n.process.running() || n.exitExpected {
		return "", false
	}
	return fmt.Sprintf("%s ended unexpectedly: %v; its log ends with:\n%s", n.Name, n.process.err, lastLines(n.Log(), 12)), true
}

// lastLines is the last count lines.
func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// Status fetches the node's view of the fleet.
func (n *Node) Status(ctx context.Context) (*nodestatus.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return nodestatus.Fetch(ctx, n.Control())
}
