package fleet

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// connection is one of a client's. net/http's own client repeats requests by itself, so it is not used here.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	node      *Node
	served    int       // requests
	restedAt  time.Time // the end of the last one
	mayRestIn time.Duration
}

// connectTimeout is how long a new connection may take to come up (PROTOCOL.md, "Answers").
const connectTimeout = time.Second

// longestRest is four fifths of the configuration's idleTimeoutMs: how long a connection may rest.
const longestRest = 12 * time.Second

func connect(node *Node) (*connection, error) {
	conn, err := net.DialTimeout("tcp", node.Front(), connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn), node: node, mayRestIn: longestRest}, nil
}

// usable reports whether the connection may take one more request.
func (c *connection) usable(now time.Time) bool {
	return c != nil && now.Sub(c.restedAt) < c.mayRestIn
}

// request is what a client sends.
type request struct {
	method  string
	uri     string
	body    []byte
	headers []header
}

type header struct{ name, value string }

// bytes is the request on the wire.
func (r *request) bytes() []byte {
	var text bytes.Buffer
	text.WriteString(r.method + " " + r.uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
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

// exchange sends a request and reads the head of the answer. sentAt is when the last byte was written; zero: it was not.
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

// rest notes the end of an exchange; it reports whether the connection may be kept.
func (c *connection) rest(answer *http.Response) bool {
	c.served++
	c.restedAt = time.Now()
	return !answer.Close
}
