package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// brokerProcess is a broker, and its process while it runs.
type brokerProcess struct {
	run         *runner
	name        string
	site        int
	index       int
	dir         string
	agent       *agent
	command     *exec.Cmd
	listen      string
	log         *os.File
	mutex       sync.Mutex
	running     bool
	resumedAt   time.Time         // when it last continued after a stop
	gossipLinks map[string]string // addresses of its links, by gossip address of the others
	leaseConfig map[string]any    // its part of the operator's file for leases
}

// config is the configuration that the platform gives the broker. run.mutex must be held.
func (b *brokerProcess) config() []byte {
	run := b.run
	type m = map[string]any
	var classes []m
	var need, floor, incompleteValue []float64
	longest := 0.0
	for _, t := range run.Types {
		effect := "repeatable"
		if t.Effect != "idempotent" {
			effect = "once"
		}
		classes = append(classes, m{"name": t.Name, "aim-ms": t.TargetMs, "deadline-ms": t.TimeoutMs, "effect": effect, "importance": t.Value, "late-value": *t.LateValue})
		need, floor, incompleteValue = append(need, 1), append(floor, *t.MinCompleteness), append(incompleteValue, *t.MinCompleteness)
		longest = max(longest, t.TimeoutMs)
	}
	var sites []string
	for _, s := range run.Sites {
		sites = append(sites, s.Name)
	}
	safety := m{"drain-grace-ms": 500, "answer-slack-ms": 20}
	if k := run.ServerModel(); k.WarmUpMs > 0 {
		safety["cold-from"], safety["cold-ms"], safety["tip-multiple"], safety["tip-after-ms"] = k.WarmUpShare, k.WarmUpMs, k.OverloadFactor, k.OverloadWindowMs
	}
	settings := m{"balancers": len(run.brokers), "zone": b.site, "localities": sites, "classes": classes, "discovery": "push",
		"family-info": m{"places": run.ShardCount, "span": run.ReplicaCount, "batch": 4, "slabs": run.ShardCount, "class-need": need, "class-floor": floor, "incomplete-worth": incompleteValue},
		"limits": m{"attempts-cap": 4, "cancel": true, "parallel-tries": true, "connect-timeout-ms": 250, "conn-idle-ms": 30000, "streams-per-conn": 100,
			"most-held": 5000, "may-probe": true, "retry-after": true, "max-retry-after-ms": 1000},
		"safety": safety, "report": m{"fields": []string{"active"}, "via": "probe"}}
	listen := b.listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	text, _ := json.Marshal(m{"name": b.name, "listen": listen, "discovery": b.agent.addr(), "seed": fmt.Sprintf("%016x", run.random.Uint64()),
		"limits": m{"cores": 1, "memory_mb": 64, "sockets": 1024}, "known": json.RawMessage(b.agent.knownList()), "settings": settings})
	return text
}

// start starts the process and waits until it serves.
func (b *brokerProcess) start() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.run.mutex.Lock()
	config := b.config()
	b.run.mutex.Unlock()
	if b.log == nil {
		var err error
		if b.log, err = os.OpenFile(filepath.Join(b.dir, b.name+".log"), os.O_CREATE|os.O_TRUNC|os.O_RDWR|os.O_APPEND, 0o600); err != nil {
			return err
		}
	}
	configPath := filepath.Join(b.dir, b.name+".json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return err
	}
	arguments, err := b.arguments()
	if err != nil {
		return err
	}
	b.command = exec.Command(b.run.options.Program[0], arguments...)
	b.command.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	b.command.Stderr = b.log
	logOffset, _ := b.log.Seek(0, io.SeekEnd)
	if err := b.command.Start(); err != nil {
		return err
	}
	return b.awaitServing(int(logOffset))
}

