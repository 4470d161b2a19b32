package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kestrelspread/internal/must"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "kestrelspread")
	if err == nil {
		program = filepath.Join(dir, "kestrelspread")
		args := []string{"build", "-o", program}
		if must.Debug {
			args = append(args, "-tags", "debug")
		}
		var out []byte
		if out, err = exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	code := 1
	if err != nil {
		fmt.Println(err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

const settingsText = `{"balancers":1,"classes":[
{"aim-ms":1500,"deadline-ms":3000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"quick"},
{"aim-ms":1500,"deadline-ms":3000,"effect":"once","importance":1,"late-value":0.3,"name":"once"},
{"aim-ms":300,"deadline-ms":3000,"effect":"repeatable","importance":1,"late-value":0.1,"name":"part"}],
"family-info":{"places":2,"span":2,"batch":2,"slabs":4,"class-need":[1,1,1],"class-floor":[1,1,0.3],
"incomplete-worth":[0,0,0.9]},"discovery":"push","localities":["a"],"limits":{"attempts-cap":3,"cancel":true,
"parallel-tries":true,"connect-timeout-ms":250,"conn-idle-ms":30000,"streams-per-conn":100,"most-held":5000,
"may-probe":true,"retry-after":true,"max-retry-after-ms":500},"safety":{"answer-slack-ms":20,"drain-grace-ms":500},
"report":{"fields":["active"],"via":"probe"}}`

// node is a small stand-in for a server; what it does with a part is settable while it runs.
type node struct {
	net.Listener
	sync.Mutex
	how   string // OK, ERROR, REJECTED, hang, reset, or a shard that hangs
	calls int
	gave  []string // ids called off
	conns []net.Conn
}

func startNode(t *testing.T) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{Listener: l, how: "OK"}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.Lock()
			n.conns = append(n.conns, c)
			n.Unlock()
			go n.serve(c)
		}
	}()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.Close()
	n.Lock()
	defer n.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
}

func (n *node) set(how string) {
	n.Lock()
	defer n.Unlock()
	n.how = how
}

func frameOf(letter byte, rest string) []byte {
	return append(append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(rest))), letter), rest...)
}

func (n *node) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		var size uint32
		if binary.Read(r, binary.LittleEndian, &size) != nil {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		n.Lock()
		how := n.how
		switch frame[0] {
		case 'A':
			n.gave = append(n.gave, string(frame[1:]))
		case 'G', 'T':
			c.Write(frameOf(frame[0], "inflight=0"))
		case 'R':
			n.calls++
			if how == "reset" {
				n.Unlock()
				return
			}
			for rest := string(frame[1:]); rest != ""; {
				line, after, _ := strings.Cut(rest, "\n")
				var id string
				var shard, wait, length int
				fmt.Sscanf(line, "%s %d d=%d %d", &id, &shard, &wait, &length)
				if rest = after[length:]; how == "hang" || how == fmt.Sprint(shard) {
					continue
				}
				end := how
				if end != "ERROR" && end != "REJECTED" {
					end = "OK"
				}
				c.Write(frameOf('Y', fmt.Sprintf("%s %s 5 -\n\"%s\\%d", id, end, after[:length], shard)))
			}
		}
		n.Unlock()
	}
}

// lister is a stand-in for discovery.
type lister struct {
	*http.Server
	at    string
	lines chan string
}

func startLister(t *testing.T, at string) *lister {
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	d := &lister{at: l.Addr().String(), lines: make(chan string, 16)}
	d.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/endpoints" || r.URL.Query().Get("watch") != "1" {
			w.WriteHeader(404)
			return
		}
		flusher := w.(http.Flusher)
		io.WriteString(w, "\n")
		for flusher.Flush(); ; flusher.Flush() {
			select {
			case line := <-d.lines:
				io.WriteString(w, line+"\n")
			case <-time.After(time.Second):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	})}
	go d.Serve(l)
	t.Cleanup(func() { d.Server.Close() })
	return d
}

func listOf(version int, whole bool, state string, nodes ...*node) string {
	var entries []string
	for i, n := range nodes {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":%q,`+
			`"weight":1.0,"startedAtMs":0}`, i, n.Addr(), i, state))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, whole, strings.Join(entries, ","))
}

