package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/node/connlimit"
)

// Bounds of what a refused client is still read for, so that the answer isn't lost in a reset.
const (
	lingerTime     = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// minHeadBuffer is the least capacity of the buffer for a head that arrives in several reads.
const minHeadBuffer = 1 << 10

// refusal is the answer to a head that is not handed to net/http.
type refusal struct {
	status     int
	retryAfter time.Duration // 0: the client is not to repeat the request
}

// readHead reads a head until it is complete, and hands it to net/http only then: what net/http takes up for a head in parts has no
// bound that the configuration knows. A head that arrives at once is not copied.
func (c *clientConn) readHead(into []byte) (int, error) {
	for {
		c.applyReadDeadline()
		count, err := c.fetch(into)
		if count == 0 {
			return 0, err
		}
		taken, scanErr := c.scanner.scan(into[:count])
		c.unread(into[taken:count])
		c.checkScan(scanErr)
		complete := c.scanner.current.headComplete || !c.scanner.inHead()
		if refused := c.checkHead(into[:taken], complete); refused != nil {
			return 0, c.refuse(refused, into)
		}
		if !complete {
			c.place.SetState(connlimit.ReceivingHead)
			continue
		}
		if len(c.head) == 0 {
			return taken, nil
		}
		return c.takeHead(into)
	}
}

// checkHead accounts for more bytes of a head, and keeps them unless they are all of it. The result says why the head is refused.
func (c *clientConn) checkHead(part []byte, complete bool) *refusal {
	if c.scanner.headBytesSoFar() > c.limits.maxHeadBytes() {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge}
	}
	if (!complete || len(c.head) > 0) && !c.keepHead(part) {
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: c.limits.retryAfter}
	}
	if complete && !c.countParsedHead() {
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: c.limits.retryAfter}
	}
	return nil
}

// keepHead appends to the head that is kept until it is complete. It reports false where the memory for that is used up, even after
// another connection has given way. What it takes counts twice: the scanner keeps a line as well.
func (c *clientConn) keepHead(part []byte) bool {
	if needed := len(c.head) + len(part); needed > cap(c.head) {
		capacity := max(needed, cap(c.head)+cap(c.head)/2, minHeadBuffer)
		more := 2 * int64(capacity-cap(c.head))
		if !c.limits.partialHeads.take(more) && !(c.place.EvictHead() && c.limits.partialHeads.take(more)) {
			return false
		}
		c.keptBytes += more
		c.head = append(make([]byte, 0, capacity), c.head...)
	}
	c.head = append(c.head, part...)
	return true
}

// takeHead hands over the next part of the complete head.
func (c *clientConn) takeHead(into []byte) (int, error) {
	count := copy(into, c.head[c.headTaken:])
	c.headTaken += count
	if c.headTaken == len(c.head) {
		c.releaseKeptHead()
	}
	return count, nil
}

// releaseKeptHead frees the head that was kept.
func (c *clientConn) releaseKeptHead() {
	c.limits.partialHeads.give(c.keptBytes)
	c.head, c.headTaken, c.keptBytes = nil, 0, 0
}

// countParsedHead counts the memory of the complete head until the end of its request. It reports false where there is none.
func (c *clientConn) countParsedHead() bool {
	size := parsedHeadBytes(c.scanner.current)
	if !c.limits.parsedHeads.take(size) {
		return false
	}
	c.parsedBytes += size
	return true
}

// releaseParsedHead ends the counting of countParsedHead.
func (c *clientConn) releaseParsedHead() {
	c.limits.parsedHeads.give(c.parsedBytes)
	c.parsedBytes = 0
}

// releaseCounts ends all counting at the end of the connection. It leaves the head itself alone: net/http may still be reading in the
// background, which looks at it, but counts nothing.
func (c *clientConn) releaseCounts() {
	c.limits.partialHeads.give(c.keptBytes)
	c.keptBytes = 0
	c.releaseParsedHead()
}

// refuse answers a head that is not handed to net/http, and reads what the client still sends for a bounded time. It returns the error
// that ends the connection.
func (c *clientConn) refuse(refused *refusal, scratch []byte) error {
	c.readErr = io.EOF
	c.releaseKeptHead()
	c.pipelined = nil
	c.limits.refused(refused.status)
	answer := "HTTP/1.1 " + strconv.Itoa(refused.status) + " " + http.StatusText(refused.status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if refused.retryAfter > 0 {
		answer += headerRetryAfter + ": " + formatSeconds(refused.retryAfter) + "\r\n"
	}
	_ = c.TCPConn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.TCPConn, answer+"\r\n"); err != nil {
		return io.EOF
	}
	_ = c.TCPConn.CloseWrite()
	for read := 0; read < maxLingerBytes; {
		count, err := c.TCPConn.Read(scratch)
		if err != nil {
			break
		}
		read += count
	}
	return io.EOF
}