// arguments are the arguments of the program. They name the operator's file, if the policy reads it.
func (b *brokerProcess) arguments() ([]string, error) {
	policy := b.run.options.Policy
	arguments := slices.Clone(b.run.options.Program[1:])
	readsOperator := policy == "" || policy == "sighted" || policy == "planned" // baselines don't
	if operator := b.operatorFile(); len(operator) > 0 && readsOperator {
		path := filepath.Join(b.dir, b.name+"-operator.json")
		text, _ := json.Marshal(operator)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
		arguments = append(arguments, "--operator", path)
	}
	if policy != "" {
		arguments = append(arguments, "--policy", policy)
	}
	return arguments, nil
}

// operatorFile is the content of the operator's file: that of the scenario, with the broker's parts for gossip and leases.
func (b *brokerProcess) operatorFile() map[string]any {
	run := b.run
	operator := map[string]any{}
	maps.Copy(operator, run.Operator)
	if run.Gossip {
		if operator["sites"] == nil {
			operator["sites"] = map[string]any{}
		}
		operator["talk"] = map[string]any{
			"listen": run.gossipAddress(b.index),
			"join":   []string{run.gossipAddress(0), run.gossipAddress(len(run.brokers) - 1)},
			"via":    b.gossipLinks,
		}
	}
	if b.leaseConfig != nil {
		operator["owner"] = b.leaseConfig
	}
	if operator["sites"] != nil && run.options.Policy == "planned" { // the file takes precedence over the policy
		operator["sites"] = map[string]any{"borne": true}
	}
	return operator
}

const (
	maxServingPolls     = 1000
	servingPollInterval = 10 * time.Millisecond
)

// awaitServing waits for the log line that says that the broker serves, and takes its address from it. b.mutex must be held.
func (b *brokerProcess) awaitServing(logOffset int) error {
	for range maxServingPolls {
		text, _ := os.ReadFile(b.log.Name())
		for line := range strings.Lines(string(text[min(logOffset, len(text)):])) {
			var entry struct{ Listen, Message string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "serving" {
				b.listen, b.running = entry.Listen, true
				return nil
			}
		}
		time.Sleep(servingPollInterval)
	}
	return fmt.Errorf("%s does not come up: see %s", b.name, b.log.Name())
}

// restart starts the process again, in the background.
func (b *brokerProcess) restart() {
	b.run.tasks.Add(1)
	go func() {
		defer b.run.tasks.Done()
		if err := b.start(); err != nil {
			b.run.options.Printf("%v", err)
		}
	}()
}

// afterMs runs a function after a delay. The run waits for it at its end.
func (run *runner) afterMs(ms float64, do func()) {
	run.tasks.Add(1)
	time.AfterFunc(time.Duration(ms*1e6), func() {
		defer run.tasks.Done()
		do()
	})
}

// wasStoppedSince reports whether the process has continued after a stop since.
func (b *brokerProcess) wasStoppedSince(since time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.resumedAt.After(since)
}

// isRunning reports whether the process has been started and not ended; it may be stopped.
func (b *brokerProcess) isRunning() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.running
}

// signal sends a signal to the process, if it runs.
func (b *brokerProcess) signal(s syscall.Signal) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if s == syscall.SIGCONT {
		b.resumedAt = time.Now()
	}
	if b.running {
		b.command.Process.Signal(s)
	}
}

// kill ends the process at once.
func (b *brokerProcess) kill() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.running {
		b.running = false
		b.command.Process.Kill()
		b.command.Wait()
	}
}

// shutDown ends the process and closes the log, at the end of a run.
func (b *brokerProcess) shutDown() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.running {
		b.running = false
		b.command.Process.Signal(syscall.SIGCONT)
		b.command.Process.Kill()
		b.command.Wait()
	}
	if b.log != nil {
		b.log.Close()
	}
}

// injectFault kills or stops the process.
func (b *brokerProcess) injectFault(l Fault) (remove func(), err error) {
	switch l.Action {
	case "kill":
		b.kill()
		return b.restart, nil
	case "stop":
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if !b.running {
			return nil, errors.New("it is not up")
		}
		p := b.command.Process
		p.Signal(syscall.SIGSTOP)
		return func() {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.resumedAt = time.Now()
			p.Signal(syscall.SIGCONT)
		}, nil
	}
	return nil, fmt.Errorf("%s is nothing for a broker", l.Action)
}
