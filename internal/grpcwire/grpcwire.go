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
	Statuses // how many there are
)

var names = [...]string{"OK", "CANCELLED", "UNKNOWN", "INVALID_ARGUMENT", "DEADLINE_EXCEEDED", "NOT_FOUND", "ALREADY_EXISTS",
	"PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION", "ABORTED", "OUT_OF_RANGE", "UNIMPLEMENTED", "INTERNAL",
	"UNAVAILABLE", "DATA_LOSS", "UNAUTHENTICATED"}

// String gives the status's name as gRPC spells it, or its number.
func (s Status) String() string {
	if int(s) < len(names) {
		return names[s]
	}
	return "UNKNOWN"
}

// ByName finds a status by its name in capitals.
func ByName(name string) (Status, bool) {
	for i, n := range names {
		if n == name {
			return Status(i), true
		}
	}
	return Unknown, false
}

// End is how a sub-request ended, as its server or its connection told: what the client is to hear if this is the last
// word, what it tells the module, and why.
type End struct {
	Status  Status
	Message string
	How     policy.Outcome
}

// ofStatus says of each status what it tells. An application that refuses has answered, and its health is not in
// question; whatever may come from the server's own trouble counts as an error that may have run.
var ofStatus = [Statuses]policy.Outcome{
	OK: policy.Answered, Cancelled: policy.Errored, Unknown: policy.Errored, InvalidArgument: policy.Answered,
	DeadlineExceeded: policy.TimedOut, NotFound: policy.Answered, AlreadyExists: policy.Answered,
	PermissionDenied: policy.Answered, ResourceExhausted: policy.Errored, FailedPrecondition: policy.Answered,
	Aborted: policy.Answered, OutOfRange: policy.Answered, Unimplemented: policy.Answered, Internal: policy.Errored,
	Unavailable: policy.Errored, DataLoss: policy.Errored, Unauthenticated: policy.Answered,
}

// OfTrailers reads a status from trailers, or from the header block of a response that has nothing else. unseen are
// the statuses, a bit each, of which the operator knows that they come before anything has run; that counts only where
// no message came with them.
func OfTrailers(fields []h2.Field, unseen uint32, messages int) End {
	code, found := Get(fields, "grpc-status")
	if !found {
		return End{Unknown, "the server closed the stream without a status", policy.Errored}
	}
	n, err := strconv.ParseUint(code, 10, 32)
	e := End{Status: Unknown, How: policy.Errored}
	if err == nil && n < uint64(Statuses) {
		e.Status, e.How = Status(n), ofStatus[n]
	}
	if m, ok := Get(fields, "grpc-message"); ok {
		e.Message = Unescape(m)
	}
	if e.Status != OK && messages == 0 && unseen&(1<<e.Status) != 0 {
		e.How = policy.Rejected
	}
	return e
}

