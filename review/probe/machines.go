package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"

	"kestrelspread/internal/harness/fleet"
)

// machines starts machines of a fleet again with settings that the fleet itself doesn't write: other seeds. A machine's settings file is
// where the fleet has put it, and so is its log.
type machines struct {
	node      string // path of kestrelnode
	dir       string // of the fleet
	processes []*exec.Cmd
}

// exchangeSeeds writes other seeds into the settings of all machines.
func (m *machines) exchangeSeeds(f *fleet.Fleet, seeds []*fleet.Node) error {
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, seed.Control())
	}
	for _, node := range f.Nodes {
		if err := m.rewrite(node, map[string]any{"seeds": addresses, "bootstrap": false}); err != nil {
			return err
		}
	}
	return nil
}

func (m *machines) settingsPath(node *fleet.Node) string {
	return filepath.Join(m.dir, node.Name, "settings.json")
}

// rewrite replaces fields of a machine's settings file, at once.
func (m *machines) rewrite(node *fleet.Node, fields map[string]any) error {
	path := m.settingsPath(node)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	settings := map[string]any{}
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	for name, value := range fields {
		settings[name] = value
	}
	if text, err = json.MarshalIndent(settings, "", "  "); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a machine whose process has ended, as the deploy file does. The process ends with this program.
func (m *machines) start(node *fleet.Node) error {
	log, err := os.Create(filepath.Join(m.dir, node.Name+".again.log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(m.node, "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KESTRELSPREAD_SETTINGS=" + m.settingsPath(node)}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runtime.LockOSThread() // Pdeathsig refers to the thread: it must live as long as this program
	if err := command.Start(); err != nil {
		return err
	}
	m.processes = append(m.processes, command)
	return nil
}

// close ends the processes.
func (m *machines) close() {
	for _, command := range m.processes {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}