// broker is the program, started.
type running struct {
	t    *testing.T
	cmd  *exec.Cmd
	at   string
	log  *logged
	conf string
}

// logged has no ReadFrom of the buffer's: that would write past the lock.
type logged struct {
	sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.text.Write(b)
}

func (l *logged) String() string {
	l.Lock()
	defer l.Unlock()
	return l.text.String()
}

func start(t *testing.T, listen, discovery, known string, sockets int, args ...string) *running {
	return startSet(t, settingsText, listen, discovery, known, sockets, args...)
}

func startSet(t *testing.T, set, listen, discovery, known string, sockets int, args ...string) *running {
	b := &running{t: t, log: &logged{}, conf: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,`+
		`"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`, listen, discovery, sockets, known, set)
	if err := os.WriteFile(b.conf, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.cmd = exec.Command(program, args...)
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+b.conf)
	b.cmd.Stderr = b.log
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.cmd.Process.Kill()
		b.cmd.Wait()
		if t.Failed() {
			t.Log(b.log)
		}
	})
	b.until("it serves", func() bool {
		for line := range strings.Lines(b.log.String()) {
			var said struct{ Listen string }
			if json.Unmarshal([]byte(line), &said) == nil && said.Listen != "" {
				b.at = said.Listen
			}
		}
		return b.at != ""
	})
	return b
}

// until waits for what must come, however slow the machine.
func (b *running) until(what string, is func() bool) {
	b.t.Helper()
	for range 3000 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("waited in vain until ", what)
}

func body(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	return fmt.Sprintf(`{"segments":[%s],"text":"c4"}`, strings.Join(parts, ","))
}

var ids struct {
	sync.Mutex
	n int
}

func request(kind string, budget int, body string) string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nx-call-ID: q%d\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", ids.n, kind, budget, len(body), body)
}

type reply struct {
	status int
	head   http.Header
	body   string
	last   bool
	err    error
}

// send writes raw bytes on a connection and reads one response.
func send(c net.Conn, raw string) (r reply) {
	if _, r.err = io.WriteString(c, raw); r.err != nil {
		return r
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header, string(text), res.Close, err}
}

func (b *running) dial() net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", b.at)
	if err != nil {
		b.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(30 * time.Second))
	b.t.Cleanup(func() { c.Close() })
	return c
}

func (b *running) ask(raw string) reply {
	b.t.Helper()
	c := b.dial()
	defer c.Close()
	return send(c, raw)
}

func (b *running) want(status int, got reply) reply {
	b.t.Helper()
	if got.err != nil || got.status != status {
		b.t.Fatalf("got %+v, want %d", got, status)
	}
	return got
}

func TestSearchesEnd(t *testing.T) {
	a, z := startNode(t), startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a, z), 1024)
	b.want(200, b.ask("GET /ready HTTP/1.1\r\n\r\n"))
	whole := `{"all_in":true,"matches":[{"segment":0,"payload":"\"c4\\0"},{"segment":1,"payload":"\"c4\\1"}]}`
	if got := b.want(200, b.ask(request("quick", 2000, body(0, 1)))); got.body != whole {
		t.Error(got.body)
	}
	a.set("1")
	z.set("1")
	some := `{"all_in":false,"matches":[{"segment":0,"payload":"\"c4\\0"}]}`
	if got := b.want(200, b.ask(request("part", 2500, body(0, 1)))); got.body != some {
		t.Error(got.body)
	}
	a.set("hang")
	z.set("hang")
	began := time.Now()
	b.want(500, b.ask(request("once", 400, body(0))))
	if got := b.want(503, b.ask(request("quick", 400, body(0)))); got.head.Get("Retry-After") == "" {
		t.Error("shed without a time to come back")
	}
	if took := time.Since(began); took > 25*time.Second {
		t.Error(took)
	}
	b.until("all is called off", func() bool {
		a.Lock()
		defer a.Unlock()
		z.Lock()
		defer z.Unlock()
		return len(a.gave)+len(z.gave) >= 3
	})
}

