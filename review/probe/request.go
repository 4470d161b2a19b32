package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// The host of the routes in the fleet's first configuration.
const routeHost = "demo.example"

// newID is a random request id.
func newID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// sent is one request as a client saw it.
type sent struct {
	id     string
	sentAt time.Time
	status int // 0: no answer
	err    error
}

// send sends one request with a key (empty: none) on a new connection, and reads the whole answer.
func send(front, method, path, key string, wait time.Duration) sent {
	request := sent{id: newID()}
	connection, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		request.err = err
		return request
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(wait + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", method, path, routeHost, llmbroker.HeaderRequestID, request.id)
	fmt.Fprintf(&head, "%s: %d\r\nContent-Length: 0\r\n", llmbroker.HeaderDeadline, wait.Milliseconds())
	if key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", key)
	}
	head.WriteString("\r\n")
	request.sentAt = time.Now()
	if _, request.err = io.WriteString(connection, head.String()); request.err != nil {
		return request
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
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

// configuration is what the cases read of a configuration.
type configuration struct {
	Version uint64          `json:"version"`
	Tenants json.RawMessage `json:"tenants"`
}

// fetch reads the newest configuration back at a control address.
func fetch(control string) (configuration, error) {
	var read configuration
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + control + "/kestrelspread/config/fetch")
	if err != nil {
		return read, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return read, fmt.Errorf("fetch of the configuration: status %d", answer.StatusCode)
	}
	return read, json.NewDecoder(answer.Body).Decode(&read)
}
