package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// closeUnread waits until the kernel has both a connection's bytes and its end for the broker.
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

// stopProcess stops the process and waits until it stands still: the signal alone returns sooner.
func (p *process) stopProcess() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGSTOP)
	var state syscall.WaitStatus
	if _, err := syscall.Wait4(p.cmd.Process.Pid, &state, syscall.WUNTRACED, nil); err != nil || !state.Stopped() {
		p.t.Fatal("it was not stopped: ", err, state)
	}
}

// waitForCounter waits until the counters say something.
func (p *process) waitForCounter(text string) {
	p.t.Helper()
	p.waitUntil("the counters say "+text, func() bool {
		p.cmd.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(p.log.String(), text)
	})
}

func (n *fakeServer) callCount() int {
	n.Lock()
	defer n.Unlock()
	return n.calls
}

func TestNothingIsSentForClientsGoneWhileProcessIsStopped(t *testing.T) {
	// Some wait in the queue of connections, some on one that is open: all have asked and gone before they are read.
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	var open []net.Conn
	for range 5 {
		c := p.dial()
		p.expect(200, send(c, searchRequest("quick", 2900, searchBody(0))))
		open = append(open, c)
	}
	before := server.callCount()
	p.stopProcess()
	for range 5 {
		open = append(open, p.dial())
	}
	for _, c := range open {
		io.WriteString(c, searchRequest("once", 2900, searchBody(0)))
		p.closeUnread(c)
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.waitForCounter(`"left":10,`)
	if n := server.callCount() - before; n != 0 {
		t.Errorf("%d calls for ten clients that had gone", n)
	}
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0))))
}

// pausedServer is a server that reads nothing until it is let, and has one connection.
type pausedServer struct {
	net.Listener
	resume, finished chan struct{} // finished: all that came is
	ids              []string
}

func startPausedServer(t *testing.T) *pausedServer {
	// What its side of the connection holds stays small, and follows from here on.
	smallBuffer := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
		return err
	}}
	listener, err := smallBuffer.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &pausedServer{Listener: listener, resume: make(chan struct{}), finished: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go func() {
		defer close(server.finished)
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-server.resume
		for r := bufio.NewReader(c); ; {
			var size uint32
			if binary.Read(r, binary.LittleEndian, &size) != nil {
				return
			}
			frame := make([]byte, size)
			if _, err := io.ReadFull(r, frame); err != nil {
				return
			}
			if id, _, _ := strings.Cut(string(frame[1:]), "."); frame[0] == 'R' {
				server.ids = append(server.ids, id)
			}
		}
	}()
	return server
}

