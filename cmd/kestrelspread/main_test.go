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

var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "kestrelspread")
	if err == nil {
		programPath = filepath.Join(dir, "kestrelspread")
		args := []string{"build", "-o", programPath}
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

// fakeServer is a small stand-in for a server; what it does with a part is settable while it runs.
type fakeServer struct {
	net.Listener
	sync.Mutex
	behaviour   string // OK, ERROR, REJECTED, hang, reset, or a shard that hangs
	calls       int
	cancelled   []string // ids called off
	connections []net.Conn
}

func startServer(t *testing.T) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fakeServer{Listener: listener, behaviour: "OK"}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			server.Lock()
			server.connections = append(server.connections, c)
			server.Unlock()
			go server.serve(c)
		}
	}()
	t.Cleanup(server.stop)
	return server
}

func (n *fakeServer) stop() {
	n.Close()
	n.Lock()
	defer n.Unlock()
	for _, c := range n.connections {
		c.Close()
	}
}

func (n *fakeServer) setBehaviour(behaviour string) {
	n.Lock()
	defer n.Unlock()
	n.behaviour = behaviour
}

func encodeFrame(kind byte, payload string) []byte {
	return append(append(binary.LittleEndian.AppendUint32(nil, uint32(1+len(payload))), kind), payload...)
}

func (n *fakeServer) serve(c net.Conn) {
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
		behaviour := n.behaviour
		switch frame[0] {
		case 'A':
			n.cancelled = append(n.cancelled, string(frame[1:]))
		case 'G', 'T':
			c.Write(encodeFrame(frame[0], "inflight=0"))
		case 'R':
			n.calls++
			if behaviour == "reset" {
				n.Unlock()
				return
			}
			for rest := string(frame[1:]); rest != ""; {
				line, after, _ := strings.Cut(rest, "\n")
				var id string
				var shard, wait, length int
				fmt.Sscanf(line, "%s %d d=%d %d", &id, &shard, &wait, &length)
				if rest = after[length:]; behaviour == "hang" || behaviour == fmt.Sprint(shard) {
					continue
				}
				end := behaviour
				if end != "ERROR" && end != "REJECTED" {
					end = "OK"
				}
				c.Write(encodeFrame('Y', fmt.Sprintf("%s %s 5 -\n\"%s\\%d", id, end, after[:length], shard)))
			}
		}
		n.Unlock()
	}
}

// fakeDiscovery is a stand-in for discovery.
type fakeDiscovery struct {
	*http.Server
	address string
	updates chan string
}

func startDiscovery(t *testing.T, address string) *fakeDiscovery {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	discovery := &fakeDiscovery{address: listener.Addr().String(), updates: make(chan string, 16)}
	discovery.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/endpoints" || r.URL.Query().Get("watch") != "1" {
			w.WriteHeader(404)
			return
		}
		flusher := w.(http.Flusher)
		io.WriteString(w, "\n")
		for flusher.Flush(); ; flusher.Flush() {
			select {
			case line := <-discovery.updates:
				io.WriteString(w, line+"\n")
			case <-time.After(time.Second):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	})}
	go discovery.Serve(listener)
	t.Cleanup(func() { discovery.Server.Close() })
	return discovery
}

func membershipUpdate(version int, reset bool, state string, servers ...*fakeServer) string {
	var entries []string
	for i, n := range servers {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","cell":%d,"lifecycle":%q,`+
			`"weight":1.0,"startedAtMs":0}`, i, n.Addr(), i, state))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, version, reset, strings.Join(entries, ","))
}

// broker is the program, started.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	address    string
	log        *logBuffer
	configPath string
}

// logBuffer has no ReadFrom of the buffer's: that would write past the lock.
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

func startProgram(t *testing.T, listen, discovery, known string, sockets int, args ...string) *process {
	return startWithSettings(t, settingsText, listen, discovery, known, sockets, args...)
}