func TestServersThatFail(t *testing.T) {
	for _, how := range []string{"hang", "reset", "ERROR", "REJECTED", "refuse"} {
		t.Run(how, func(t *testing.T) {
			a, z := startNode(t), startNode(t)
			d := startLister(t, "127.0.0.1:0")
			b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a, z), 1024)
			if a.set(how); how == "refuse" {
				a.stop()
			}
			for range 4 {
				b.want(200, b.ask(request("quick", 2900, body(0, 1, 2))))
			}
		})
	}
}

func TestDiscoveryIsLostAndBack(t *testing.T) {
	a, z := startNode(t), startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(0, true, "ready"), 1024)
	b.want(503, b.ask("GET /ready HTTP/1.1\r\n\r\n"))
	ready := func(status int) {
		b.t.Helper()
		b.until(fmt.Sprint("ready is ", status), func() bool { return b.ask("GET /ready HTTP/1.1\r\n\r\n").status == status })
	}
	d.lines <- listOf(4, true, "ready", a)
	ready(200)
	d.lines <- "{broken"
	b.until("the broken line is told of", func() bool { return strings.Contains(b.log.String(), "not understood") })
	b.want(200, b.ask(request("quick", 2900, body(1))))
	d.Server.Close()
	d = startLister(t, d.at)
	d.lines <- listOf(5, false, "gone", a)
	ready(503)
	d.lines <- listOf(6, true, "ready", z)
	ready(200)
	a.stop()
	b.want(200, b.ask(request("quick", 2900, body(1))))
	d.Server.Close()
	b.want(200, b.ask(request("quick", 2900, body(0))))
}

func TestConfigurationIsReadAgain(t *testing.T) {
	a, z := startNode(t), startNode(t)
	first, second := startLister(t, "127.0.0.1:0"), startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", first.at, listOf(40, true, "ready", a), 1024)
	text, err := os.ReadFile(b.conf)
	if err != nil {
		t.Fatal(err)
	}
	again := func(text, want string) {
		t.Helper()
		if err := os.WriteFile(b.conf, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		b.cmd.Process.Signal(syscall.SIGHUP)
		b.until(want, func() bool { return strings.Contains(b.log.String(), want) })
	}
	again(string(text[:len(text)/2]), "configuration not taken over")
	again(strings.Replace(string(text), `"classes"`, `"sorts"`, 1), "settings: no classes")
	b.want(200, b.ask(request("quick", 2900, body(0))))
	moved := strings.Replace(string(text), first.at, second.at, 1)
	moved = strings.Replace(moved, `"sockets":1024`, `"sockets":512`, 1)
	again(moved, `"need_restart":["limits"]`)
	second.lines <- listOf(2, true, "ready", z)
	b.until("the new address is heard", func() bool { return strings.Contains(b.log.String(), "version 2 after 40") })
	first.Server.Close()
	a.stop()
	b.want(200, b.ask(request("quick", 2900, body(0, 1))))
	z.Lock()
	if z.calls == 0 {
		t.Error("the new list is not used")
	}
	z.Unlock()
	b.cmd.Process.Signal(syscall.SIGHUP) // as it is: nothing moves
	b.cmd.Process.Signal(syscall.SIGTERM)
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if !strings.Contains(b.log.String(), `"moves":1`) {
		t.Error("not one move")
	}
}

func TestStopsAfterAllIsAnswered(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	idle, kept := b.dial(), b.dial()
	b.want(200, send(kept, request("quick", 2900, body(0))))
	a.set("0")
	held := b.dial()
	got := make(chan reply)
	go func() { got <- send(held, request("once", 1500, body(0))) }()
	b.until("the search is out", func() bool { a.Lock(); defer a.Unlock(); return a.calls == 2 })
	if err := b.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	b.until("it says so", func() bool { return strings.Contains(b.log.String(), "stopping") })
	if r := b.want(200, send(kept, request("quick", 2900, body(1)))); r.last {
		t.Error("an answer while it stops ends its connection: its client may find nobody else")
	}
	if n, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Error("an idle connection ended with ", n, err)
	}
	idle.Close()
	kept.Close()
	b.want(500, <-got)
	held.Close()
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
	for _, want := range []string{`"searches":3`, `"whole":2`, `"errored":1`, `"must_broken":0`, `"log_dropped":0`} {
		if !strings.Contains(b.log.String(), want) {
			t.Error("the counters at the end lack ", want)
		}
	}
}