// OfHTTP is a response that is none of gRPC's, by gRPC's page on HTTP statuses.
func OfHTTP(status string) End {
	e := End{Unknown, "the server answered with HTTP status " + status, policy.Errored}
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

// OfReset is a stream that its server reset, by gRPC's table of HTTP/2 error codes.
func OfReset(code h2.Code) End {
	e := End{Internal, "the server reset the stream: " + code.String(), policy.Errored}
	switch code {
	case http2.ErrCodeRefusedStream: // it has not been looked at, RFC 9113, 8.7
		e.Status, e.How = Unavailable, policy.Rejected
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
	Unprocessed = End{Unavailable, "the server takes no more streams on this connection", policy.NeverSent}
	NeverBegun  = End{Unavailable, "the connection broke before the call was sent", policy.NeverSent}
	NoConnect   = End{Unavailable, "no connection to the server", policy.ConnectFailed}
	NoPlace     = End{Unavailable, "the server's streams are all taken", policy.Rejected}
	Withdrawn   = End{Unavailable, "the server is draining", policy.NeverSent}
	NoAddress   = End{Unavailable, "the server has no gRPC address", policy.NeverSent}
	Broken      = End{Unavailable, "the connection to the server broke", policy.Reset}
	Malformed   = End{Internal, "the server sent what is no gRPC message", policy.Errored}
	CutShort    = End{Internal, "the server's last message is not whole", policy.Errored}
	TooLong     = End{ResourceExhausted, "the server's message is over the limit", policy.Answered}
	HeadTooLong = End{ResourceExhausted, "the server's metadata is over the limit", policy.Answered}
)

// Get finds a field; of several the first.
func Get(fields []h2.Field, name string) (string, bool) {
	for i := range fields {
		if fields[i].Name == name {
			return fields[i].Value, true
		}
	}
	return "", false
}

// Pushback reads a server's wish, in milliseconds: below 0, or not to be read, it wants no repeat.
func Pushback(fields []h2.Field) (wait float64, found bool) {
	v, found := Get(fields, "grpc-retry-pushback-ms")
	if !found {
		return 0, false
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 0 {
		return -1, true
	}
	return float64(n), true
}

// Repeated tells whether a call's client says that it has tried before (A6).
func Repeated(look func(name string) (string, bool)) bool {
	v, found := look("grpc-previous-rpc-attempts")
	n, err := strconv.ParseUint(v, 10, 32)
	return found && err == nil && n > 0
}

// Timeout reads grpc-timeout, in milliseconds: at most eight digits and a unit.
func Timeout(v string) (ms float64, ok bool) {
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

// Escape writes a message as grpc-message has it.
func Escape(s string) string {
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

// Unescape reads it; what can't be read stays as it is.
func Unescape(s string) string {
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

// IsGRPC tells whether a content-type is gRPC's.
func IsGRPC(kind string) bool {
	rest, ok := strings.CutPrefix(strings.ToLower(kind), "application/grpc")
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// Onward gives the header block for a server: as the client sent it, without what belongs to its hop. It counts the
// attempts before this one on top of those that the client tells of.
func Onward(fields []h2.Field, timeout float64, attempts int) []h2.Field {
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

// Backward gives a server's fields for the client, without what belongs to its hop.
func Backward(fields []h2.Field) []h2.Field {
	to := make([]h2.Field, 0, len(fields))
	for _, f := range fields {
		if f.Name != "content-length" {
			to = append(to, f)
		}
	}
	return to
}

// Trailers writes a status of the broker's own. back: above 0 when to come again, below 0 not at all, 0 without advice.
func Trailers(to []h2.Field, s Status, message string, back float64) []h2.Field {
	to = append(to, h2.Field{Name: "grpc-status", Value: strconv.Itoa(int(s))})
	if message != "" {
		to = append(to, h2.Field{Name: "grpc-message", Value: Escape(message)})
	}
	if back > 0 {
		to = append(to, h2.Field{Name: "grpc-retry-pushback-ms", Value: strconv.Itoa(int(math.Ceil(back)))})
	} else if back < 0 {
		to = append(to, h2.Field{Name: "grpc-retry-pushback-ms", Value: "-1"})
	}
	return to
}

// Head is the header block of a response of the broker's own.
func Head() []h2.Field {
	return []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
}

// Scan follows the length-prefixed messages of a body as its bytes come, in whatever pieces.
type Scan struct {
	Messages int // whole ones
	head     [5]byte
	have     int
	left     int
}

// What Feed finds wrong.
const (
	Sound = iota
	BadFlag
	Over
)

// Feed reads on. A message over most bytes is found by its head, before any of it has come.
func (m *Scan) Feed(b []byte, most int) (wrong int) {
	for len(b) > 0 {
		if m.left > 0 {
			n := min(m.left, len(b))
			m.left -= n
			if b = b[n:]; m.left == 0 {
				m.Messages++
			}
			continue
		}
		n := copy(m.head[m.have:], b)
		m.have += n
		b = b[n:]
		if m.head[0] > 1 {
			return BadFlag
		}
		if m.have < len(m.head) {
			return Sound
		}
		m.have = 0
		size := uint64(m.head[1])<<24 | uint64(m.head[2])<<16 | uint64(m.head[3])<<8 | uint64(m.head[4])
		if size > uint64(most) {
			return Over
		}
		if m.left = int(size); m.left == 0 {
			m.Messages++
		}
	}
	return Sound
}

// Between tells whether no message has come in part.
func (m *Scan) Between() bool { return m.have == 0 && m.left == 0 }