func startWithSettings(t *testing.T, settings, listen, discovery, known string, sockets int, args ...string) *process {
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

func searchBody(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	return fmt.Sprintf(`{"segments":[%s],"text":"c4"}`, strings.Join(parts, ","))
}

var callIDs struct {
	sync.Mutex
	n int
}

func searchRequest(class string, budgetMs int, body string) string {
	callIDs.Lock()
	defer callIDs.Unlock()
	callIDs.n++
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nx-call-ID: q%d\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", callIDs.n, class, budgetMs, len(body), body)
}

type response struct {
	status int
	header http.Header
	body   string
	closes bool
	err    error
}

// send writes raw bytes on a connection and reads one response.
func send(c net.Conn, raw string) (r response) {
	if _, r.err = io.WriteString(c, raw); r.err != nil {
		return r
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	text, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(text), res.Close, err}
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

func TestSearchesReachEachResult(t *testing.T) {
	first, second := startServer(t), startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", first, second), 1024)
	p.expect(200, p.exchange("GET /ready HTTP/1.1\r\n\r\n"))
	complete := `{"all_in":true,"matches":[{"segment":0,"payload":"\"c4\\0"},{"segment":1,"payload":"\"c4\\1"}]}`
	if got := p.expect(200, p.exchange(searchRequest("quick", 2000, searchBody(0, 1)))); got.body != complete {
		t.Error(got.body)
	}
	first.setBehaviour("1")
	second.setBehaviour("1")
	partial := `{"all_in":false,"matches":[{"segment":0,"payload":"\"c4\\0"}]}`
	if got := p.expect(200, p.exchange(searchRequest("part", 2500, searchBody(0, 1)))); got.body != partial {
		t.Error(got.body)
	}
	first.setBehaviour("hang")
	second.setBehaviour("hang")
	began := time.Now()
	p.expect(500, p.exchange(searchRequest("once", 400, searchBody(0))))
	if got := p.expect(503, p.exchange(searchRequest("quick", 400, searchBody(0)))); got.header.Get("Retry-After") == "" {
		t.Error("shed without a time to come back")
	}
	if took := time.Since(began); took > 25*time.Second {
		t.Error(took)
	}
	p.waitUntil("all is called off", func() bool {
		first.Lock()
		defer first.Unlock()
		second.Lock()
		defer second.Unlock()
		return len(first.cancelled)+len(second.cancelled) >= 3
	})
}

func TestSearchSucceedsWhileOneServerFails(t *testing.T) {
	for _, how := range []string{"hang", "reset", "ERROR", "REJECTED", "refuse"} {
		t.Run(how, func(t *testing.T) {
			first, second := startServer(t), startServer(t)
			discovery := startDiscovery(t, "127.0.0.1:0")
			p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", first, second), 1024)
			if first.setBehaviour(how); how == "refuse" {
				first.stop()
			}
			for range 4 {
				p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0, 1, 2))))
			}
		})
	}
}

func TestDiscoveryIsLostAndReturns(t *testing.T) {
	first, second := startServer(t), startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(0, true, "ready"), 1024)
	p.expect(503, p.exchange("GET /ready HTTP/1.1\r\n\r\n"))
	ready := func(status int) {
		p.t.Helper()
		p.waitUntil(fmt.Sprint("ready is ", status), func() bool { return p.exchange("GET /ready HTTP/1.1\r\n\r\n").status == status })
	}
	discovery.updates <- membershipUpdate(4, true, "ready", first)
	ready(200)
	discovery.updates <- "{broken"
	p.waitUntil("the broken line is told of", func() bool { return strings.Contains(p.log.String(), "not understood") })
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(1))))
	discovery.Server.Close()
	discovery = startDiscovery(t, discovery.address)
	discovery.updates <- membershipUpdate(5, false, "gone", first)
	ready(503)
	discovery.updates <- membershipUpdate(6, true, "ready", second)
	ready(200)
	first.stop()
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(1))))
	discovery.Server.Close()
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0))))
}

func TestReloadAppliesConfiguration(t *testing.T) {
	oldServer, newServer := startServer(t), startServer(t)
	oldDiscovery, newDiscovery := startDiscovery(t, "127.0.0.1:0"), startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", oldDiscovery.address, membershipUpdate(40, true, "ready", oldServer), 1024)
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text, want string) {
		t.Helper()
		if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.waitUntil(want, func() bool { return strings.Contains(p.log.String(), want) })
	}
	reload(string(text[:len(text)/2]), "configuration not taken over")
	reload(strings.Replace(string(text), `"classes"`, `"sorts"`, 1), "settings: no classes")
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0))))
	changed := strings.Replace(string(text), oldDiscovery.address, newDiscovery.address, 1)
	changed = strings.Replace(changed, `"sockets":1024`, `"sockets":512`, 1)
	reload(changed, `"need_restart":["limits"]`)
	newDiscovery.updates <- membershipUpdate(2, true, "ready", newServer)
	p.waitUntil("the new address is heard", func() bool { return strings.Contains(p.log.String(), "version 2 after 40") })
	oldDiscovery.Server.Close()
	oldServer.stop()
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0, 1))))
	newServer.Lock()
	if newServer.calls == 0 {
		t.Error("the new list is not used")
	}
	newServer.Unlock()
	p.cmd.Process.Signal(syscall.SIGHUP) // as it is: nothing moves
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	if !strings.Contains(p.log.String(), `"moves":1`) {
		t.Error("not one move")
	}
}