func TestStopUnderLoadLosesNothing(t *testing.T) {
	a, z := startNode(t), startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a, z), 1024)
	var wait sync.WaitGroup
	answers := make([]int, 20)
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				c, err := net.Dial("tcp", b.at)
				if err != nil {
					return // the address is closed
				}
				c.SetDeadline(time.Now().Add(30 * time.Second))
				for last := false; !last; {
					got := send(c, request("quick", 2900, body(i%4)))
					if got.status > 0 && got.err != nil {
						t.Errorf("an answer broke off: %+v", got)
					}
					if got.status == 0 {
						break // the end of the connection crossed the request, which is asked again
					}
					answers[i]++
					last = got.last
				}
				c.Close()
			}
		}()
	}
	b.until("there is load", func() bool { a.Lock(); defer a.Unlock(); return a.calls > 50 })
	b.cmd.Process.Signal(syscall.SIGTERM)
	wait.Wait()
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
	sum := 0
	for _, n := range answers {
		sum += n
	}
	if want := fmt.Sprintf(`"searches":%d,`, sum); !strings.Contains(b.log.String(), want) || sum < 50 {
		t.Errorf("%d answers arrived; the counters do not say %s", sum, want)
	}
}

func TestKilledAndStartedAgain(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	known := listOf(1, true, "ready", a)
	b := start(t, "127.0.0.1:0", d.at, known, 1024)
	open := b.dial()
	b.want(200, send(open, request("quick", 2900, body(0))))
	b.cmd.Process.Kill()
	b.cmd.Wait()
	again := start(t, b.at, d.at, known, 1024)
	again.want(200, again.ask(request("quick", 2900, body(0))))
	if again.at != b.at {
		t.Error(again.at)
	}
}

func TestFewDescriptors(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 120)
	for range 60 {
		b.dial() // and says nothing
	}
	a.set("hang")
	var wait sync.WaitGroup
	answers := make([]reply, 100)
	for i := range answers {
		c := b.dial()
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = send(c, request("once", 3000, body(0)))
			c.Close()
		}()
	}
	wait.Wait()
	for _, r := range answers {
		if r.err != nil || r.status < 500 {
			t.Fatalf("%+v: a search is lost", r)
		}
	}
	a.set("OK")
	b.until("it serves again", func() bool { return b.ask(request("quick", 2900, body(0))).status == 200 })
	b.cmd.Process.Signal(syscall.SIGUSR1)
	b.until("the counters are printed", func() bool { return strings.Contains(b.log.String(), `"message":"rest"`) })
	if strings.Contains(b.log.String(), `"gave_way":0,`) {
		t.Error("no idle connection gave way")
	}
}

