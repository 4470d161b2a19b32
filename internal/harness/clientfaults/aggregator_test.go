package clientfaults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/harness"
	"kestrelspread/internal/harness/searchclient"
	"kestrelspread/internal/standin/fakeservers"
)

// Limits of the aggregators' configurations, those of the smallest deployments.
const (
	httpMemoryMB       = 32
	grpcMemoryMB       = 64
	aggregatorSockets  = 256
	aggregatorHead     = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Call-Class: quick\r\nX-Budget-Ms: 2000\r\n"
	aggregatorMaxBody  = 64 << 10
	aggregatorTimeout  = 2000 // ms that a client waits
	aggregatorSettings = `{"balancers":1,"classes":[
{"aim-ms":200,"deadline-ms":1000,"effect":"repeatable","importance":1,"late-value":0.3,"name":"quick"}],
"family-info":{"places":1,"span":1,"batch":4,"slabs":2,"class-need":[1],"class-floor":[1]},"discovery":"push",
"localities":["a"],"limits":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"connect-timeout-ms":250,
"conn-idle-ms":30000,"streams-per-conn":100,"most-held":500,"retry-after":true,"max-retry-after-ms":500},
"safety":{"drain-grace-ms":500},"report":{"fields":["active"],"via":"none"},"zone":0}`
	grpcPath = "/demo.Quick/Ask"
)

// backends are one server and discovery, which the aggregators of a test share.
type backends struct {
	frames    *fakeservers.FrameServer
	grpc      *fakeservers.GRPCServer
	discovery *fakeservers.Discovery
}

func startBackends(t *testing.T) *backends {
	t.Helper()
	const medianMs = 1
	frames, err := fakeservers.StartFrameServer(medianMs, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = frames.Close() })
	calls, err := fakeservers.StartGRPCServer(medianMs, 0)
	assert.NilError(t, err)
	t.Cleanup(calls.Server.Stop)
	discovery, err := fakeservers.StartDiscovery([]fakeservers.Instance{
		{ID: "s0", Address: frames.Addr().String(), Zone: "a", Lifecycle: "ready", Weight: 1},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = discovery.Close() })
	return &backends{frames: frames, grpc: calls, discovery: discovery}
}

// syncBuffer collects the log of a process.
type syncBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(text []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(text)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// aggregator is one process with its addresses.
type aggregator struct {
	target
	httpAddress, grpcAddress string
	log                      syncBuffer
}

// startAggregator starts the aggregator in service, or, where the gRPC front is wanted, the one that has it, and waits until it serves.
func (b *backends) startAggregator(t *testing.T, memoryMB int, withGRPC bool) *aggregator {
	t.Helper()
	directory := workDir(t)
	configPath := filepath.Join(directory, "config.json")
	config := fmt.Sprintf(`{"name":"a","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":{"generation":0,"reset":true,"instances":[]},"settings":%s}`,
		b.discovery.Addr(), memoryMB, aggregatorSockets, aggregatorSettings)
	assert.NilError(t, os.WriteFile(configPath, []byte(config), 0o600))
	program, arguments := leanBinary, []string(nil)
	if withGRPC {
		operatorPath := filepath.Join(directory, "operator.json")
		operator := fmt.Sprintf(`{"grpc":{"listen":"127.0.0.1:0","servers":{"by-id":{"s0":%q}},"routes":[{"name":"quick",`+
			`"match":{"service":"demo.Quick"},"query-type":"quick","shard":{"fixed":0},"timeout-ms":1000}]}}`, b.grpc.Addr())
		assert.NilError(t, os.WriteFile(operatorPath, []byte(operator), 0o600))
		program, arguments = aggregatorBinary, []string{"--operator", operatorPath}
	}
	a := &aggregator{}
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	command.Stderr = &a.log
	assert.NilError(t, command.Start())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait()
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
	})
	a.target = target{
		process: Process(command.Process.Pid), memoryBytes: int64(memoryMB) << 20, descriptors: aggregatorSockets,
		loggedBytes: func() int64 { return int64(len(a.log.String())) },
		ask:         a.search,
	}
	a.awaitServing(t, withGRPC)
	if withGRPC {
		a.ask = a.call
		assert.NilError(t, a.awaitAnswer(t.Context()))
	}
	return a
}

// awaitServing waits for the log lines with the addresses, and for the answer to a first search.
func (a *aggregator) awaitServing(t *testing.T, withGRPC bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for a.httpAddress == "" || withGRPC && a.grpcAddress == "" {
		assert.NilError(t, ctx.Err(), "%s", a.log.String())
		a.readAddresses()
		pause(ctx, watchInterval)
	}
	assert.NilError(t, a.awaitAnswer(ctx), "%s", a.log.String())
}

// readAddresses takes the addresses from the log.
func (a *aggregator) readAddresses() {
	for line := range strings.Lines(a.log.String()) {
		var entry struct{ Listen, Message string }
		if json.Unmarshal([]byte(line), &entry) != nil {
			continue
		}
		switch entry.Message {
		case "serving":
			a.httpAddress = entry.Listen
		case "serving gRPC":
			a.grpcAddress = entry.Listen
		}
	}
}

// search sends one search.
func (a *aggregator) search(ctx context.Context) error {
	search := searchclient.Search{ID: "c41e77d0", Type: "quick", Shards: []int{0, 1}}
	request := search.Request(ctx, a.httpAddress, aggregatorTimeout, false)
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	parsed := searchclient.ParseAnswer(text)
	if answer.StatusCode != http.StatusOK || !parsed.Complete || parsed.Result() != search.Expected() {
		return fmt.Errorf("search: status %d, %s", answer.StatusCode, text)
	}
	return nil
}

// call makes one gRPC call.
func (a *aggregator) call(ctx context.Context) error {
	conns, err := harness.DialGRPC(a.grpcAddress, 1)
	if err != nil {
		return err
	}
	defer func() { _ = conns[0].Close() }()
	request, reply := []byte("c41e77d0"), []byte(nil)
	return conns[0].Invoke(metadata.AppendToOutgoingContext(ctx, "x-caller", "test"), grpcPath, &request, &reply, grpc.WaitForReady(false))
}

// TestAggregatorWithstandsHTTPClients: empty lines without end took the loop of an aggregator for themselves.
func TestAggregatorWithstandsHTTPClients(t *testing.T) {
	servers := startBackends(t)
	behaviours := HTTPHeads(aggregatorHead + "Content-Length: 0\r\n\r\n")
	behaviours = append(behaviours, HTTPBodies(aggregatorHead, aggregatorMaxBody)...)
	for _, behaviour := range inShort(behaviours) {
		t.Run(behaviour.Name, func(t *testing.T) {
			a := servers.startAggregator(t, httpMemoryMB, false)
			a.withstands(t, a.httpAddress, behaviour)
		})
	}
}

// TestAggregatorWithstandsHTTP2Clients: frames that cost their sender nothing must cost the aggregator little.
func TestAggregatorWithstandsHTTP2Clients(t *testing.T) {
	servers := startBackends(t)
	for _, behaviour := range inShort(HTTP2(grpcPath)) {
		t.Run(behaviour.Name, func(t *testing.T) {
			a := servers.startAggregator(t, grpcMemoryMB, true)
			a.withstands(t, a.grpcAddress, behaviour)
		})
	}
}
