package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// searchBody asks for shards of equal weight.
func searchBody(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"segment":%d,"boost":%g}`, s, 1/float64(len(shards))))
	}
	return fmt.Sprintf(`{"segments":[%s],"text":"c4"}`, strings.Join(parts, ","))
}

// callIDs gives each request of a test run an id of its own.
var callIDs struct {
	sync.Mutex
	last int
}

// searchRequest is a search as it goes over the connection; budgetMs is the client's timeout.
func searchRequest(class string, budgetMs int, body string) string {
	callIDs.Lock()
	defer callIDs.Unlock()
	callIDs.last++
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nx-call-ID: q%d\r\nX-Call-Class: %s\r\nX-Budget-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", callIDs.last, class, budgetMs, len(body), body)
}

type response struct {
	status int
	header http.Header
	body   string
	closes bool
	err    error
}

// send writes raw bytes on a connection and reads one response.
func send(c net.Conn, raw string) (r response) {
	if _, r.err = io.WriteString(c, raw); r.err != nil {
		return r
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	text, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(text), res.Close, err}
}
