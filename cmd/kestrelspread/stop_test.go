package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

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

// startOnUsedAddress starts the program on an address that another has.
func startOnUsedAddress(t *testing.T) (p *process, occupant net.Listener) {
	t.Helper()
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
