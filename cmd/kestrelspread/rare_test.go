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

// closeWaits waits until the kernel has both a connection's bytes and its end for the broker.
func (b *running) closeWaits(c net.Conn) {
	b.t.Helper()
	port := fmt.Sprintf(":%04X 08 ", c.LocalAddr().(*net.TCPAddr).Port) // its far end, in CLOSE_WAIT
	c.Close()
	b.until("the end has come in", func() bool {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			b.t.Fatal(err)
		}
		return strings.Contains(string(table), port)
	})
}

// freeze stops the process and waits until it stands still: the signal alone returns sooner.
func (b *running) freeze() {
	b.t.Helper()
	b.cmd.Process.Signal(syscall.SIGSTOP)
	var state syscall.WaitStatus
	if _, err := syscall.Wait4(b.cmd.Process.Pid, &state, syscall.WUNTRACED, nil); err != nil || !state.Stopped() {
		b.t.Fatal("it was not stopped: ", err, state)
	}
}

// counted waits until the counters say something.
func (b *running) counted(what string) {
	b.t.Helper()
	b.until("the counters say "+what, func() bool {
		b.cmd.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(b.log.String(), what)
	})
}

func (n *node) asked() int {
	n.Lock()
	defer n.Unlock()
	return n.calls
}

func TestNothingIsSentForClientsThatWentWhileABrokerStoodStill(t *testing.T) {
	// Some wait in the queue of connections, some on one that is open: all have asked and gone before they are read.
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	var open []net.Conn
	for range 5 {
		c := b.dial()
		b.want(200, send(c, request("quick", 2900, body(0))))
		open = append(open, c)
	}
	before := a.asked()
	b.freeze()
	for range 5 {
		open = append(open, b.dial())
	}
	for _, c := range open {
		io.WriteString(c, request("once", 2900, body(0)))
		b.closeWaits(c)
	}
	b.cmd.Process.Signal(syscall.SIGCONT)
	b.counted(`"left":10,`)
	if n := a.asked() - before; n != 0 {
		t.Errorf("%d calls for ten clients that had gone", n)
	}
	b.want(200, b.ask(request("quick", 2900, body(0))))
}

// deaf is a server that reads nothing until it is let, and has one connection.
type deaf struct {
	net.Listener
	let, read chan struct{} // read: all that came is
	ids       []string
}

func startDeaf(t *testing.T) *deaf {
	// What its side of the connection holds stays small, and follows from here on.
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
		return err
	}}
	l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &deaf{Listener: l, let: make(chan struct{}), read: make(chan struct{})}
	t.Cleanup(func() { l.Close() })
	go func() {
		defer close(n.read)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-n.let
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
				n.ids = append(n.ids, id)
			}
		}
	}()
	return n
}

