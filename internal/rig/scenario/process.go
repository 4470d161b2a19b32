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

// process is a broker.
type process struct {
	w      *world
	name   string
	site   int
	at     int
	dir    string
	agent  *agent
	cmd    *exec.Cmd
	listen string
	log    *os.File
	lock   sync.Mutex
	up     bool
	woke   time.Time         // when it last went on after it was stopped
	via    map[string]string // where it finds each of the others to talk to
	owner  map[string]any    // its part of the fleet's work
}

func (b *process) config() []byte {
	w := b.w
	type m = map[string]any
	var classes []m
	var need, floor, worth []float64
	longest := 0.0
	for _, t := range w.Types {
		effect := "repeatable"
		if t.Effect != "idempotent" {
			effect = "once"
		}
		classes = append(classes, m{"name": t.Name, "aim-ms": t.Target, "deadline-ms": t.Timeout, "effect": effect, "importance": t.Value, "late-value": *t.Late})
		need, floor, worth = append(need, 1), append(floor, *t.Floor), append(worth, *t.Floor)
		longest = max(longest, t.Timeout)
	}
	var sites []string
	for _, s := range w.Sites {
		sites = append(sites, s.Name)
	}
	safety := m{"drain-grace-ms": 500, "answer-slack-ms": 20}
	if k := w.Kind(); k.ColdFor > 0 {
		safety["cold-from"], safety["cold-ms"], safety["tip-multiple"], safety["tip-after-ms"] = k.ColdFrom, k.ColdFor, k.Multiple, k.Over
	}
	settings := m{"balancers": len(w.brokers), "zone": b.site, "localities": sites, "classes": classes, "discovery": "push",
		"family-info": m{"places": w.Places, "span": w.Copies, "batch": 4, "slabs": w.Places, "class-need": need, "class-floor": floor, "incomplete-worth": worth},
		"limits": m{"attempts-cap": 4, "cancel": true, "parallel-tries": true, "connect-timeout-ms": 250, "conn-idle-ms": 30000, "streams-per-conn": 100,
			"most-held": 5000, "may-probe": true, "retry-after": true, "max-retry-after-ms": 1000},
		"safety": safety, "report": m{"fields": []string{"active"}, "via": "probe"}}
	listen := b.listen
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	text, _ := json.Marshal(m{"name": b.name, "listen": listen, "discovery": b.agent.addr(), "seed": fmt.Sprintf("%016x", w.rng.Uint64()),
		"limits": m{"cores": 1, "memory_mb": 64, "sockets": 1024}, "known": json.RawMessage(b.agent.known()), "settings": settings})
	return text
}

// start begins the process and waits until it serves.
func (b *process) start() error {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.w.lock.Lock()
	text := b.config()
	b.w.lock.Unlock()
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
	args := b.w.opt.Program[1:]
	operator := map[string]any{}
	maps.Copy(operator, b.w.Operator)
	if b.w.Talk {
		if operator["sites"] == nil {
			operator["sites"] = map[string]any{}
		}
		operator["talk"] = map[string]any{"listen": b.w.talker(b.at), "join": []string{b.w.talker(0), b.w.talker(len(b.w.brokers) - 1)}, "via": b.via}
	}
	if b.owner != nil {
		operator["owner"] = b.owner
	}
	if operator["sites"] != nil && b.w.opt.Policy == "planned" { // the file has the last word
		operator["sites"] = map[string]any{"borne": true}
	}
	if p := b.w.opt.Policy; len(operator) > 0 && (p == "" || p == "sighted" || p == "planned") { // baselines know none of it
		file := filepath.Join(b.dir, b.name+"-operator.json")
		text, _ := json.Marshal(operator)
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		args = append(args[:len(args):len(args)], "--operator", file)
	}
	if b.w.opt.Policy != "" {
		args = append(args[:len(args):len(args)], "--policy", b.w.opt.Policy)
	}
	b.cmd = exec.Command(b.w.opt.Program[0], args...)
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	b.cmd.Stderr = b.log
	from, _ := b.log.Seek(0, 2)
	if err := b.cmd.Start(); err != nil {
		return err
	}
	for range 1000 {
		text, _ := os.ReadFile(b.log.Name())
		for line := range strings.Lines(string(text[min(int(from), len(text)):])) {
			var said struct{ Listen, Message string }
			if json.Unmarshal([]byte(line), &said) == nil && said.Message == "serving" {
				b.listen, b.up = said.Listen, true
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s does not come up: see %s", b.name, b.log.Name())
}

func (b *process) startAgain() {
	b.w.asked.Add(1)
	go func() {
		defer b.w.asked.Done()
		if err := b.start(); err != nil {
			b.w.opt.Say("%v", err)
		}
	}()
}

// afterMs does something in a while, unless the run is over by then.
func (w *world) afterMs(ms float64, do func()) {
	w.asked.Add(1)
	time.AfterFunc(time.Duration(ms*1e6), func() {
		defer w.asked.Done()
		do()
	})
}

// stood tells whether it was stopped at any time since.
func (b *process) stood(since time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.woke.After(since)
}

func (b *process) isUp() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.up
}

func (b *process) signal(s syscall.Signal) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s == syscall.SIGCONT {
		b.woke = time.Now()
	}
	if b.up {
		b.cmd.Process.Signal(s)
	}
}

func (b *process) kill() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.up {
		b.up = false
		b.cmd.Process.Kill()
		b.cmd.Wait()
	}
}

// end stops it as at the end of a run.
func (b *process) end() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.up {
		b.up = false
		b.cmd.Process.Signal(syscall.SIGCONT)
		b.cmd.Process.Kill()
		b.cmd.Wait()
	}
	if b.log != nil {
		b.log.Close()
	}
}

func (b *process) hurt(l Fault) (undo func(), err error) {
	switch l.Do {
	case "kill":
		b.kill()
		return b.startAgain, nil
	case "stop":
		b.lock.Lock()
		defer b.lock.Unlock()
		if !b.up {
			return nil, errors.New("it is not up")
		}
		p := b.cmd.Process
		p.Signal(syscall.SIGSTOP)
		return func() {
			b.lock.Lock()
			defer b.lock.Unlock()
			b.woke = time.Now()
			p.Signal(syscall.SIGCONT)
		}, nil
	}
	return nil, fmt.Errorf("%s is nothing for a broker", l.Do)
}
