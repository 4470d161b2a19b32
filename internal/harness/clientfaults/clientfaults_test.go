package clientfaults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/harness/nodeprogram"
)

// Programs, built once for all tests. They are never built with the race detector, which needs several times the memory.
var nodeBinary, aggregatorBinary, leanBinary string

func TestMain(m *testing.M) {
	os.Exit(nodeprogram.WithBuilt(func(path string) int {
		directory := filepath.Dir(path)
		nodeBinary, aggregatorBinary, leanBinary = path, filepath.Join(directory, nodeprogram.Aggregator), filepath.Join(directory, nodeprogram.LeanAggregator)
		for _, program := range []string{aggregatorBinary, leanBinary} {
			if err := nodeprogram.BuildProgram(filepath.Base(program), program); err != nil {
				fmt.Println(err)
				return 1
			}
		}
		return m.Run()
	}))
}

const (
	// groupSize is the clients of a group, groupTime how long they go on.
	groupSize = 200
	groupTime = 2 * time.Second
	// silentGroupSize is more than the descriptors that the processes of these tests may have.
	silentGroupSize = 300
	// maxLoggedBytes is what a process may log meanwhile.
	maxLoggedBytes = 16 << 10
	// answerTimeout bounds the time until an ordinary request is answered; it only keeps a test from hanging.
	answerTimeout = 30 * time.Second
	startTimeout  = 60 * time.Second
)

// target is a process under test, with what it may use by its settings.
type target struct {
	process     Process
	memoryBytes int64
	descriptors int
	// loggedBytes returns how much the process has logged.
	loggedBytes func() int64
	// ask sends one ordinary request; the error says that it was not answered.
	ask func(context.Context) error
}

// withstands plays a group on an address of the target, and checks that the process lives within its limits and that one ordinary
// request is answered afterwards.
func (p *target) withstands(t *testing.T, address string, behaviour Behaviour) {
	t.Helper()
	clients := groupSize
	if behaviour.Name == Silent.Name {
		clients = silentGroupSize
	}
	loggedBefore, watch := p.loggedBytes(), p.process.Watch()
	group := StartGroup(t.Context(), address, clients, behaviour)
	pause(t.Context(), groupTime)
	group.Stop()
	answered := p.awaitAnswer(t.Context())
	usage, err := watch.Stop()
	assert.NilError(t, err)
	logged := p.loggedBytes() - loggedBefore
	t.Logf("peak memory %.1f MB of %d, %d descriptors of %d, %d bytes logged", float64(usage.MemoryBytes)/(1<<20), p.memoryBytes>>20,
		usage.Descriptors, p.descriptors, logged)
	assert.Check(t, usage.MemoryBytes <= p.memoryBytes, "memory %d, allowed %d", usage.MemoryBytes, p.memoryBytes)
	assert.Check(t, usage.Descriptors <= p.descriptors, "%d descriptors, %d allowed", usage.Descriptors, p.descriptors)
	assert.Check(t, logged <= maxLoggedBytes, "%d bytes logged, %d allowed", logged, maxLoggedBytes)
	assert.NilError(t, answered)
}

// awaitAnswer asks until a request is answered. The error is that of the last request.
func (p *target) awaitAnswer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	for {
		err := p.ask(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		pause(ctx, watchInterval)
	}
}

// inShort picks the behaviours that also run with -short: each of them stands for several.
func inShort(behaviours []Behaviour) []Behaviour {
	if !testing.Short() {
		return behaviours
	}
	var picked []Behaviour
	for _, behaviour := range behaviours {
		switch behaviour.Name {
		case "silent", "short fields held", "empty lines without end", "chunked body held", "PING without end", "header block held":
			picked = append(picked, behaviour)
		}
	}
	return picked
}

// memoryDir is a file system in memory, if the machine has one.
const memoryDir = "/dev/shm"

// workDir creates a directory for the files of processes.
func workDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir, "clientfaults")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
