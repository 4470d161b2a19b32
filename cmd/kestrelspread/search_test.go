package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

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
	p.waitUntil("the invalid server list is logged", func() bool { return strings.Contains(p.log.String(), "invalid server list") })
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
