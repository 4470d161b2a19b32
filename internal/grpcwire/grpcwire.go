// Package grpcwire is what gRPC over HTTP/2 (its PROTOCOL-HTTP2, statuscodes and A6 retry pages) says of metadata,
// messages, times and statuses, and what each end of a call tells of its server. It is pure.
package grpcwire

import (
	"math"
	"strconv"
	"strings"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/h2"
)

// Status is a gRPC status code.
type Status uint8

// The status codes of gRPC, by their numbers on the wire.
const (
	OK Status = iota
	Cancelled
	Unknown
	InvalidArgument
	DeadlineExceeded
	NotFound
	AlreadyExists
	PermissionDenied
	ResourceExhausted
	FailedPrecondition
	Aborted
	OutOfRange
	Unimplemented
	Internal
	Unavailable
	DataLoss
	Unauthenticated
	StatusCount // how many there are
)

var statusNames = [...]string{"OK", "CANCELLED", "UNKNOWN", "INVALID_ARGUMENT", "DEADLINE_EXCEEDED", "NOT_FOUND", "ALREADY_EXISTS",
	"PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION", "ABORTED", "OUT_OF_RANGE", "UNIMPLEMENTED", "INTERNAL",
	"UNAVAILABLE", "DATA_LOSS", "UNAUTHENTICATED"}

// String gives the status's name as gRPC spells it, or its number.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "UNKNOWN"
}

// StatusByName finds a status by its name in capitals.
func StatusByName(name string) (Status, bool) {
	for i, n := range statusNames {
		if n == name {
			return Status(i), true
		}
	}
	return Unknown, false
}

// Result is how a sub-request ended, as its server or its connection told: what the client is to hear if this is the last
// word, what it tells the module, and why.
type Result struct {
	Status  Status
	Message string
	Outcome policy.Outcome
}

// outcomeByStatus says of each status what it tells. An application that refuses has answered, and its health is not in
// question; whatever may come from the server's own trouble counts as an error that may have run.
var outcomeByStatus = [StatusCount]policy.Outcome{
	OK: policy.Answered, Cancelled: policy.Errored, Unknown: policy.Errored, InvalidArgument: policy.Answered,
	DeadlineExceeded: policy.TimedOut, NotFound: policy.Answered, AlreadyExists: policy.Answered,
	PermissionDenied: policy.Answered, ResourceExhausted: policy.Errored, FailedPrecondition: policy.Answered,
	Aborted: policy.Answered, OutOfRange: policy.Answered, Unimplemented: policy.Answered, Internal: policy.Errored,
	Unavailable: policy.Errored, DataLoss: policy.Errored, Unauthenticated: policy.Answered,
}

// ResultFromTrailers reads a status from trailers, or from the header block of a response that has nothing else. unseen are
// the statuses, a bit each, of which the operator knows that they come before anything has run; that counts only where
// no message came with them.
func ResultFromTrailers(fields []h2.Field, rejectedUnprocessed uint32, messages int) Result {
	code, found := FirstValue(fields, "grpc-status")
	if !found {
		return Result{Unknown, "the server closed the stream without a status", policy.Errored}
	}
	n, err := strconv.ParseUint(code, 10, 32)
	e := Result{Status: Unknown, Outcome: policy.Errored}
	if err == nil && n < uint64(StatusCount) {
		e.Status, e.Outcome = Status(n), outcomeByStatus[n]
	}
	if m, ok := FirstValue(fields, "grpc-message"); ok {
		e.Message = DecodeMessage(m)
	}
	if e.Status != OK && messages == 0 && rejectedUnprocessed&(1<<e.Status) != 0 {
		e.Outcome = policy.Rejected
	}
	return e
}

// ResultFromHTTPStatus is a response that is none of gRPC's, by gRPC's page on HTTP statuses.
func ResultFromHTTPStatus(status string) Result {
	e := Result{Unknown, "the server answered with HTTP status " + status, policy.Errored}
	switch status {
	case "400":
		e.Status = Internal
	case "401":
		e.Status = Unauthenticated
	case "403":
		e.Status = PermissionDenied
	case "404":
		e.Status = Unimplemented
	case "429", "502", "503", "504":
		e.Status = Unavailable
	case "200":
		e.Message = "the server's content-type is none of gRPC"
	}
	return e
}

