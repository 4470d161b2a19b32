package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what the kernel says that a process has taken so far.
type usage struct {
	processor time.Duration // of all its threads
	resident  float64       // MB
	private   float64       // MB
	threads   float64
	written   float64 // bytes, to sockets as well
	read      float64
	writes    float64 // system calls
	wakeups   float64 // of all its threads: switches that they asked for
}

func (f *realFleet) usage() ([]usage, error) {
	var list []usage
	for _, command := range f.nodes {
		u, err := usageOf(command.Process.Pid)
		if err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

func usageOf(pid int) (usage, error) {
	var u usage
	folder := fmt.Sprintf("/proc/%d/", pid)
	tasks, err := os.ReadDir(folder + "task")
	if err != nil {
		return u, err
	}
	for _, task := range tasks {
		if text, err := os.ReadFile(folder + "task/" + task.Name() + "/schedstat"); err == nil {
			u.processor += time.Duration(number(strings.Fields(string(text))[0]))
		}
		if fields, err := procFields(folder + "task/" + task.Name() + "/status"); err == nil {
			u.wakeups += fields["voluntary_ctxt_switches"]
		}
	}
	status, err := procFields(folder + "status")
	if err != nil {
		return u, err
	}
	calls, err := procFields(folder + "io")
	if err != nil {
		return u, err
	}
	u.resident, u.private, u.threads = status["VmRSS"]/1024, status["RssAnon"]/1024, status["Threads"]
	u.written, u.read, u.writes = calls["wchar"], calls["rchar"], calls["syscw"]
	return u, nil
}

// procFields reads a file of lines "name: number".
func procFields(path string) (map[string]float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(line, ":")
		if words := strings.Fields(value); found && len(words) > 0 {
			fields[name] = number(words[0])
		}
	}
	return fields, nil
}

// number is 0 for what is none.
func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}
