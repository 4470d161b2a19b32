package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"kestrelspread/internal/node/forward/upstream"
)

// Names of headers, in the form in which net/http keeps them. Source: PROTOCOL.md.
const (
	headerRequestID      = upstream.HeaderRequestID
	headerDeadline       = "X-Kestrelspread-Deadline-Ms"
	headerExpectInstance = "X-Kestrelspread-Expect-Instance"
	headerTenant         = "X-Kestrelspread-Tenant-Id"
	headerModel          = "X-Kestrelspread-Model"
	headerTokenCount     = "X-Kestrelspread-Token-Count"
	headerPromptPrefix   = "X-Kestrelspread-Prompt-Prefix"
	headerSeal           = "X-Kestrelspread-Response-Seal"
	headerNotExecuted    = upstream.HeaderNotExecuted
	headerServerLoad     = "X-Kestrelspread-Server-Load"
	headerInstanceID     = "X-Kestrelspread-Instance-Id"
	headerExpectVersion  = "Expect-Version"
	headerSalt           = "Cache-Salt"
	headerFetch          = "Kv-Fetch"
	headerSave           = "Kv-Save"
	headerPriority       = "Priority"
	headerLastEventID    = "Last-Event-Id"
	headerRetryAfter     = "Retry-After"
)

// isHopByHop reports whether a header concerns a single connection (PROTOCOL.md, "Requests").
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return strings.HasPrefix(name, "Proxy-")
	}
}

// isReplaced reports whether a client's header is not forwarded, because this proxy sets it, or
// because it was meant for this proxy alone.
func isReplaced(name string) bool {
	switch name {
	case headerExpectInstance, headerExpectVersion, headerSalt, headerFetch, headerSave, headerPriority, headerTenant,
		headerDeadline, headerRequestID, "Authorization", "Content-Length", "Expect", "Host":
		return true
	default:
		return false
	}
}

// isFleetInternal reports whether a broker's header is meant for this proxy and not for its client.
func isFleetInternal(name string) bool {
	switch name {
	case headerServerLoad, headerInstanceID, headerNotExecuted:
		return true
	default:
		return false
	}
}

// connectionHeaders lists the headers that Connection declares as hop-by-hop; nil in the usual
// case.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if name != "" && name != "Close" && name != "Keep-Alive" {
				names = append(names, name)
			}
		}
	}
	return names
}

// appendHeader appends one line of a head.
func appendHeader(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// appendNumberHeader appends one line of a head with a number.
func appendNumberHeader(head []byte, name string, value int64) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = strconv.AppendInt(head, value, 10)
	return append(head, "\r\n"...)
}

// formatSeconds formats a duration for Retry-After: in seconds, with fractions.
func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(max(duration.Seconds(), 0), 'f', 3, 64)
}

// parseSeconds parses a Retry-After; 0 where it is missing, invalid, or over an hour.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	const maxSeconds = 3600
	if err != nil || !(seconds > 0) || seconds > maxSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