// ResultFromReset is a stream that its server reset, by gRPC's table of HTTP/2 error codes.
func ResultFromReset(code h2.ErrorCode) Result {
	e := Result{Internal, "the server reset the stream: " + code.String(), policy.Errored}
	switch code {
	case http2.ErrCodeRefusedStream: // it has not been looked at, RFC 9113, 8.7
		e.Status, e.Outcome = Unavailable, policy.Rejected
	case http2.ErrCodeCancel:
		e.Status = Cancelled
	case http2.ErrCodeEnhanceYourCalm:
		e.Status = ResourceExhausted
	case http2.ErrCodeInadequateSecurity:
		e.Status = PermissionDenied
	case http2.ErrCodeStreamClosed:
		e.Status = Unknown
	}
	return e
}

// The other ends.
var (
	Unprocessed       = Result{Unavailable, "the server takes no more streams on this connection", policy.NeverSent}
	NotSent           = Result{Unavailable, "the connection broke before the call was sent", policy.NeverSent}
	ConnectFailed     = Result{Unavailable, "no connection to the server", policy.ConnectFailed}
	NoStreamAvailable = Result{Unavailable, "the server's streams are all taken", policy.Rejected}
	ServerDraining    = Result{Unavailable, "the server is draining", policy.NeverSent}
	NoAddress         = Result{Unavailable, "the server has no gRPC address", policy.NeverSent}
	ConnectionLost    = Result{Unavailable, "the connection to the server broke", policy.Reset}
	MalformedResponse = Result{Internal, "the server sent what is no gRPC message", policy.Errored}
	TruncatedMessage  = Result{Internal, "the server's last message is not whole", policy.Errored}
	MessageTooLarge   = Result{ResourceExhausted, "the server's message is over the limit", policy.Answered}
	MetadataTooLarge  = Result{ResourceExhausted, "the server's metadata is over the limit", policy.Answered}
)

// FirstValue finds a field; of several the first.
func FirstValue(fields []h2.Field, name string) (string, bool) {
	for i := range fields {
		if fields[i].Name == name {
			return fields[i].Value, true
		}
	}
	return "", false
}

// RetryPushback reads a server's wish, in milliseconds: below 0, or not to be read, it wants no repeat.
func RetryPushback(fields []h2.Field) (wait float64, found bool) {
	v, found := FirstValue(fields, "grpc-retry-pushback-ms")
	if !found {
		return 0, false
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 0 {
		return -1, true
	}
	return float64(n), true
}

// IsRetry tells whether a call's client says that it has tried before (A6).
func IsRetry(lookup func(name string) (string, bool)) bool {
	v, found := lookup("grpc-previous-rpc-attempts")
	n, err := strconv.ParseUint(v, 10, 32)
	return found && err == nil && n > 0
}

// ParseTimeout reads grpc-timeout, in milliseconds: at most eight digits and a unit.
func ParseTimeout(v string) (ms float64, ok bool) {
	if len(v) < 2 || len(v) > 9 {
		return 0, false
	}
	n := 0.0
	for i := range len(v) - 1 {
		if v[i] < '0' || v[i] > '9' {
			return 0, false
		}
		n = 10*n + float64(v[i]-'0')
	}
	switch v[len(v)-1] {
	case 'H':
		return n * 3600e3, true
	case 'M':
		return n * 60e3, true
	case 'S':
		return n * 1e3, true
	case 'm':
		return n, true
	case 'u':
		return n / 1e3, true
	case 'n':
		return n / 1e6, true
	}
	return 0, false
}

// FormatTimeout writes a time, rounded down, in the finest unit that holds it.
func FormatTimeout(ms float64) string {
	const most = 99999999
	for _, u := range [...]struct {
		unit string
		ms   float64
	}{{"u", 1e-3}, {"m", 1}, {"S", 1e3}, {"M", 60e3}, {"H", 3600e3}} {
		if n := math.Floor(max(ms, 0) / u.ms); n <= most {
			return strconv.Itoa(int(n)) + u.unit
		}
	}
	return "99999999H"
}

// EncodeMessage writes a message as grpc-message has it.
func EncodeMessage(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c >= ' ' && c <= '~' && c != '%' {
			b.WriteByte(c)
		} else {
			b.WriteByte('%')
			b.WriteByte("0123456789ABCDEF"[c>>4])
			b.WriteByte("0123456789ABCDEF"[c&15])
		}
	}
	return b.String()
}

