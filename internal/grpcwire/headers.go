package grpcwire

import (
	"math"
	"strconv"
	"strings"

	"kestrelspread/internal/h2"
)

// Header fields that are read or written here.
const (
	statusHeader           = "grpc-status"
	messageHeader          = "grpc-message"
	timeoutHeader          = "grpc-timeout"
	pushbackHeader         = "grpc-retry-pushback-ms"
	previousAttemptsHeader = "grpc-previous-rpc-attempts"
	contentLengthHeader    = "content-length"
	teHeader               = "te"

	contentTypeGRPC = "application/grpc"
	// noRetryPushback is the value of grpc-retry-pushback-ms by which a server forbids retries.
	noRetryPushback = "-1"
)

// FirstValue returns the value of the first field with a name.
func FirstValue(fields []h2.Field, name string) (string, bool) {
	for i := range fields {
		if fields[i].Name == name {
			return fields[i].Value, true
		}
	}
	return "", false
}

// RetryPushback reads a server's pushback (A6), in ms: no retry before that time. Below 0, which
// stands for an unreadable value too, there must be no retry.
func RetryPushback(fields []h2.Field) (ms float64, found bool) {
	value, found := FirstValue(fields, pushbackHeader)
	if !found {
		return 0, false
	}
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < 0 {
		return -1, true
	}
	return float64(n), true
}

// IsRetry reports whether a call's client says that it made attempts before this one (A6).
func IsRetry(lookup func(name string) (string, bool)) bool {
	value, found := lookup(previousAttemptsHeader)
	n, err := strconv.ParseUint(value, 10, 32)
	return found && err == nil && n > 0
}

// IsGRPCContentType reports whether a content-type is one of gRPC's.
func IsGRPCContentType(contentType string) bool {
	rest, ok := strings.CutPrefix(strings.ToLower(contentType), contentTypeGRPC)
	return ok && (rest == "" || rest[0] == '+' || rest[0] == ';')
}

// ForwardedRequestHeaders returns the header section for a server: the client's, without the fields
// that belong to its hop, and with the timeout that is left, in ms. previousAttempts of this side
// count on top of those that the client reports.
func ForwardedRequestHeaders(fields []h2.Field, timeout float64, previousAttempts int) []h2.Field {
	forwarded := make([]h2.Field, 0, len(fields)+2)
	for _, field := range fields {
		switch field.Name {
		case teHeader, timeoutHeader, contentLengthHeader:
		case previousAttemptsHeader:
			if n, err := strconv.Atoi(field.Value); err == nil && n > 0 {
				previousAttempts += n
			}
		default:
			forwarded = append(forwarded, field)
		}
	}
	forwarded = append(forwarded,
		h2.Field{Name: teHeader, Value: "trailers"},
		h2.Field{Name: timeoutHeader, Value: FormatTimeout(timeout)})
	if previousAttempts > 0 {
		value := strconv.Itoa(previousAttempts)
		forwarded = append(forwarded, h2.Field{Name: previousAttemptsHeader, Value: value})
	}
	return forwarded
}

// ForwardedResponseHeaders returns a server's fields for the client, without those that belong to the
// server's hop.
func ForwardedResponseHeaders(fields []h2.Field) []h2.Field {
	forwarded := make([]h2.Field, 0, len(fields))
	for _, field := range fields {
		if field.Name != contentLengthHeader {
			forwarded = append(forwarded, field)
		}
	}
	return forwarded
}

// AppendTrailers appends a status of this side. pushback, in ms, advises the client when to retry;
// below 0 it must not retry, and 0 is no advice.
func AppendTrailers(fields []h2.Field, status Status, message string, pushback float64) []h2.Field {
	fields = append(fields, h2.Field{Name: statusHeader, Value: strconv.Itoa(int(status))})
	if message != "" {
		fields = append(fields, h2.Field{Name: messageHeader, Value: EncodeMessage(message)})
	}
	return AppendPushback(fields, pushback)
}

// AppendPushback appends the advice of AppendTrailers alone.
func AppendPushback(fields []h2.Field, pushback float64) []h2.Field {
	switch {
	case pushback > 0:
		value := strconv.Itoa(int(math.Ceil(pushback)))
		return append(fields, h2.Field{Name: pushbackHeader, Value: value})
	case pushback < 0:
		return append(fields, h2.Field{Name: pushbackHeader, Value: noRetryPushback})
	}
	return fields
}

// NewResponseHeaders returns the header section of a response of this side.
func NewResponseHeaders() []h2.Field {
	return []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: contentTypeGRPC}}
}
