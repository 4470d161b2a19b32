package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"kestrelspread/internal/harness/fleet"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// The course of the case.
const (
	wallConnections = 24
	freezeTime      = 3 * time.Second         // the site's dose is 4 s
	sentAfter       = 2200 * time.Millisecond // from the acknowledgement to the requests: more than configApplyMs
	wallDeadline    = 6 * time.Second
	wallTenant      = "west"
	wallKey         = "key-west-1"
	wallPart        = "abcd01"
)

// wall freezes a proxy, makes a tenant isolated meanwhile, sends requests of that tenant on kept connections later than configApplyMs
// after the acknowledgement, and thaws the proxy. No such request may use what another tenant's request has left in a broker's cache.
// Source: RULES.md, WALL.
func wall(ctx context.Context, env *environment) ([]string, error) {
	bounds := fleet.DefaultBounds()
	f, err := fleet.Start(fleet.Options{Binary: env.node, Bounds: bounds})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Bootstrap(ctx); err != nil {
		return nil, err
	}
	added, err := f.Operator.Update(ctx, f.FirstConfiguration(), setTenant(f.FirstConfiguration().Version+2, false))
	if err != nil {
		return nil, err
	}
	env.record.note("tenant %s is added, not isolated", wallTenant)
	proxy := f.Nodes[len(f.Nodes)-1]
	time.Sleep(bounds.ConfigApply)
	for range 8 {
		if other := sendStream(proxy.Front(), fleet.SharedKeys()[0]); other.status != http.StatusOK {
			return nil, fmt.Errorf("the other tenant isn't served: status %d, %w", other.status, other.err)
		}
	}
	var kept []*keptConnection
	for range wallConnections {
		connection, err := openKept(proxy.Front())
		if err != nil {
			return nil, err
		}
		defer connection.close()
		kept = append(kept, connection)
	}
	env.record.note("requests of tenant %s and %d kept connections of tenant %s to %s", fleet.SharedTenant, len(kept), wallTenant, proxy.Name)
	if env.trouble {
		if err := proxy.Freeze(); err != nil {
			return nil, err
		}
		env.record.note("%s is frozen", proxy.Name)
	}
	frozenAt := time.Now()
	isolated, err := f.Operator.Update(ctx, added.Configuration, setTenant(added.Configuration.Version+2, true))
	if err != nil {
		return nil, err
	}
	env.record.note("configuration %d, in which tenant %s is isolated, is acknowledged", isolated.Configuration.Version, wallTenant)
	time.Sleep(time.Until(isolated.ReceivedAt.Add(sentAfter)))
	var waiting sync.WaitGroup
	results := make([]sent, len(kept))
	for i, connection := range kept {
		waiting.Go(func() { results[i] = connection.exchange(wallKey) })
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if env.trouble {
		if err := proxy.Thaw(); err != nil {
			return nil, err
		}
		env.record.note("%s is thawed", proxy.Name)
	}
	waiting.Wait()
	return sharedCaches(env, f, results, isolated.ReceivedAt), nil
}

// setTenant adds or replaces the tenant.
func setTenant(version uint64, isolated bool) fleetoperator.Update {
	tenant := config.Tenant{Name: wallTenant, APIKeys: []string{wallKey}, Isolated: isolated}
	return fleetoperator.Update{Version: version, Upsert: fleetoperator.Items{Tenants: []config.Tenant{tenant}}}
}

// sharedCaches lists the requests that ran on a part that another tenant's request had left in the broker's cache.
func sharedCaches(env *environment, f *fleet.Fleet, results []sent, acknowledgedAt time.Time) []string {
	arrivals := f.ArrivalLog.Arrivals()
	var breaches []string
	for _, request := range results {
		for _, arrival := range arrivals {
			if arrival.Request != request.id || !arrival.Ran() {
				continue
			}
			maker := otherMaker(arrivals, arrival)
			env.record.note("request %s of tenant %s, sent %.2f s after the acknowledgement, status %d, runs at %s with Cache-Salt %q",
				request.id, arrival.Tenant, request.sentAt.Sub(acknowledgedAt).Seconds(), request.status, arrival.Instance, arrival.Salt)
			if maker == nil {
				continue
			}
			breaches = append(breaches, fmt.Sprintf("WALL: request %s of tenant %s, isolated, runs at %s on part %s under Cache-Salt %q, which request %s of tenant %s has made there",
				request.id, arrival.Tenant, arrival.Instance, wallPart, arrival.Salt, maker.Request, maker.Tenant))
		}
	}
	return breaches
}

// otherMaker is a run of another tenant at the same broker, under the same salt and version, that ended before; nil: there is none.
func otherMaker(arrivals []llmbroker.Arrival, user llmbroker.Arrival) *llmbroker.Arrival {
	for i := range arrivals {
		maker := &arrivals[i]
		if maker.Instance == user.Instance && maker.Salt == user.Salt && maker.Version == user.Version && maker.Tenant != user.Tenant &&
			maker.Ran() && !maker.EndedAt.IsZero() && maker.EndedAt.Before(user.StartedAt) {
			return maker
		}
	}
	return nil
}

// keptConnection is a client's connection that has carried a request.
type keptConnection struct {
	connection net.Conn
	reader     *bufio.Reader
}

// openKept opens a connection and sends a request of the tenant on it.
func openKept(front string) (*keptConnection, error) {
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	kept := &keptConnection{connection: connection, reader: bufio.NewReader(connection)}
	if first := kept.exchange(wallKey); first.status != http.StatusOK {
		kept.close()
		return nil, fmt.Errorf("the tenant isn't served: status %d, %w", first.status, first.err)
	}
	return kept, nil
}

func (k *keptConnection) close() { _ = k.connection.Close() }

// exchange sends a request with the shared part in its prompt, and reads the answer.
func (k *keptConnection) exchange(key string) sent {
	request := sent{id: newID()}
	_ = k.connection.SetDeadline(time.Now().Add(wallDeadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "POST /draft/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", request.id, routeHost, llmbroker.HeaderRequestID, request.id,
		llmbroker.HeaderDeadline, wallDeadline.Milliseconds())
	fmt.Fprintf(&head, "Authorization: Bearer %s\r\n%s: %s\r\n%s: 1600,4\r\n", key, llmbroker.HeaderModel, fleet.ModelName, llmbroker.HeaderTokenCount)
	fmt.Fprintf(&head, "%s: %s:1200,%s:400\r\nContent-Length: 0\r\n\r\n", llmbroker.HeaderPromptPrefix, wallPart, request.id)
	request.sentAt = time.Now()
	if _, request.err = io.WriteString(k.connection, head.String()); request.err != nil {
		return request
	}
	answer, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		request.err = err
		return request
	}
	defer func() { _ = answer.Body.Close() }()
	if _, request.err = io.Copy(io.Discard, answer.Body); request.err == nil {
		request.status = answer.StatusCode
	}
	return request
}

// sendStream sends one such request on a connection of its own.
func sendStream(front, key string) sent {
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return sent{err: err}
	}
	kept := &keptConnection{connection: connection, reader: bufio.NewReader(connection)}
	defer kept.close()
	return kept.exchange(key)
}