// DecodeMessage reads it; what can't be read stays as it is.
func DecodeMessage(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if n, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(n))
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

// IsGRPCContentType tells whether a content-type is gRPC's.
func IsGRPCContentType(contentType string) bool {
	rest, ok := strings.CutPrefix(strings.ToLower(contentType), "application/grpc")
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// ForwardedRequestHeaders gives the header block for a server: as the client sent it, without what belongs to its hop. It counts the
// attempts before this one on top of those that the client tells of.
func ForwardedRequestHeaders(fields []h2.Field, timeout float64, attempts int) []h2.Field {
	to := make([]h2.Field, 0, len(fields)+2)
	for _, f := range fields {
		switch f.Name {
		case "te", "grpc-timeout", "content-length":
		case "grpc-previous-rpc-attempts":
			if n, err := strconv.Atoi(f.Value); err == nil && n > 0 {
				attempts += n
			}
		default:
			to = append(to, f)
		}
	}
	to = append(to, h2.Field{Name: "te", Value: "trailers"}, h2.Field{Name: "grpc-timeout", Value: FormatTimeout(timeout)})
	if attempts > 0 {
		to = append(to, h2.Field{Name: "grpc-previous-rpc-attempts", Value: strconv.Itoa(attempts)})
	}
	return to
}

// ForwardedResponseHeaders gives a server's fields for the client, without what belongs to its hop.
func ForwardedResponseHeaders(fields []h2.Field) []h2.Field {
	to := make([]h2.Field, 0, len(fields))
	for _, f := range fields {
		if f.Name != "content-length" {
			to = append(to, f)
		}
	}
	return to
}

// AppendTrailers writes a status of the broker's own. back: above 0 when to come again, below 0 not at all, 0 without advice.
func AppendTrailers(fields []h2.Field, s Status, message string, pushback float64) []h2.Field {
	fields = append(fields, h2.Field{Name: "grpc-status", Value: strconv.Itoa(int(s))})
	if message != "" {
		fields = append(fields, h2.Field{Name: "grpc-message", Value: EncodeMessage(message)})
	}
	if pushback > 0 {
		fields = append(fields, h2.Field{Name: "grpc-retry-pushback-ms", Value: strconv.Itoa(int(math.Ceil(pushback)))})
	} else if pushback < 0 {
		fields = append(fields, h2.Field{Name: "grpc-retry-pushback-ms", Value: "-1"})
	}
	return fields
}

// NewResponseHeaders is the header block of a response of the broker's own.
func NewResponseHeaders() []h2.Field {
	return []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
}

// MessageScanner follows the length-prefixed messages of a body as its bytes come, in whatever pieces.
type MessageScanner struct {
	CompleteMessages int // whole ones
	prefix           [5]byte
	prefixBytes      int
	remaining        int
}

// What Feed finds wrong.
const (
	ScanOK = iota
	InvalidFlag
	MessageOverLimit
)

// Feed reads on. A message over most bytes is found by its head, before any of it has come.
func (m *MessageScanner) Feed(b []byte, maxMessageBytes int) (wrong int) {
	for len(b) > 0 {
		if m.remaining > 0 {
			n := min(m.remaining, len(b))
			m.remaining -= n
			if b = b[n:]; m.remaining == 0 {
				m.CompleteMessages++
			}
			continue
		}
		n := copy(m.prefix[m.prefixBytes:], b)
		m.prefixBytes += n
		b = b[n:]
		if m.prefix[0] > 1 {
			return InvalidFlag
		}
		if m.prefixBytes < len(m.prefix) {
			return ScanOK
		}
		m.prefixBytes = 0
		size := uint64(m.prefix[1])<<24 | uint64(m.prefix[2])<<16 | uint64(m.prefix[3])<<8 | uint64(m.prefix[4])
		if size > uint64(maxMessageBytes) {
			return MessageOverLimit
		}
		if m.remaining = int(size); m.remaining == 0 {
			m.CompleteMessages++
		}
	}
	return ScanOK
}

// AtBoundary tells whether no message has come in part.
func (m *MessageScanner) AtBoundary() bool { return m.prefixBytes == 0 && m.remaining == 0 }
