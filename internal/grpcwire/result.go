package grpcwire

import (
	"strconv"

	"golang.org/x/net/http2"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/h2"
)

// Result is how an attempt ended, as its server or the connection to it reported.
type Result struct {
	Status  Status         // for the client, if no other attempt follows
	Message string         // the same
	Outcome policy.Outcome // for the policy
}

// outcomeByStatus says what each status tells of its server. An application that rejects a request has
// answered, and its health is not in question. What may come from a fault of the server is an error,
// and the request may have been executed.
var outcomeByStatus = [StatusCount]policy.Outcome{
	OK:                 policy.Answered,
	Cancelled:          policy.Errored,
	Unknown:            policy.Errored,
	InvalidArgument:    policy.Answered,
	DeadlineExceeded:   policy.TimedOut,
	NotFound:           policy.Answered,
	AlreadyExists:      policy.Answered,
	PermissionDenied:   policy.Answered,
	ResourceExhausted:  policy.Errored,
	FailedPrecondition: policy.Answered,
	Aborted:            policy.Answered,
	OutOfRange:         policy.Answered,
	Unimplemented:      policy.Answered,
	Internal:           policy.Errored,
	Unavailable:        policy.Errored,
	DataLoss:           policy.Errored,
	Unauthenticated:    policy.Answered,
}

// Results that no server reports: this side of the connection knows them.
var (
	Unprocessed       = Result{Unavailable, "the server takes no more streams on this connection", policy.NeverSent}
	NotSent           = Result{Unavailable, "the connection broke before the call was sent", policy.NeverSent}
	ConnectFailed     = Result{Unavailable, "no connection to the server", policy.ConnectFailed}
	NoStreamAvailable = Result{Unavailable, "the server's streams are all taken", policy.Rejected}
	ServerDraining    = Result{Unavailable, "the server is draining", policy.NeverSent}
	NoAddress         = Result{Unavailable, "the server has no gRPC address", policy.NeverSent}
	ConnectionLost    = Result{Unavailable, "the connection to the server broke", policy.ConnectionReset}
	MalformedResponse = Result{Internal, "the server sent what is no gRPC message", policy.Errored}
	TruncatedMessage  = Result{Internal, "the server's last message is not whole", policy.Errored}
	MessageTooLarge   = Result{ResourceExhausted, "the server's message is over the limit", policy.Answered}
	MetadataTooLarge  = Result{ResourceExhausted, "the server's metadata is over the limit", policy.Answered}
)

// ResultFromTrailers reads the status in trailers, or in a response of header fields alone.
// rejectedUnprocessed has a bit for each status by which, as the operator knows, the servers of this
// route reject calls before they process anything; it counts only if no message has come.
func ResultFromTrailers(fields []h2.Field, rejectedUnprocessed uint32, messages int) Result {
	code, found := FirstValue(fields, statusHeader)
	if !found {
		return Result{Unknown, "the server closed the stream without a status", policy.Errored}
	}
	result := Result{Status: Unknown, Outcome: policy.Errored}
	number, err := strconv.ParseUint(code, 10, 32)
	if err == nil && number < uint64(StatusCount) {
		result.Status, result.Outcome = Status(number), outcomeByStatus[number]
	}
	if message, found := FirstValue(fields, messageHeader); found {
		result.Message = DecodeMessage(message)
	}
	if result.Status != OK && messages == 0 && rejectedUnprocessed&(1<<result.Status) != 0 {
		result.Outcome = policy.Rejected
	}
	return result
}

// ResultFromHTTPStatus is for a response that isn't gRPC's (http-grpc-status-mapping).
func ResultFromHTTPStatus(status string) Result {
	result := Result{Unknown, "the server answered with HTTP status " + status, policy.Errored}
	switch status {
	case "400":
		result.Status = Internal
	case "401":
		result.Status = Unauthenticated
	case "403":
		result.Status = PermissionDenied
	case "404":
		result.Status = Unimplemented
	case "429", "502", "503", "504":
		result.Status = Unavailable
	case "200":
		result.Message = "the server's content-type is none of gRPC"
	}
	return result
}

// ResultFromReset is for a stream that its server reset (PROTOCOL-HTTP2, "HTTP2 Transport Mapping",
// Errors).
func ResultFromReset(code h2.ErrorCode) Result {
	result := Result{Internal, "the server reset the stream: " + code.String(), policy.Errored}
	switch code {
	case http2.ErrCodeRefusedStream: // not processed (RFC 9113, section 8.7)
		result.Status, result.Outcome = Unavailable, policy.Rejected
	case http2.ErrCodeCancel:
		result.Status = Cancelled
	case http2.ErrCodeEnhanceYourCalm:
		result.Status = ResourceExhausted
	case http2.ErrCodeInadequateSecurity:
		result.Status = PermissionDenied
	case http2.ErrCodeStreamClosed:
		result.Status = Unknown
	}
	return result
}