func TestSearchThatWaitedThroughAStallIsAsOldAsItIs(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	c := b.dial()
	for try := 0; ; try++ { // the kernel begins to stamp what comes a little after it was first asked to
		b.cmd.Process.Signal(syscall.SIGSTOP)
		if _, err := io.WriteString(c, request("quick", 300, body(0))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		b.cmd.Process.Signal(syscall.SIGCONT)
		if got := send(c, ""); got.status == 503 {
			break
		} else if try == 20 {
			t.Fatalf("%+v to a client whose time was up", got)
		}
	}
	a.Lock()
	calls := a.calls
	a.Unlock()
	b.want(200, send(c, request("quick", 2900, body(0))))
	if a.Lock(); a.calls != calls+1 {
		t.Error("parts were sent for a client whose time was up")
	}
	a.Unlock()
}

func TestLogThatNobodyReadsHoldsNothingUp(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	mute := exec.Command(program)
	mute.Env = append(os.Environ(), "RELAY_CONFIG="+b.conf)
	mute.Stderr = w
	if err := mute.Start(); err != nil {
		t.Fatal(err)
	}
	defer mute.Process.Kill()
	w.Close()
	line, err := bufio.NewReaderSize(r, 16).ReadString('\n') // and no more
	var said struct{ Listen string }
	if err != nil || json.Unmarshal([]byte(line), &said) != nil {
		t.Fatal(line, err)
	}
	b.at = said.Listen
	for range 300 { // four lines each: far more than a pipe holds
		mute.Process.Signal(syscall.SIGUSR1)
		b.want(200, b.ask("GET /ready HTTP/1.1\r\n\r\n"))
	}
	b.want(200, b.ask(request("quick", 2900, body(0))))
	mute.Process.Signal(syscall.SIGTERM)
	if err := mute.Wait(); err != nil {
		t.Error(err)
	}
}

func TestBadInput(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	sound := body(0)
	head := func(id, kind, budget string) string {
		return fmt.Sprintf("POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, kind, budget, len(sound), sound)
	}
	for raw, status := range map[string]int{
		head("a b", "quick", "100"):                                              400,
		head("", "quick", "100"):                                                 400,
		head("a", "strange", "100"):                                              400,
		head("a", "quick", "0"):                                                  400,
		head("a", "quick", "-5"):                                                 400,
		head("a", "quick", "1e3"):                                                400,
		head("a", "quick", "99999999999"):                                        400,
		request("quick", 100, "{"):                                               400,
		request("quick", 100, body(4)):                                           400,
		request("quick", 100, body(0, 0)):                                        400,
		request("quick", 100, body()):                                            400,
		request("quick", 100, strings.Repeat("x", 65<<10)):                       413,
		"POST /api HTTP/1.1\r\n\r\n":                                             411,
		"GET /api HTTP/1.1\r\n\r\n":                                              405,
		"GET /other HTTP/1.1\r\n\r\n":                                            404,
		"\x16\x03\x01 TLS\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000):                      431,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n":        400,
		"POST /api HTTP/1.1\r\nExpect: wonders\r\nContent-Length: 1\r\n\r\n":     417,
		"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": 400,
	} {
		if got := b.ask(raw); got.status != status {
			t.Errorf("%.90q: %+v, want %d", raw, got, status)
		}
	}
	// What is sent on behind an error is not read, and the error arrives all the same.
	hidden := "0\r\n\r\n" + request("quick", 2900, sound)
	for raw, status := range map[string]int{
		"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + strings.Repeat("x", 60000000):                               413,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\n" + strings.Repeat("x", 20000000):                  413,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden: 400,
	} {
		c, got := b.dial(), reply{}
		go io.WriteString(c, raw)
		if got = send(c, ""); got.status != status || !got.last {
			t.Errorf("%.90q: %+v, want %d", raw, got, status)
		}
		c.Close()
	}
	for _, says := range []string{"", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", "POST /api"} {
		began, c := time.Now(), b.dial()
		if got := send(c, says); says != "" && got.status != 408 || says == "" && got.err == nil {
			t.Errorf("%q: %+v", says, got)
		}
		if took := time.Since(began); took < time.Second {
			t.Errorf("%q: let go of after %v", says, took)
		}
	}
	if a.Lock(); a.calls != 0 {
		t.Error("something was sent to a server")
	}
	a.Unlock()
	c := b.dial()
	b.want(400, send(c, request("quick", 100, "{}")))
	parts := strings.SplitAfter(request("quick", 2900, sound), "\r\n\r\n")
	if got := b.want(100, send(c, strings.Replace(parts[0], "\r\n", "\r\nExpect: 100-Continue\r\n", 1))); got.body != "" {
		t.Error(got)
	}
	b.want(200, send(c, parts[1]))
	length := fmt.Sprint("Content-Length: ", len(sound))
	for _, piece := range strings.SplitAfter(strings.Replace(parts[0], length, "Transfer-Encoding: chunked", 1), "-") {
		io.WriteString(c, piece)
	}
	b.want(200, send(c, fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", sound[:5], len(sound)-5, sound[5:])))
}

func TestBadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"", "{", `{"listen":"x"}`, `{"settings":{},"listen":"127.0.0.1:0"}`,
		`{"settings":{"classes":[]},"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = []string{"RELAY_CONFIG=" + path}
		out, err := cmd.CombinedOutput()
		if _, failed := err.(*exec.ExitError); !failed || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%q: %v, %s", text, err, out)
		}
	}
}
