package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sending is a client's request: one try, with an id of its own.
type sending struct {
	id     string
	node   string
	sentAt time.Time
	status int    // 0: no answer
	failed string // why there is none
	leaves bool   // the client closes its connection after leaveAfter
}

// clients sends requests at a steady rate, each on a new connection to a machine that the platform picks.
type clients struct {
	fleet    *fleet
	platform *platform
	path     string
	deadline time.Duration
	// leavingShare of the clients close their connection after leaveAfter; 0: none.
	leavingShare float64
	leaveAfter   time.Duration

	mutex sync.Mutex
	list  []*sending
	wait  sync.WaitGroup
}

// run sends perSecond requests a second until stop is closed, and waits for the answers.
func (c *clients) run(perSecond int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			c.wait.Wait()
			return
		case <-ticker.C:
			c.wait.Add(1)
			go c.send(c.platform.pick(c.fleet.nodes))
		}
	}
}

// send makes one request.
func (c *clients) send(n *node) {
	defer c.wait.Done()
	s := &sending{id: fmt.Sprintf("%016x", rand.Uint64()), node: n.name, sentAt: time.Now(), leaves: rand.Float64() < c.leavingShare}
	c.mutex.Lock()
	c.list = append(c.list, s)
	c.mutex.Unlock()
	limit := c.deadline
	if s.leaves {
		limit = c.leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+c.path+s.id, bytes.NewReader(bytes.Repeat([]byte("x"), 600)))
	if err != nil {
		return
	}
	request.Host = "labels.example"
	request.Header.Set("X-Kestrelspread-Request-Id", s.id)
	request.Header.Set("X-Kestrelspread-Deadline-Ms", strconv.Itoa(int(c.deadline.Milliseconds())))
	c.fleet.record.add("client sends %s to %s", s.id, n.name)
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		c.end(s, 0, err.Error())
		return
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		c.end(s, 0, "body: "+err.Error())
		return
	}
	c.end(s, answer.StatusCode, "")
}

func (c *clients) end(s *sending, status int, failed string) {
	c.mutex.Lock()
	s.status, s.failed = status, failed
	c.mutex.Unlock()
	c.fleet.record.add("client of %s gets %d %s", s.id, status, failed)
}

// byID copies the requests by their ids.
func (c *clients) byID() map[string]sending {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	all := make(map[string]sending, len(c.list))
	for _, s := range c.list {
		all[s.id] = *s
	}
	return all
}