func TestStopDrainsSearchesInFlight(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	idle, keepAlive := p.dial(), p.dial()
	p.expect(200, send(keepAlive, searchRequest("quick", 2900, searchBody(0))))
	server.setBehaviour("0")
	inFlight := p.dial()
	got := make(chan response)
	go func() { got <- send(inFlight, searchRequest("once", 1500, searchBody(0))) }()
	p.waitUntil("the search is out", func() bool { server.Lock(); defer server.Unlock(); return server.calls == 2 })
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.waitUntil("it says so", func() bool { return strings.Contains(p.log.String(), "stopping") })
	if r := p.expect(200, send(keepAlive, searchRequest("quick", 2900, searchBody(1)))); r.closes {
		t.Error("an answer while it stops ends its connection: its client may find nobody else")
	}
	if n, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Error("an idle connection ended with ", n, err)
	}
	idle.Close()
	keepAlive.Close()
	p.expect(500, <-got)
	inFlight.Close()
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	for _, want := range []string{`"searches":3`, `"whole":2`, `"errored":1`, `"must_broken":0`, `"log_dropped":0`} {
		if !strings.Contains(p.log.String(), want) {
			t.Error("the counters at the end lack ", want)
		}
	}
}

func TestStopUnderLoadLosesNoSearch(t *testing.T) {
	first, second := startServer(t), startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", first, second), 1024)
	var wait sync.WaitGroup
	answers := make([]int, 20)
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				c, err := net.Dial("tcp", p.address)
				if err != nil {
					return // the address is closed
				}
				c.SetDeadline(time.Now().Add(30 * time.Second))
				for last := false; !last; {
					got := send(c, searchRequest("quick", 2900, searchBody(i%4)))
					if got.status > 0 && got.err != nil {
						t.Errorf("an answer broke off: %+v", got)
					}
					if got.status == 0 {
						break // the end of the connection crossed the request, which is asked again
					}
					answers[i]++
					last = got.closes
				}
				c.Close()
			}
		}()
	}
	p.waitUntil("there is load", func() bool { first.Lock(); defer first.Unlock(); return first.calls > 50 })
	p.cmd.Process.Signal(syscall.SIGTERM)
	wait.Wait()
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	sum := 0
	for _, n := range answers {
		sum += n
	}
	if want := fmt.Sprintf(`"searches":%d,`, sum); !strings.Contains(p.log.String(), want) || sum < 50 {
		t.Errorf("%d answers arrived; the counters do not say %s", sum, want)
	}
}

func TestRestartAfterKillServesSameAddress(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	known := membershipUpdate(1, true, "ready", server)
	p := startProgram(t, "127.0.0.1:0", discovery.address, known, 1024)
	open := p.dial()
	p.expect(200, send(open, searchRequest("quick", 2900, searchBody(0))))
	p.cmd.Process.Kill()
	p.cmd.Wait()
	again := startProgram(t, p.address, discovery.address, known, 1024)
	again.expect(200, again.exchange(searchRequest("quick", 2900, searchBody(0))))
	if again.address != p.address {
		t.Error(again.address)
	}
}

func TestIdleConnectionsYieldDescriptors(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 120)
	for range 60 {
		p.dial() // and says nothing
	}
	server.setBehaviour("hang")
	var wait sync.WaitGroup
	answers := make([]response, 100)
	for i := range answers {
		c := p.dial()
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i] = send(c, searchRequest("once", 3000, searchBody(0)))
			c.Close()
		}()
	}
	wait.Wait()
	for _, r := range answers {
		if r.err != nil || r.status < 500 {
			t.Fatalf("%+v: a search is lost", r)
		}
	}
	server.setBehaviour("OK")
	p.waitUntil("it serves again", func() bool { return p.exchange(searchRequest("quick", 2900, searchBody(0))).status == 200 })
	p.cmd.Process.Signal(syscall.SIGUSR1)
	p.waitUntil("the counters are printed", func() bool { return strings.Contains(p.log.String(), `"message":"rest"`) })
	if strings.Contains(p.log.String(), `"gave_way":0,`) {
		t.Error("no idle connection gave way")
	}
}

