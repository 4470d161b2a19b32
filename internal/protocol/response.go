package protocol

import (
	"strconv"
)

// reasonPhrases maps the status codes that an aggregator sends to their reason phrases.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// ContinueResponse is the interim response that asks a client for the body of its request.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendResponse appends a whole response. If closeConnection is set, it tells the client that the
// connection is closed after it. retryAfter is in milliseconds; 0 leaves the Retry-After header out.
func AppendResponse(dst []byte, status int, contentType string, closeConnection bool, retryAfter float64, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(append(dst, ' '), reasonPhrases[status]...)
	dst = append(append(dst, "\r\nContent-Type: "...), contentType...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendFloat(dst, retryAfter/1000, 'f', 3, 64)
	}
	if closeConnection {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return append(append(dst, "\r\n\r\n"...), body...)
}

// appendString appends s as a JSON string. Bytes that are not valid UTF-8 are copied unchanged.
func appendString(dst, s []byte) []byte {
	dst = append(dst, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			dst = append(dst, '\\', c)
		case c < ' ':
			dst = append(dst, '\\', 'u', '0', '0', "0123456789abcdef"[c>>4], "0123456789abcdef"[c&15])
		default:
			dst = append(dst, c)
		}
	}
	return append(dst, '"')
}

// BeginAnswer appends the start of the JSON body that answers a search; complete states whether all shards
// contributed. AppendMatch then adds the values, and EndAnswer ends the body.
func BeginAnswer(dst []byte, complete bool) []byte {
	dst = append(dst, `{"all_in":`...)
	dst = strconv.AppendBool(dst, complete)
	return append(dst, `,"matches":[`...)
}

// AppendMatch appends the value of one shard to an answer that BeginAnswer started.
func AppendMatch(dst []byte, shard int, value []byte) []byte {
	if dst[len(dst)-1] != '[' {
		dst = append(dst, ',')
	}
	dst = append(dst, `{"segment":`...)
	dst = strconv.AppendInt(dst, int64(shard), 10)
	dst = append(dst, `,"payload":`...)
	return append(appendString(dst, value), '}')
}

// EndAnswer appends the end of the body that BeginAnswer started.
func EndAnswer(dst []byte) []byte { return append(dst, "]}"...) }
