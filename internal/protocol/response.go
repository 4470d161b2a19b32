package protocol

import (
	"strconv"
)

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// Continue tells a client that its body is wanted.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// AppendResponse writes a whole response; back, in milliseconds, is the time to come back, 0 for
// none.
func AppendResponse(dst []byte, status int, kind string, last bool, back float64, body []byte) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(append(dst, ' '), reasonPhrases[status]...)
	dst = append(append(dst, "\r\nContent-Type: "...), kind...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if back > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendFloat(dst, back/1000, 'f', 3, 64)
	}
	if last {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return append(append(dst, "\r\n\r\n"...), body...)
}

// appendString writes bytes as a JSON string; what is no text stays as it is.
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

// AppendAnswer begins an answer's body, AppendMatch adds a part's value, EndAnswer ends it.
func AppendAnswer(dst []byte, allIn bool) []byte {
	dst = append(dst, `{"all_in":`...)
	dst = strconv.AppendBool(dst, allIn)
	return append(dst, `,"matches":[`...)
}

// AppendMatch appends the value of one shard to an answer that is being written.
func AppendMatch(dst []byte, shard int, value []byte) []byte {
	if dst[len(dst)-1] != '[' {
		dst = append(dst, ',')
	}
	dst = append(dst, `{"segment":`...)
	dst = strconv.AppendInt(dst, int64(shard), 10)
	dst = append(dst, `,"payload":`...)
	return append(appendString(dst, value), '}')
}

// EndAnswer appends the end of an answer.
func EndAnswer(dst []byte) []byte { return append(dst, "]}"...) }
