package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/node/connlimit"
	"kestrelspread/internal/node/forward/upstream"
)

// forwardHead copies the end-to-end headers of a broker's answer to the client's.
func (c *call) forwardHead(answer *upstream.Answer) http.Header {
	header := c.newHeader()
	named := connectionHeaders(answer.Header)
	for name, values := range answer.Header {
		if isHopByHop(name) || isFleetInternal(name) || contains(named, name) || name == "Content-Length" {
			continue
		}
		header[name] = values
	}
	if c.request.Method == http.MethodHead {
		if length, ok := answer.Header["Content-Length"]; ok {
			header["Content-Length"] = length
		}
	}
	return header
}

// contains reports whether the name is in the list.
func contains(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}

// newHeader starts the head of an answer. Headers with no values keep net/http from adding its own.
func (c *call) newHeader() http.Header {
	header := c.writer.Header()
	header["Date"] = nil
	header["Content-Type"] = nil
	if c.proxy.draining.Load() {
		header["Connection"] = []string{"close"}
	}
	return header
}

// deny answers a request that is not accepted, with 4xx. It returns false, for the caller to
// return.
func (c *call) deny(why *denial) bool {
	c.proxy.counters.denied.Add(1)
	if why == deniedFraming {
		c.proxy.counters.badFraming.Add(1)
	}
	c.slowDenial()
	header := c.newHeader()
	if why.closeConnection {
		header["Connection"] = []string{"close"}
	}
	c.writeOwnAnswer(header, why.status)
	return false
}

const (
	// promptDenials of a connection in a row are answered at once.
	promptDenials = 8
	// denialPause is the time before each further one.
	denialPause = 100 * time.Millisecond
)

// slowDenial waits where one denial follows another on a connection: a client that sends requests ahead, none of which is accepted, must
// not take the processor from others. Meanwhile its connection may give way to another one.
func (c *call) slowDenial() {
	if c.client == nil {
		return
	}
	c.client.denials++
	if c.client.denials <= promptDenials {
		return
	}
	c.setClientState(connlimit.Idle)
	timer := time.NewTimer(denialPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.request.Context().Done():
	}
}

// reject answers 503: the request has not run and never will, and may be retried after the time
// given. It returns false, for the caller to return.
func (c *call) reject(retryAfter time.Duration) bool {
	c.proxy.counters.rejected.Add(1)
	header := c.newHeader()
	header[headerRetryAfter] = []string{formatSeconds(retryAfter)}
	c.writeOwnAnswer(header, http.StatusServiceUnavailable)
	return false
}

// fail answers without a promise: the request may have run.
func (c *call) fail(status int) {
	c.proxy.counters.failed.Add(1)
	c.writeOwnAnswer(c.newHeader(), status)
}

// ownAnswerTimeout bounds the writing of an answer of the proxy's own; one that is given at the
// deadline must be sent as well.
const ownAnswerTimeout = time.Second

// writeOwnAnswer writes an answer of the proxy's own, which has no body.
func (c *call) writeOwnAnswer(header http.Header, status int) {
	if c.intake.id != "" {
		header[headerRequestID] = []string{c.intake.id}
	}
	header["Content-Length"] = []string{"0"}
	if c.bodyUnread() {
		// Else net/http would wait for the rest of the body before it answers.
		header["Connection"] = []string{"close"}
	}
	c.setWriteDeadline(time.Now().Add(ownAnswerTimeout))
	c.writer.WriteHeader(status)
}

// bodyUnread reports whether the body has not arrived completely, and was not read.
func (c *call) bodyUnread() bool {
	return c.body == nil && c.client != nil && !c.client.requestComplete
}

// abort closes the client's connection, so that an answer that was begun never looks complete. It
// logs why, unless the client has left.
func (c *call) abort(reason error) {
	c.proxy.counters.aborted.Add(1)
	if !errors.Is(reason, errClient) && !c.clientGone() {
		c.proxy.log.warn("forward: answer broken off", "request", c.intake.id, "error", reason)
	}
	panic(http.ErrAbortHandler)
}

// lengthHeader returns the values of Content-Length.
func lengthHeader(length int64) []string { return []string{strconv.FormatInt(length, 10)} }
