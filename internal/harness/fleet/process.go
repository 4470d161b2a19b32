package fleet

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// spawner starts processes that end when this one does. The kernel ties that to the thread that started them (Pdeathsig), so all
// are started on one thread that exists as long as the spawner.
type spawner struct {
	jobs chan func()
	done chan struct{}
}

func newSpawner() *spawner {
	s := &spawner{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		defer close(s.done)
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

// close ends the thread, and with it the processes that still run.
func (s *spawner) close() {
	close(s.jobs)
	<-s.done
}

// process is one incarnation of a node process.
type process struct {
	command *exec.Cmd
	ended   chan struct{} // closed once the process is gone
	err     error         // of the exit; valid once ended is closed
}

// start runs a program; log receives its output.
func (s *spawner) start(program string, arguments, environment []string, log io.Writer) (*process, error) {
	command := exec.Command(program, arguments...)
	command.Env = environment
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.jobs <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process; it is no error if that has ended.
func (p *process) signal(signal syscall.Signal) error {
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stopTimeout is how long the kernel may take to stop a process.
const stopTimeout = 5 * time.Second

// awaitStopped waits until the kernel shows the process as stopped.
func (p *process) awaitStopped() error {
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !p.stopped() {
		select {
		case <-ticker.C:
		case <-p.ended:
			return errors.New("the process has ended")
		case <-timeout.C:
			return errors.New("the process does not stop")
		}
	}
	return nil
}

// stopped reads the state in /proc/PID/stat, which follows the name in brackets.
func (p *process) stopped() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(state, "T")
}

// memory reads the resident memory of the process and its peak, in bytes, from /proc/PID/status.
func (p *process) memory() (resident, peak int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch name {
		case "VmRSS":
			resident = kilobytes << 10
		case "VmHWM":
			peak = kilobytes << 10
		}
	}
	return resident, peak, nil
}

// kill ends the process at once, even if it is stopped, and waits for its end.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
