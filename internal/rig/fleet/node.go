package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"kestrelspread/internal/node/nodestatus"
)

// TroubleKind is what was done to a node.
type TroubleKind uint8

// The kinds of trouble. Stopping with SIGTERM is planned work.
const (
	Killed TroubleKind = iota
	Frozen
	Stopped
)

// Trouble is a span in which a node was in trouble, to its next start or thaw; a zero Until: it still is.
type Trouble struct {
	Node  string
	Kind  TroubleKind
	From  time.Time
	Until time.Time
}

// Node is one machine of the fleet with its node process.
type Node struct {
	Name    string
	Zone    string
	HasDisk bool
	ip      string
	fleet   *Fleet
	lives   int
	log     logBuffer

	mutex    sync.Mutex
	process  *process // nil before the first start
	expected bool     // the end of the process is this package's doing
	troubles []Trouble
}

// Front is where it serves clients.
func (n *Node) Front() string { return at(n.ip, n.fleet.layout.ports.front) }

// Control is where it serves brokers and the operator.
func (n *Node) Control() string { return at(n.ip, n.fleet.layout.ports.control) }

func (n *Node) readiness() string { return at(n.ip, n.fleet.layout.ports.readiness) }

// Start starts the node's process. Its disk is as the last one left it.
func (n *Node) Start() error {
	path, err := n.fleet.writeSettings(n)
	if err != nil {
		return NotStarted.Wrap(err, "settings of %s", n.Name)
	}
	n.lives++
	environment := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KESTRELSPREAD_SETTINGS=" + path}
	started, err := n.fleet.spawner.start(n.fleet.options.Binary, []string{"run"}, environment, &n.log)
	if err != nil {
		return NotStarted.Wrap(err, "%s", n.Name)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.process, n.expected = started, false
	n.endTrouble(time.Now())
	return nil
}

// Log is the newest of what the node has written, in all its lives.
func (n *Node) Log() string { return n.log.String() }

// saveLog writes the log into the fleet's folder.
func (n *Node) saveLog() error {
	return os.WriteFile(filepath.Join(n.fleet.dir, n.Name+".log"), []byte(n.Log()), 0o600)
}

// Kill ends the node's process at once, as a loss of the machine's process does.
func (n *Node) Kill() {
	n.beginTrouble(Killed, true).kill()
}

// Terminate sends SIGTERM, and SIGKILL after the grace. killed reports whether that was needed.
func (n *Node) Terminate() (killed bool) {
	p := n.beginTrouble(Stopped, true)
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

// Freeze stops the process where it is, and returns once it stands still.
func (n *Node) Freeze() error {
	p := n.beginTrouble(Frozen, false)
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStopped()
}

// Thaw lets a frozen process go on.
func (n *Node) Thaw() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endTrouble(time.Now())
	return n.process.signal(syscall.SIGCONT)
}

func (n *Node) beginTrouble(kind TroubleKind, ends bool) *process {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.expected = n.expected || ends
	n.troubles = append(n.troubles, Trouble{Node: n.Name, Kind: kind, From: time.Now()})
	return n.process
}

func (n *Node) endTrouble(now time.Time) {
	for i := range n.troubles {
		if n.troubles[i].Until.IsZero() {
			n.troubles[i].Until = now
		}
	}
}

// Troubles lists what was done to the node.
func (n *Node) Troubles() []Trouble {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.troubles)
}

// Running reports whether the process is there, frozen or not.
func (n *Node) Running() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.process != nil && n.process.running()
}

// endedByItself says how the process ended, where that was not this package's doing.
func (n *Node) endedByItself() (string, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process == nil || n.process.running() || n.expected {
		return "", false
	}
	return fmt.Sprintf("%s ended by itself: %v; its log ends with:\n%s", n.Name, n.process.err, lastLines(n.Log(), 12)), true
}

func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// Status asks the node for its picture of the fleet.
func (n *Node) Status(ctx context.Context) (*nodestatus.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return nodestatus.Fetch(ctx, n.Control())
}