func TestSearchAgesWhileProcessIsStopped(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	c := p.dial()
	for try := 0; ; try++ { // the kernel begins to stamp what comes a little after it was first asked to
		p.cmd.Process.Signal(syscall.SIGSTOP)
		if _, err := io.WriteString(c, searchRequest("quick", 300, searchBody(0))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		p.cmd.Process.Signal(syscall.SIGCONT)
		if got := send(c, ""); got.status == 503 {
			break
		} else if try == 20 {
			t.Fatalf("%+v to a client whose time was up", got)
		}
	}
	server.Lock()
	calls := server.calls
	server.Unlock()
	p.expect(200, send(c, searchRequest("quick", 2900, searchBody(0))))
	if server.Lock(); server.calls != calls+1 {
		t.Error("parts were sent for a client whose time was up")
	}
	server.Unlock()
}

func TestUnreadLogDoesNotBlock(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	mute := exec.Command(programPath)
	mute.Env = append(os.Environ(), "RELAY_CONFIG="+p.configPath)
	mute.Stderr = w
	if err := mute.Start(); err != nil {
		t.Fatal(err)
	}
	defer mute.Process.Kill()
	w.Close()
	line, err := bufio.NewReaderSize(r, 16).ReadString('\n') // and no more
	var startLine struct{ Listen string }
	if err != nil || json.Unmarshal([]byte(line), &startLine) != nil {
		t.Fatal(line, err)
	}
	p.address = startLine.Listen
	for range 300 { // four lines each: far more than a pipe holds
		mute.Process.Signal(syscall.SIGUSR1)
		p.expect(200, p.exchange("GET /ready HTTP/1.1\r\n\r\n"))
	}
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0))))
	mute.Process.Signal(syscall.SIGTERM)
	if err := mute.Wait(); err != nil {
		t.Error(err)
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	sound := searchBody(0)
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
		searchRequest("quick", 100, "{"):                                         400,
		searchRequest("quick", 100, searchBody(4)):                               400,
		searchRequest("quick", 100, searchBody(0, 0)):                            400,
		searchRequest("quick", 100, searchBody()):                                400,
		searchRequest("quick", 100, strings.Repeat("x", 65<<10)):                 413,
		"POST /api HTTP/1.1\r\n\r\n":                                             411,
		"GET /api HTTP/1.1\r\n\r\n":                                              405,
		"GET /other HTTP/1.1\r\n\r\n":                                            404,
		"\x16\x03\x01 TLS\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000):                      431,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n":        400,
		"POST /api HTTP/1.1\r\nExpect: wonders\r\nContent-Length: 1\r\n\r\n":     417,
		"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": 400,
	} {
		if got := p.exchange(raw); got.status != status {
			t.Errorf("%.90q: %+v, want %d", raw, got, status)
		}
	}
	// What is sent on behind an error is not read, and the error arrives all the same.
	hidden := "0\r\n\r\n" + searchRequest("quick", 2900, sound)
	for raw, status := range map[string]int{
		"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + strings.Repeat("x", 60000000):                               413,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\n" + strings.Repeat("x", 20000000):                  413,
		"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden: 400,
	} {
		c, got := p.dial(), response{}
		go io.WriteString(c, raw)
		if got = send(c, ""); got.status != status || !got.closes {
			t.Errorf("%.90q: %+v, want %d", raw, got, status)
		}
		c.Close()
	}
	for _, says := range []string{"", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", "POST /api"} {
		began, c := time.Now(), p.dial()
		if got := send(c, says); says != "" && got.status != 408 || says == "" && got.err == nil {
			t.Errorf("%q: %+v", says, got)
		}
		if took := time.Since(began); took < time.Second {
			t.Errorf("%q: let go of after %v", says, took)
		}
	}
	if server.Lock(); server.calls != 0 {
		t.Error("something was sent to a server")
	}
	server.Unlock()
	c := p.dial()
	p.expect(400, send(c, searchRequest("quick", 100, "{}")))
	parts := strings.SplitAfter(searchRequest("quick", 2900, sound), "\r\n\r\n")
	if got := p.expect(100, send(c, strings.Replace(parts[0], "\r\n", "\r\nExpect: 100-Continue\r\n", 1))); got.body != "" {
		t.Error(got)
	}
	p.expect(200, send(c, parts[1]))
	length := fmt.Sprint("Content-Length: ", len(sound))
	for _, piece := range strings.SplitAfter(strings.Replace(parts[0], length, "Transfer-Encoding: chunked", 1), "-") {
		io.WriteString(c, piece)
	}
	p.expect(200, send(c, fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", sound[:5], len(sound)-5, sound[5:])))
}

func TestInvalidConfigurationEndsStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"", "{", `{"listen":"x"}`, `{"settings":{},"listen":"127.0.0.1:0"}`,
		`{"settings":{"classes":[]},"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(programPath)
		cmd.Env = []string{"RELAY_CONFIG=" + path}
		out, err := cmd.CombinedOutput()
		if _, failed := err.(*exec.ExitError); !failed || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%q: %v, %s", text, err, out)
		}
	}
}
