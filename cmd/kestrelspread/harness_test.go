package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kestrelspread/internal/invariant"
)

// programPath is the program under test, built by TestMain.
var programPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) (exitCode int) {
	directory, err := os.MkdirTemp("", "kestrelspread")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(directory)
	programPath = filepath.Join(directory, "kestrelspread")
	if err := buildProgram(programPath); err != nil {
		fmt.Println(err)
		return 1
	}
	return m.Run()
}

// buildProgram builds with the debug tag where the tests have it.
func buildProgram(path string) error {
	args := []string{"build", "-o", path}
	if invariant.Debug {
		args = append(args, "-tags", "debug")
	}
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}

// settingsText is a platform's settings; its keys are the users' words.
const settingsText = `{"balancers":1,"classes":[
{"aim-ms":1500,"deadline-ms":3000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"quick"},
{"aim-ms":1500,"deadline-ms":3000,"effect":"once","importance":1,"late-value":0.3,"name":"once"},
{"aim-ms":300,"deadline-ms":3000,"effect":"repeatable","importance":1,"late-value":0.1,"name":"part"}],
"family-info":{"places":2,"span":2,"batch":2,"slabs":4,"class-need":[1,1,1],"class-floor":[1,1,0.3],
"incomplete-worth":[0,0,0.9]},"discovery":"push","localities":["a"],"limits":{"attempts-cap":3,"cancel":true,
"parallel-tries":true,"connect-timeout-ms":250,"conn-idle-ms":30000,"streams-per-conn":100,"most-held":5000,
"may-probe":true,"retry-after":true,"max-retry-after-ms":500},"safety":{"answer-slack-ms":20,"drain-grace-ms":500},
"report":{"fields":["active"],"via":"probe"}}`

// process is the program, started with a configuration of its own.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	address    string
	log        *logBuffer
	configPath string
}

// startProgram starts the program with settingsText and waits until it serves. listen and discovery are
// addresses, known is the membership it begins with, sockets its limit of descriptors.
func startProgram(t *testing.T, listen, discovery, known string, sockets int, args ...string) *process {
	t.Helper()
	return startWithSettings(t, settingsText, listen, discovery, known, sockets, args...)
}

// startWithSettings is startProgram with other settings of the platform.
func startWithSettings(t *testing.T, settings, listen, discovery, known string, sockets int, args ...string) *process {
	t.Helper()
	p := &process{t: t, log: &logBuffer{}, configPath: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,`+
		`"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`, listen, discovery, sockets, known, settings)
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(programPath, args...)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.configPath)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		if t.Failed() {
			t.Log(p.log)
		}
	})
	p.waitUntil("it serves", func() bool {
		for line := range strings.Lines(p.log.String()) {
			var entry struct{ Listen string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Listen != "" {
				p.address = entry.Listen
			}
		}
		return p.address != ""
	})
	return p
}

// waitUntil waits for what must come, however slow the machine.
func (p *process) waitUntil(condition string, holds func() bool) {
	p.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatal("waited in vain until ", condition)
}

func (p *process) dial() net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(30 * time.Second))
	p.t.Cleanup(func() { c.Close() })
	return c
}

func (p *process) exchange(raw string) response {
	p.t.Helper()
	c := p.dial()
	defer c.Close()
	return send(c, raw)
}

func (p *process) expect(status int, got response) response {
	p.t.Helper()
	if got.err != nil || got.status != status {
		p.t.Fatalf("got %+v, want %d", got, status)
	}
	return got
}

// waitForCounter has the counters printed until they contain a text.
func (p *process) waitForCounter(text string) {
	p.t.Helper()
	p.waitUntil("the counters say "+text, func() bool {
		p.cmd.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(p.log.String(), text)
	})
}

// counter is the value of a counter in the last line of the log that has it.
func (p *process) counter(name string) (n int) {
	log := p.log.String()
	if at := strings.LastIndex(log, `"`+name+`":`); at >= 0 {
		fmt.Sscanf(log[at+len(name)+3:], "%d", &n)
	}
	return n
}

// suspend stops the process and waits until it stands still: the signal alone returns sooner.
func (p *process) suspend() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	var state syscall.WaitStatus
	if _, err := syscall.Wait4(p.cmd.Process.Pid, &state, syscall.WUNTRACED, nil); err != nil || !state.Stopped() {
		p.t.Fatal("it was not stopped: ", err, state)
	}
}

// closeUnread closes a connection and waits until the kernel has its bytes and its end for the process.
func (p *process) closeUnread(c net.Conn) {
	p.t.Helper()
	port := fmt.Sprintf(":%04X 08 ", c.LocalAddr().(*net.TCPAddr).Port) // its far end, in CLOSE_WAIT
	c.Close()
	p.waitUntil("the end has come in", func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			p.t.Fatal(err)
		}
		return strings.Contains(string(table), port)
	})
}

// logBuffer collects a log. It has no ReadFrom, as that of bytes.Buffer would write past the lock.
type logBuffer struct {
	sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.Lock()
	defer l.Unlock()
	return l.text.String()
}
