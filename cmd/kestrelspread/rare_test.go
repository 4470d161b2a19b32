package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
)

func TestNothingIsSentForClientsGoneWhileProcessIsStopped(t *testing.T) {
	// Some wait in the queue of connections, some on one that is open: all have sent their request and
	// closed before anything is read.
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
	p.suspend()
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

func TestNothingStartsOnFullConnectionForGoneClients(t *testing.T) {
	// Sub-requests are not called off here: what waits has to be dropped all the same.
	server := startPausedServer(t)
	discovery := startDiscovery(t, "127.0.0.1:0")
	known := fmt.Sprintf(`{"generation":1,"reset":true,"instances":[{"instanceId":"s0","hostPort":%q,"zone":"a","cell":0,`+
		`"lifecycle":"ready","weight":1.0,"startedAtMs":0}]}`, server.Addr())
	// Nothing is to be shed because a server is slow, or this machine is: latency targets are an hour.
	set := strings.NewReplacer(`"cancel":true`, `"cancel":false`, `"aim-ms":1500`, `"aim-ms":3600000`, `"aim-ms":300`,
		`"aim-ms":3600000`, `"streams-per-conn":100`, `"streams-per-conn":1000`).Replace(settingsText)
	p := startWithSettings(t, set, "127.0.0.1:0", discovery.address, known, 1024)
	// Far more than the sockets between hold, which is 4 MB at most on the process's side: the rest
	// waits in the process.
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
