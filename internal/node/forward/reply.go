package forward

import (
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/node/forward/upstream"
)

// forwardHead sets the headers of a broker's answer on the client's.
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

func contains(names []string, name string) bool {
	for _, candidate := range names {
		if candidate == name {
			return true
		}
	}
	return false
}

// newHeader begins the head of an answer. Headers with no values keep net/http from adding its own.
func (c *call) newHeader() http.Header {
	header := c.writer.Header()
	header["Date"] = nil
	header["Content-Type"] = nil
	if c.proxy.draining.Load() {
		header["Connection"] = []string{"close"}
	}
	return header
}

// deny answers a request that is not taken. It returns false, for the caller to pass on.
func (c *call) deny(why *denial) bool {
	c.proxy.counters.denied.Add(1)
	if why == deniedFraming {
		c.proxy.counters.badFraming.Add(1)
	}
	header := c.newHeader()
	if why.closeConnection {
		header["Connection"] = []string{"close"}
	}
	c.writeOwnAnswer(header, why.status)
	return false
}

// reject answers that the request has not run and never will, and when to come again. It returns false.
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

// ownAnswerTimeout is how long an answer of our own may take to be written: also one that is given at the deadline must come out.
const ownAnswerTimeout = time.Second

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

// bodyUnread reports whether the body has not come, and was not read.
func (c *call) bodyUnread() bool {
	return c.body == nil && c.client != nil && !c.client.requestComplete
}

// abort breaks the client's connection off, so that an answer that has begun never looks complete.
func (c *call) abort() {
	c.proxy.counters.aborted.Add(1)
	panic(http.ErrAbortHandler)
}

// lengthHeader gives a Content-Length.
func lengthHeader(length int64) []string { return []string{strconv.FormatInt(length, 10)} }
