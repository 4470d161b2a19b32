package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"kestrelspread/internal/standin/fleetoperator"
)

// The steps of a demonstration, one per phase. Each returns the line that the phase prints.

// changeConfiguration sends a change and waits until all nodes apply it.
func (d *demo) changeConfiguration(ctx context.Context) (string, error) {
	sent := time.Now()
	acknowledged, err := d.Operator.Update(ctx, d.Operator.Current(), RoutesChange(d.Operator.Current()))
	if err != nil {
		return "", err
	}
	err = d.Await(ctx, "the change in force", func(context.Context) error { return d.load.CheckRoutesChange() })
	return fmt.Sprintf("a route added, one removed, a key taken away: acknowledged after %v, in force at all nodes %v later",
		acknowledged.ReceivedAt.Sub(sent).Round(time.Millisecond), since(acknowledged.ReceivedAt)), err
}

// CheckRoutesChange probes each node for the effects of RoutesChange. The error names the first that is missing.
func (l *Load) CheckRoutesChange() error {
	for _, node := range l.fleet.Nodes {
		for _, expected := range []struct {
			prefix, key string
			status      int
		}{
			{prefixNew, keyShared, http.StatusOK},
			{prefixOld, keyShared, http.StatusNotFound},
			{prefixLookup, keyRevoked, http.StatusUnauthorized},
		} {
			if status := l.Probe(node, expected.prefix, expected.key); status != expected.status {
				return fmt.Errorf("%s answers %d on %s with %s", node.Name, status, expected.prefix, expected.key)
			}
		}
	}
	return nil
}

// updateWeights submits a new version of the weights and waits until all model brokers have it.
func (d *demo) updateWeights(ctx context.Context) (string, error) {
	const version = 2
	acknowledged, err := d.Operator.PutVersion(ctx, modelName, version)
	if err != nil {
		return "", err
	}
	err = d.AwaitWeights(ctx, version)
	return fmt.Sprintf("all %d model brokers have version %d %v after its acknowledgement", modelBrokers, version, since(acknowledged.ReceivedAt)), err
}

// killHead kills the head of the chain, submits a change, and waits until the node has rejoined.
func (d *demo) killHead(ctx context.Context) (string, error) {
	head, err := d.Head(ctx)
	if err != nil {
		return "", err
	}
	head.Kill()
	killed := time.Now()
	before := d.Operator.Current()
	acknowledged, err := d.Operator.Update(ctx, before, fleetoperator.Update{Version: nextVersion(before)})
	if err != nil {
		return "", err
	}
	if err := head.Start(); err != nil {
		return "", err
	}
	started := time.Now()
	err = d.AwaitAgreement(ctx)
	return fmt.Sprintf("%s killed: a change acknowledged %v after; it is in the chain again %v after its start",
		head.Name, acknowledged.ReceivedAt.Sub(killed).Round(time.Millisecond), since(started)), err
}

// drainBroker drains a model broker and ends it.
func (d *demo) drainBroker(ctx context.Context) (string, error) {
	broker := d.Serving(serviceModel)[0]
	ackedAt, err := d.Drain(ctx, broker)
	if err != nil {
		return "", err
	}
	if err := broker.Leave(ctx); err != nil {
		return "", err
	}
	var last time.Time
	for _, arrival := range d.ArrivalLog.Arrivals() {
		if arrival.Instance == broker.ID() {
			last = arrival.ReceivedAt
		}
	}
	return fmt.Sprintf("%s says that it leaves: the last request reached it %v after the acknowledgement, %v are allowed",
		broker.ID(), last.Sub(ackedAt).Round(time.Millisecond), d.options.Bounds.Drain), nil
}

// stopNode stops a node gracefully and waits until it serves again.
func (d *demo) stopNode(ctx context.Context) (string, error) {
	node := d.Nodes[nodeCount-1]
	sent := time.Now()
	if node.Terminate() {
		return "", fmt.Errorf("%s was not gone after the grace of %v", node.Name, d.options.Bounds.Grace)
	}
	took := since(sent)
	if err := node.Start(); err != nil {
		return "", err
	}
	started := time.Now()
	err := d.AwaitAgreement(ctx)
	return fmt.Sprintf("%s was gone %v after SIGTERM; it serves again %v after its start", node.Name, took, since(started)), err
}
