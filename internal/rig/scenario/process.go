package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// brokerProcess is a broker.
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
	resumedAt   time.Time         // when it last went on after it was stopped
	gossipLinks map[string]string // where it finds each of the others to talk to
	leaseConfig map[string]any    // its part of the fleet's work
}

func (b *brokerProcess) config() []byte {
	run := b.run
	type m = map[string]any
	var classes []m
	var need, floor, worth []float64
	longest := 0.0
	for _, t := range run.Types {
		effect := "repeatable"
		if t.Effect != "idempotent" {
			effect = "once"
		}
		classes = append(classes, m{"name": t.Name, "aim-ms": t.TargetMs, "deadline-ms": t.TimeoutMs, "effect": effect, "importance": t.Value, "late-value": *t.LateValue})
		need, floor, worth = append(need, 1), append(floor, *t.MinCompleteness), append(worth, *t.MinCompleteness)
		longest = max(longest, t.TimeoutMs)
	}
	var sites []string
	for _, s := range run.Sites {
		sites = append(sites, s.Name)
	}
	safety := m{"drain-grace-ms": 500, "answer-slack-ms": 20}
	if k := run.ServerModel(); k.ColdFor > 0 {
		safety["cold-from"], safety["cold-ms"], safety["tip-multiple"], safety["tip-after-ms"] = k.ColdFrom, k.ColdFor, k.Multiple, k.Over
	}
	settings := m{"balancers": len(run.brokers), "zone": b.site, "localities": sites, "classes": classes, "discovery": "push",
		"family-info": m{"places": run.ShardCount, "span": run.ReplicaCount, "batch": 4, "slabs": run.ShardCount, "class-need": need, "class-floor": floor, "incomplete-worth": worth},
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

// start begins the process and waits until it serves.
func (b *brokerProcess) start() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.run.mutex.Lock()
	text := b.config()
	b.run.mutex.Unlock()
	path := filepath.Join(b.dir, b.name+".json")
	var err error
	if b.log == nil {
		if b.log, err = os.OpenFile(filepath.Join(b.dir, b.name+".log"), os.O_CREATE|os.O_TRUNC|os.O_RDWR|os.O_APPEND, 0o600); err != nil {
			return err
		}
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	args := b.run.options.Program[1:]
	operator := map[string]any{}
	maps.Copy(operator, b.run.Operator)
	if b.run.Gossip {
		if operator["sites"] == nil {
			operator["sites"] = map[string]any{}
		}
		operator["talk"] = map[string]any{"listen": b.run.gossipAddress(b.index), "join": []string{b.run.gossipAddress(0), b.run.gossipAddress(len(b.run.brokers) - 1)}, "via": b.gossipLinks}
	}
	if b.leaseConfig != nil {
		operator["owner"] = b.leaseConfig
	}
	if operator["sites"] != nil && b.run.options.Policy == "planned" { // the file has the last word
		operator["sites"] = map[string]any{"borne": true}
	}
	if p := b.run.options.Policy; len(operator) > 0 && (p == "" || p == "sighted" || p == "planned") { // baselines know none of it
		file := filepath.Join(b.dir, b.name+"-operator.json")
		text, _ := json.Marshal(operator)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		args = append(args[:len(args):len(args)], "--operator", file)
	}
	if b.run.options.Policy != "" {
		args = append(args[:len(args):len(args)], "--policy", b.run.options.Policy)
	}
	b.command = exec.Command(b.run.options.Program[0], args...)
	b.command.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	b.command.Stderr = b.log
	from, _ := b.log.Seek(0, 2)
	if err := b.command.Start(); err != nil {
		return err
	}
	for range 1000 {
		text, _ := os.ReadFile(b.log.Name())
		for line := range strings.Lines(string(text[min(int(from), len(text)):])) {
			var said struct{ Listen, Message string }
			if json.Unmarshal([]byte(line), &said) == nil && said.Message == "serving" {
				b.listen, b.running = said.Listen, true
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s does not come up: see %s", b.name, b.log.Name())
}

func (b *brokerProcess) restart() {
	b.run.tasks.Add(1)
	go func() {
		defer b.run.tasks.Done()
		if err := b.start(); err != nil {
			b.run.options.Printf("%v", err)
		}
	}()
}

// afterMs does something in a while, unless the run is over by then.
func (run *runner) afterMs(ms float64, do func()) {
	run.tasks.Add(1)
	time.AfterFunc(time.Duration(ms*1e6), func() {
		defer run.tasks.Done()
		do()
	})
}

// wasStoppedSince tells whether it was stopped at any time since.
func (b *brokerProcess) wasStoppedSince(since time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.resumedAt.After(since)
}

func (b *brokerProcess) isRunning() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.running
}

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

func (b *brokerProcess) kill() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.running {
		b.running = false
		b.command.Process.Kill()
		b.command.Wait()
	}
}

// shutDown stops it as at the end of a run.
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

func (b *brokerProcess) injectFault(l Fault) (undo func(), err error) {
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