func TestNothingBeginsOnAFullConnectionForClientsThatWent(t *testing.T) {
	// Sub-requests are not called off here: what waits has to be dropped all the same.
	a := startDeaf(t)
	d := startLister(t, "127.0.0.1:0")
	known := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[{"instanceId":"s0","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"ready","weight":1.0,"startedAtMs":0}]}`, a.Addr())
	// Nobody is to be shed for a server that takes its time, however slow this machine is: clients have an hour.
	set := strings.NewReplacer(`"cancel":true`, `"cancel":false`, `"aim-ms":1500`, `"aim-ms":3600000`, `"aim-ms":300`,
		`"aim-ms":3600000`, `"streams-per-conn":100`, `"streams-per-conn":1000`).Replace(settingsText)
	b := startSet(t, set, "127.0.0.1:0", d.at, known, 1024)
	// Far more than the sockets between hold, which is 4 MB at most on the broker's side: the rest waits in the broker.
	const many = 150
	long := strings.Replace(body(0), `"c4"`, `"`+strings.Repeat("c", 60<<10)+`"`, 1)
	var clients []net.Conn
	for range many {
		c := b.dial()
		io.WriteString(c, request("once", 3600000, long))
		clients = append(clients, c)
	}
	b.counted(fmt.Sprintf(`"searches":%d,`, many))
	for _, c := range clients {
		c.Close()
	}
	b.counted(`"clients":0,`)
	if b.counter("left") != many || b.counter("connects") != 1 {
		t.Fatal("not all waited, on one connection, when they went: ", b.counter("left"), b.counter("connects"))
	}
	begun := b.counter("calls")
	close(a.let)
	b.counted(`"moot":`)
	b.until("nothing waits", func() bool { // what is begun is read, and what is not ends as never sent
		b.cmd.Process.Signal(syscall.SIGUSR1)
		return b.counter("moot")+b.counter("sent") == b.counter("left")
	})
	b.cmd.Process.Signal(syscall.SIGTERM)
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
	<-a.read // all that was on its way
	if len(a.ids) > begun || b.counter("moot") == 0 || b.counter("calls") != begun {
		t.Errorf("%d calls were read, %d had begun when all had gone, %d at the end; %d sub-requests were dropped", len(a.ids), begun,
			b.counter("calls"), b.counter("moot"))
	}
}

// counter is what a counter said last.
func (b *running) counter(name string) (n int) {
	log := b.log.String()
	if at := strings.LastIndex(log, `"`+name+`":`); at >= 0 {
		fmt.Sscanf(log[at+len(name)+3:], "%d", &n)
	}
	return n
}

func TestAStopIsHeardThoughTheConfigurationIsBeingRead(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	// The file is a pipe now: whoever reads it waits until it is written to.
	os.Remove(b.conf)
	if err := syscall.Mkfifo(b.conf, 0o600); err != nil {
		t.Fatal(err)
	}
	for range 20 { // more than any queue of signals holds
		b.cmd.Process.Signal(syscall.SIGHUP)
		b.cmd.Process.Signal(syscall.SIGUSR1)
	}
	b.cmd.Process.Signal(syscall.SIGTERM)
	b.cmd.Process.Signal(syscall.SIGINT)
	b.cmd.Process.Signal(syscall.SIGTERM)
	b.until("it stops", func() bool { return strings.Contains(b.log.String(), "stopping") })
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

func TestAHalfWrittenConfigurationChangesNothingWhileItStops(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	b := start(t, "127.0.0.1:0", d.at, listOf(1, true, "ready", a), 1024)
	c := b.dial()
	b.want(200, send(c, request("quick", 2900, body(0))))
	text, err := os.ReadFile(b.conf)
	if err != nil {
		t.Fatal(err)
	}
	b.cmd.Process.Signal(syscall.SIGTERM)
	b.until("it stops", func() bool { return strings.Contains(b.log.String(), "stopping") })
	os.WriteFile(b.conf, text[:len(text)-20], 0o600)
	b.cmd.Process.Signal(syscall.SIGHUP)
	b.until("it says so", func() bool { return strings.Contains(b.log.String(), "not taken over") })
	b.want(200, send(c, request("quick", 2900, body(0))))
	c.Close()
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

func TestABadConfigurationIsToldOfByItsPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "here.json")
	for _, text := range []string{"{", `{"settings":{"classes":[{"name":"a"}]},"listen":"x","discovery":"127.0.0.1:1","seed":"1"}`,
		`{"settings":{"classes":[{"name":"a"}]},"listen":"127.0.0.1:0","discovery":"x","seed":"1"}`,
		`{"settings":{"classes":[{"name":"a"}]},"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"xyz"}`,
		`{"settings":{"classes":5},"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`,
		`{"settings":[],"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1"}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = []string{"RELAY_CONFIG=" + path}
		out, err := cmd.CombinedOutput()
		if _, failed := err.(*exec.ExitError); !failed || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), path) {
			t.Errorf("%q: %v, %s", text, err, out)
		}
	}
}

func TestLimitsThatNoMachineHas(t *testing.T) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":20000,"memory_mb":1e300,`+
		`"sockets":-5},"known":%s,"settings":%s}`, d.at, listOf(1, true, "ready", a), settingsText)
	b := &running{t: t, log: &logged{}, conf: filepath.Join(t.TempDir(), "config.json")}
	os.WriteFile(b.conf, []byte(text), 0o600)
	b.cmd = exec.Command(program)
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+b.conf)
	b.cmd.Stderr = b.log
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer b.cmd.Process.Kill()
	b.until("it serves", func() bool { return strings.Contains(b.log.String(), "serving") })
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	_, rss, found := strings.Cut(string(status), "VmRSS:")
	var held int
	if fmt.Sscan(rss, &held); err != nil || !found || held > 200<<10 {
		t.Errorf("%d KB are held for cores that no machine has, %v", held, err)
	}
	b.cmd.Process.Signal(syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- b.cmd.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Error("it does not end")
	}
}

// startHeld starts the program on an address that another has.
func startHeld(t *testing.T) (b *running, holder net.Listener) {
	a := startNode(t)
	d := startLister(t, "127.0.0.1:0")
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { holder.Close() })
	b = &running{t: t, log: &logged{}, conf: filepath.Join(t.TempDir(), "config.json")}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":%s,"settings":%s}`, holder.Addr(), d.at, listOf(1, true, "ready", a), settingsText)
	if err := os.WriteFile(b.conf, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.at = holder.Addr().String()
	b.cmd = exec.Command(program)
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+b.conf)
	b.cmd.Stderr = b.log
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.cmd.Process.Kill() })
	b.until("it waits", func() bool { return strings.Contains(b.log.String(), "the address is in use") })
	return b, holder
}

func TestAStartWaitsForTheOneBeforeToLetGoOfTheAddress(t *testing.T) {
	b, holder := startHeld(t)
	holder.Close()
	b.until("it serves", func() bool { return strings.Contains(b.log.String(), "serving") })
	b.want(200, b.ask(request("quick", 2900, body(0))))
	b.cmd.Process.Signal(syscall.SIGTERM)
	if err := b.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

func TestAStopIsHeardWhileTheAddressIsWaitedFor(t *testing.T) {
	b, _ := startHeld(t)
	b.cmd.Process.Signal(syscall.SIGTERM)
	if err := b.cmd.Wait(); err != nil || strings.Contains(b.log.String(), "serving") {
		t.Error(err, b.log)
	}
}

func TestAnAddressThatIsNeverLetGoOfEndsTheStart(t *testing.T) {
	b, holder := startHeld(t)
	if err := b.cmd.Wait(); err == nil || !strings.Contains(b.log.String(), holder.Addr().String()+": bind: address already in use\n") {
		t.Error(err, b.log)
	}
}