func TestNothingStartsOnFullConnectionForGoneClients(t *testing.T) {
	// Sub-requests are not called off here: what waits has to be dropped all the same.
	server := startPausedServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	known := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[{"instanceId":"s0","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"ready","weight":1.0,"startedAtMs":0}]}`, server.Addr())
	// Nobody is to be shed for a server that takes its time, however slow this machine is: clients have an hour.
	set := strings.NewReplacer(`"cancel":true`, `"cancel":false`, `"aim-ms":1500`, `"aim-ms":3600000`, `"aim-ms":300`,
		`"aim-ms":3600000`, `"streams-per-conn":100`, `"streams-per-conn":1000`).Replace(settingsText)
	p := startWithSettings(t, set, "127.0.0.1:0", discovery.address, known, 1024)
	// Far more than the sockets between hold, which is 4 MB at most on the broker's side: the rest waits in the broker.
	const many = 150
	long := strings.Replace(searchBody(0), `"c4"`, `"`+strings.Repeat("c", 60<<10)+`"`, 1)
	var clients []net.Conn
	for range many {
		c := p.dial()
		io.WriteString(c, searchRequest("once", 3600000, long))
		clients = append(clients, c)
	}
	p.waitForCounter(fmt.Sprintf(`"searches":%d,`, many))
	for _, c := range clients {
		c.Close()
	}
	p.waitForCounter(`"clients":0,`)
	if p.counter("left") != many || p.counter("connects") != 1 {
		t.Fatal("not all waited, on one connection, when they went: ", p.counter("left"), p.counter("connects"))
	}
	begun := p.counter("calls")
	close(server.resume)
	p.waitForCounter(`"moot":`)
	p.waitUntil("nothing waits", func() bool { // what is begun is read, and what is not ends as never sent
		p.cmd.Process.Signal(syscall.SIGUSR1)
		return p.counter("moot")+p.counter("sent") == p.counter("left")
	})
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
	<-server.finished // all that was on its way
	if len(server.ids) > begun || p.counter("moot") == 0 || p.counter("calls") != begun {
		t.Errorf("%d calls were read, %d had begun when all had gone, %d at the end; %d sub-requests were dropped", len(server.ids), begun,
			p.counter("calls"), p.counter("moot"))
	}
}

// counter is what a counter said last.
func (p *process) counter(name string) (n int) {
	log := p.log.String()
	if at := strings.LastIndex(log, `"`+name+`":`); at >= 0 {
		fmt.Sscanf(log[at+len(name)+3:], "%d", &n)
	}
	return n
}

func TestStopWorksWhileConfigurationIsRead(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	// The file is a pipe now: whoever reads it waits until it is written to.
	os.Remove(p.configPath)
	if err := syscall.Mkfifo(p.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 20 { // more than any queue of signals holds
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.cmd.Process.Signal(syscall.SIGUSR1)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGINT)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitUntil("it stops", func() bool { return strings.Contains(p.log.String(), "stopping") })
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

func TestPartialConfigurationIsIgnoredDuringStop(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	p := startProgram(t, "127.0.0.1:0", discovery.address, membershipUpdate(1, true, "ready", server), 1024)
	c := p.dial()
	p.expect(200, send(c, searchRequest("quick", 2900, searchBody(0))))
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitUntil("it stops", func() bool { return strings.Contains(p.log.String(), "stopping") })
	os.WriteFile(p.configPath, text[:len(text)-20], 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitUntil("it says so", func() bool { return strings.Contains(p.log.String(), "not taken over") })
	p.expect(200, send(c, searchRequest("quick", 2900, searchBody(0))))
	c.Close()
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

func TestInvalidConfigurationIsReportedWithPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "here.json")
	for _, text := range []string{"{", `{"settings":{"classes":[{"name":"a"}]},"listen":"x","discovery":"127.0.0.1:1","seed":"1"}`,
		`{"settings":{"classes":[{"name":"a"}]},"listen":"127.0.0.1:0","discovery":"x","seed":"1"}`,
		`{"settings":{"classes":[{"name":"a"}]},"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"xyz"}`,
		`{"settings":{"classes":5},"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`,
		`{"settings":[],"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(programPath)
		cmd.Env = []string{"RELAY_CONFIG=" + path}
		out, err := cmd.CombinedOutput()
		if _, failed := err.(*exec.ExitError); !failed || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), path) {
			t.Errorf("%q: %v, %s", text, err, out)
		}
	}
}

func TestExcessiveLimitsAreBounded(t *testing.T) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":20000,"memory_mb":1e300,`+
		`"sockets":-5},"known":%s,"settings":%s}`, discovery.address, membershipUpdate(1, true, "ready", server), settingsText)
	p := &process{t: t, log: &logBuffer{}, configPath: filepath.Join(t.TempDir(), "config.json")}
	os.WriteFile(p.configPath, []byte(text), 0o600)
	p.cmd = exec.Command(programPath)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.configPath)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.cmd.Process.Kill()
	p.waitUntil("it serves", func() bool { return strings.Contains(p.log.String(), "serving") })
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, rss, found := strings.Cut(string(status), "VmRSS:")
	var residentKB int
	if fmt.Sscan(rss, &residentKB); err != nil || !found || residentKB > 200<<10 {
		t.Errorf("%d KB are held for cores that no machine has, %v", residentKB, err)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Error("it does not end")
	}
}

// startOnUsedAddress starts the program on an address that another has.
func startOnUsedAddress(t *testing.T) (p *process, occupant net.Listener) {
	server := startServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	occupant, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { occupant.Close() })
	p = &process{t: t, log: &logBuffer{}, configPath: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":%s,"settings":%s}`, occupant.Addr(), discovery.address, membershipUpdate(1, true, "ready", server), settingsText)
	if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.address = occupant.Addr().String()
	p.cmd = exec.Command(programPath)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+p.configPath)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	p.waitUntil("it waits", func() bool { return strings.Contains(p.log.String(), "the address is in use") })
	return p, occupant
}

func TestStartWaitsUntilAddressIsReleased(t *testing.T) {
	p, holder := startOnUsedAddress(t)
	holder.Close()
	p.waitUntil("it serves", func() bool { return strings.Contains(p.log.String(), "serving") })
	p.expect(200, p.exchange(searchRequest("quick", 2900, searchBody(0))))
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

func TestStopWorksWhileAddressIsInUse(t *testing.T) {
	p, _ := startOnUsedAddress(t)
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.cmd.Wait(); err != nil || strings.Contains(p.log.String(), "serving") {
		t.Error(err, p.log)
	}
}

func TestAddressInUseEndsStart(t *testing.T) {
	p, holder := startOnUsedAddress(t)
	if err := p.cmd.Wait(); err == nil || !strings.Contains(p.log.String(), holder.Addr().String()+": bind: address already in use\n") {
		t.Error(err, p.log)
	}
}
