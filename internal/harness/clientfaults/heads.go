package clientfaults

import "time"

const (
	// heldHeadBytes is the size of a head that is sent in part and held: far over any limit.
	heldHeadBytes = 1 << 20
	// slowBytePause is the time between bytes of a client that sends one at a time.
	slowBytePause = 5 * time.Millisecond
)

// Silent connects and says nothing.
var Silent = Behaviour{Name: "silent"}

// HTTPHeads are behaviours of HTTP/1.1 clients up to the end of a head, for any server. request is a complete request without a body
// that the server answers.
func HTTPHeads(request string) []Behaviour {
	return []Behaviour{
		Silent,
		{Name: "one line of a head held", Opening: "GET / HTTP/1.1\r\na: ", Next: repeated("x", heldHeadBytes)},
		{Name: "short fields held", Opening: "GET / HTTP/1.1\r\n", Next: repeated(shortFields(), heldHeadBytes)},
		{Name: "request line without end", Opening: "GET /", Next: endless("x")},
		{Name: "field without end", Opening: "GET / HTTP/1.1\r\na: ", Next: endless("x")},
		{Name: "fields without end", Opening: "GET / HTTP/1.1\r\n", Next: endless(shortFields())},
		{Name: "empty lines without end", Next: endless("\r\n")},
		{Name: "one byte at a time", Next: byteByByte(request), Pause: slowBytePause},
		{Name: "half closed", Opening: request, ClosesWriting: true, IgnoresAnswers: true},
		{Name: "requests ahead", Next: endless(request), IgnoresAnswers: true},
	}
}

// HTTPBodies are behaviours of HTTP/1.1 clients after a head that is within the limits. lines is the head of a request with a body, up to
// its framing; bodyBytes is the longest body that is allowed.
func HTTPBodies(lines string, bodyBytes int) []Behaviour {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	return []Behaviour{
		{Name: "body held", Opening: lines + contentLength(bodyBytes), Next: repeated("x", bodyBytes-1)},
		{Name: "body announced", Opening: lines + contentLength(bodyBytes)},
		{Name: "chunked body held", Opening: lines + chunked + "fffffff\r\n", Next: repeated("x", bodyBytes-1)},
		{Name: "chunks of one byte without end", Opening: lines + chunked, Next: endless("1\r\nx\r\n")},
		{Name: "extension of a chunk without end", Opening: lines + chunked + "1;a=", Next: endless("x")},
		{Name: "trailer field without end", Opening: lines + chunked + "1\r\nx\r\n0\r\na: ", Next: endless("x")},
		{Name: "trailer fields without end", Opening: lines + chunked + "1\r\nx\r\n0\r\n", Next: endless(shortFields())},
	}
}

// FieldsUnderWay sends a head of so many short fields, within the limits, and holds the request by not sending its body.
func FieldsUnderWay(lines string, fields int) Behaviour {
	return Behaviour{Name: "fields of requests under way", Opening: lines + manyNames(fields) + contentLength(1)}
}
