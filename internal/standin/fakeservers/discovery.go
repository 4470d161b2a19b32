package fakeservers

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Instance is one entry of the list of discovery.
type Instance struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// Discovery sends a list to its subscribers: the complete one, whenever it changes.
type Discovery struct {
	net.Listener
	server     *http.Server
	mutex      sync.Mutex
	generation int
	instances  []Instance
	changed    chan struct{} // closed at the next change
}

// ListMessage is a list in its wire form; reset: it is complete.
func ListMessage(generation int, reset bool, instances []Instance) string {
	text, _ := json.Marshal(map[string]any{"generation": generation, "reset": reset, "instances": instances})
	return string(text)
}

// StartDiscovery starts discovery on loopback.
func StartDiscovery(instances []Instance) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Listener: listener, generation: 1, instances: instances, changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.watch)}
	go d.server.Serve(listener)
	return d, nil
}

// Replace replaces the list.
func (d *Discovery) Replace(instances []Instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.instances = instances
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// keepAliveInterval is the time between two empty lines on a stream without changes.
const keepAliveInterval = time.Second

// watch streams the list to a subscriber, with an empty line now and then.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	for {
		d.mutex.Lock()
		line, changed := ListMessage(d.generation, true, d.instances), d.changed
		d.mutex.Unlock()
		io.WriteString(w, line+"\n")
		w.(http.Flusher).Flush()
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(keepAliveInterval):
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}
}

// Close ends discovery and its streams.
func (d *Discovery) Close() error { return d.server.Close() }
