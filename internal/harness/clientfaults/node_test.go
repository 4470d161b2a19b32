package clientfaults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/harness/fleet"
)

const (
	// Limits in the settings of the nodes. A node may have so many descriptors that none of those reserved for files are used.
	nodeMemoryMB        = 80
	nodeMaxFDs          = 400
	reservedDescriptors = 200
	// Limits of the fleet's first configuration.
	maxHeadBytes = 16384
	maxBodyBytes = 4 << 20
	// fieldsUnderWay of five bytes each are within the limit of a head.
	fieldsUnderWay = 3000
)

// startFleet starts a fleet with small limits, and returns the node that is put under test: one without a disk.
func startFleet(t *testing.T) (*fleet.Fleet, *fleet.Node) {
	t.Helper()
	bounds := fleet.DefaultBounds()
	bounds.Heartbeat = 500 * time.Millisecond
	started, err := fleet.Start(fleet.Options{
		Binary: nodeBinary, Dir: workDir(t), Bounds: bounds, MemoryMB: nodeMemoryMB, Descriptors: nodeMaxFDs,
	})
	assert.NilError(t, err)
	t.Cleanup(started.Close)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	assert.NilError(t, started.Bootstrap(ctx))
	return started, started.Nodes[len(started.Nodes)-1]
}

// restartNode gives the next case a process of its own, with no peak of memory from earlier ones.
func restartNode(t *testing.T, node *fleet.Node) *target {
	t.Helper()
	if node.Running() {
		node.Kill()
	}
	assert.NilError(t, node.Start())
	p := &target{
		process: Process(node.Process()), memoryBytes: nodeMemoryMB << 20, descriptors: nodeMaxFDs - reservedDescriptors,
		loggedBytes: node.LoggedBytes,
		ask:         func(ctx context.Context) error { return fleet.Lookup(ctx, node) },
	}
	assert.NilError(t, p.awaitAnswer(t.Context()))
	return p
}

// frontBehaviours are what clients do at a front.
func frontBehaviours() []Behaviour {
	request := fleet.LookupRequest("")
	withBody := strings.TrimSuffix(strings.Replace(request, http.MethodGet, http.MethodPost, 1), "\r\n")
	behaviours := HTTPHeads(request)
	behaviours = append(behaviours, HTTPBodies(withBody, maxBodyBytes)...)
	return append(behaviours,
		FieldsUnderWay(withBody, fieldsUnderWay),
		Behaviour{Name: "streams past their deadline", Opening: fleet.ShortStreamRequest()},
	)
}

// TestFrontWithstandsClients: clients with heads over the limit or without end took a node beyond the memory of its machine, and silent ones
// beyond its descriptors.
func TestFrontWithstandsClients(t *testing.T) {
	_, node := startFleet(t)
	for _, behaviour := range inShort(frontBehaviours()) {
		t.Run(behaviour.Name, func(t *testing.T) { restartNode(t, node).withstands(t, node.Front(), behaviour) })
	}
}

// TestReadinessWithstandsClients: the platform's checks come in at a door of their own, which other clients may find.
func TestReadinessWithstandsClients(t *testing.T) {
	_, node := startFleet(t)
	for _, behaviour := range inShort(HTTPHeads("GET /kestrelspread/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
		t.Run(behaviour.Name, func(t *testing.T) {
			p := restartNode(t, node)
			lookup := p.ask
			p.ask = func(ctx context.Context) error { return errors.Join(isReady(ctx, node), lookup(ctx)) }
			p.withstands(t, node.Readiness(), behaviour)
		})
	}
}

// TestControlWithstandsClients: the control address had no bound on its connections, so that others took all descriptors of the machine.
func TestControlWithstandsClients(t *testing.T) {
	_, node := startFleet(t)
	for _, behaviour := range inShort(HTTPHeads("GET /kestrelspread/status HTTP/1.1\r\nHost: x\r\n\r\n")) {
		t.Run(behaviour.Name, func(t *testing.T) {
			p := restartNode(t, node)
			lookup := p.ask
			p.ask = func(ctx context.Context) error { return errors.Join(answersStatus(ctx, node), lookup(ctx)) }
			p.withstands(t, node.Control(), behaviour)
		})
	}
}

// answersStatus makes a call at a node's control address once.
func answersStatus(ctx context.Context, node *fleet.Node) error {
	return requireOK(ctx, "http://"+node.Control()+"/kestrelspread/status")
}

// isReady checks the readiness of a node once.
func isReady(ctx context.Context, node *fleet.Node) error {
	return requireOK(ctx, "http://"+node.Readiness()+"/kestrelspread/readyz")
}

// requireOK makes a call on a connection of its own, which must be answered with 200.
func requireOK(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, answer.StatusCode)
	}
	return answer.Body.Close()
}

// TestLargestRequestIsServed: no limit refuses a single request that is within those of the configuration.
func TestLargestRequestIsServed(t *testing.T) {
	_, node := startFleet(t)
	for _, size := range []struct{ head, body int }{{maxHeadBytes, 0}, {maxHeadBytes, maxBodyBytes}} {
		assert.NilError(t, fleet.LargestLookup(t.Context(), node, size.head, size.body), "%+v", size)
	}
}
