package fleet

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// connection is a connection of a client. It does not use net/http's client, which retries requests by itself.
type connection struct {
	net.Conn
	reader       *bufio.Reader
	node         *Node
	requestCount int       // that were answered
	idleSince    time.Time // the end of the last request
}

// connectTimeout bounds the setup of a connection. Source: PROTOCOL.md, "Answers".
const connectTimeout = time.Second

// maxIdleTime is how long a client keeps an idle connection: four fifths of the configuration's idleTimeoutMs.
const maxIdleTime = 12 * time.Second

// connect opens a connection to a node.
func connect(node *Node) (*connection, error) {
	conn, err := net.DialTimeout("tcp", node.Front(), connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), node: node}, nil
}

// usable reports whether the connection exists and may carry another request.
func (c *connection) usable(now time.Time) bool {
	return c != nil && now.Sub(c.idleSince) < maxIdleTime
}

// request is a request of a client.
type request struct {
	method  string
	uri     string
	body    []byte
	headers []header
}

type header struct{ name, value string }

// bytes is the request in its wire format.
func (r *request) bytes() []byte {
	var text bytes.Buffer
	text.WriteString(r.method + " " + r.uri + " HTTP/1.1\r\nHost: " + routeHost + "\r\n")
	for _, h := range r.headers {
		text.WriteString(h.name + ": " + h.value + "\r\n")
	}
	if r.method != http.MethodGet {
		text.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	text.WriteString("\r\n")
	text.Write(r.body)
	return text.Bytes()
}

// exchange sends a request and reads the header of the answer. sentAt is when the last byte was written; zero: it was not.
func (c *connection) exchange(r *request, deadline time.Time) (answer *http.Response, sentAt time.Time, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, time.Time{}, err
	}
	if _, err := c.Write(r.bytes()); err != nil {
		return nil, time.Time{}, err
	}
	sentAt = time.Now()
	answer, err = http.ReadResponse(c.reader, &http.Request{Method: r.method})
	return answer, sentAt, err
}

// finishExchange records the end of an exchange, and reports whether the connection may be kept.
func (c *connection) finishExchange(answer *http.Response) bool {
	c.requestCount++
	c.idleSince = time.Now()
	return !answer.Close
}
