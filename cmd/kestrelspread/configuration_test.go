package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

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
