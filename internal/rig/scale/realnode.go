package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"

	"github.com/joomcode/errorx"
)

// NotStarted says that real nodes could not be started.
var NotStarted = errorx.NewNamespace("scale").NewType("not_started")

// realPorts are the same on every machine, as on a platform.
type realPorts struct{ front, readiness, control, internal int }

// realFleet is node processes on loopback, each with an address of its own.
type realFleet struct {
	dir     string
	network string // first three bytes of the addresses
	ports   realPorts
	disks   int
	nodes   []*exec.Cmd
	jobs    chan func() // run on one thread: the kernel ends the processes with the thread that started them
	done    chan struct{}
}

const (
	layoutTries  = 20
	realZones    = 3
	realRegion   = "loopback"
	realMemoryMB = 284
)

// startReal starts so many nodes, the first of them with disks.
func startReal(binary string, nodes, disks int) (*realFleet, error) {
	dir, err := os.MkdirTemp("", "kestrelscale")
	if err != nil {
		return nil, NotStarted.Wrap(err, "folder")
	}
	f := &realFleet{dir: dir, disks: disks, jobs: make(chan func()), done: make(chan struct{})}
	go f.runJobs()
	if err := f.start(binary, nodes); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *realFleet) runJobs() {
	runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
	defer close(f.done)
	for job := range f.jobs {
		job()
	}
}

func (f *realFleet) start(binary string, nodes int) error {
	if !f.layOut(nodes) {
		return NotStarted.New("no ports of 127.0.0.0/8 are free")
	}
	for i := range nodes {
		command, err := f.command(binary, i)
		if err != nil {
			return NotStarted.Wrap(err, "settings of node %d", i+1)
		}
		started := make(chan error)
		f.jobs <- func() { started <- command.Start() }
		if err := <-started; err != nil {
			return NotStarted.Wrap(err, "node %d", i+1)
		}
		f.nodes = append(f.nodes, command)
	}
	return nil
}

// close ends all processes.
func (f *realFleet) close() {
	for _, command := range f.nodes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	close(f.jobs)
	<-f.done
	_ = os.RemoveAll(f.dir)
}

// layOut picks a network and ports that are free on all its hosts.
func (f *realFleet) layOut(nodes int) bool {
	for range layoutTries {
		f.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		if f.pickPorts() && f.isFree(nodes) {
			return true
		}
	}
	return false
}

func (f *realFleet) pickPorts() bool {
	for _, port := range []*int{&f.ports.front, &f.ports.readiness, &f.ports.control, &f.ports.internal} {
		listener, err := net.Listen("tcp", f.ip(0)+":0")
		if err != nil {
			return false
		}
		defer func() { _ = listener.Close() }()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return true
}

func (f *realFleet) isFree(nodes int) bool {
	for i := range nodes {
		for _, port := range []int{f.ports.front, f.ports.readiness, f.ports.control, f.ports.internal} {
			listener, err := net.Listen("tcp", f.address(i, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *realFleet) ip(i int) string { return fmt.Sprintf("%s.%d", f.network, 1+i) }

func (f *realFleet) address(i, port int) string { return net.JoinHostPort(f.ip(i), strconv.Itoa(port)) }

// controls are the addresses that brokers and the operator call.
func (f *realFleet) controls() []string {
	var list []string
	for i := range f.nodes {
		list = append(list, f.address(i, f.ports.control))
	}
	return list
}

func realZone(i int) string { return fmt.Sprintf("zone-%d", i%realZones+1) }

func (f *realFleet) command(binary string, i int) (*exec.Cmd, error) {
	folder := filepath.Join(f.dir, strconv.Itoa(i))
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return nil, err
	}
	text, err := json.Marshal(f.settings(i, filepath.Join(folder, "data")))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	command := exec.Command(binary, "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KESTRELSPREAD_SETTINGS=" + path}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command, nil
}

// settings of a node, as DEPLOY.md, "Settings of a process", words them.
func (f *realFleet) settings(i int, dataDir string) map[string]any {
	zones := map[string]string{}
	for zone := range realZones {
		zones[realZone(zone)] = realRegion
	}
	var seeds []string
	for seed := range min(seedMachines, f.disks) {
		seeds = append(seeds, f.address(seed, f.ports.control))
	}
	limits := map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": realMemoryMB, "maxFds": 4100, "linkMbps": 1000}
	settings := map[string]any{
		"nodeName": fmt.Sprintf("front-%d", i+1), "role": "node", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": f.ip(i), "zone": realZone(i), "region": realRegion, "zones": zones,
		"listen": map[string]string{
			"front": f.address(i, f.ports.front), "readiness": f.address(i, f.ports.readiness), "control": f.address(i, f.ports.control),
		},
		"portRange": []int{f.ports.internal, f.ports.internal}, "seeds": seeds, "bootstrap": true, "countsForQuorum": i < f.disks,
		"limits": limits, "heartbeatMs": Heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
		"faultTolerance": map[string]int{"machines": 1},
		"bounds": map[string]any{
			"globalRevocation": true, "revokeMs": 5000, "retryBudgetRatio": retryRatio, "budgetWindowS": retryWindow.Seconds(),
			"retryBudgetSlack": retrySlack, "fencing": true, "leaseMs": lease.Milliseconds(), "thawMs": thaw.Milliseconds(),
			"versionMs": versionWithin.Milliseconds(), "graceS": 6,
		},
	}
	if i < f.disks {
		settings["dataDir"], limits["diskMb"] = dataDir, 16
	}
	return settings
}
