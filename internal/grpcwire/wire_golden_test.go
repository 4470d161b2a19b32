package grpcwire

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/h2"
)

// TestHeaderBlocksKeepTheirFields freezes the fields that are written to servers and to clients.
func TestHeaderBlocksKeepTheirFields(t *testing.T) {
	var text strings.Builder
	add := func(what string, fields []h2.Field) {
		fmt.Fprintf(&text, "%s:\n", what)
		for _, field := range fields {
			fmt.Fprintf(&text, "  %s: %s\n", field.Name, field.Value)
		}
	}
	request := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":path", Value: "/a/b"}, {Name: "te", Value: "trailers"},
		{Name: "grpc-timeout", Value: "1S"}, {Name: "content-length", Value: "5"}, {Name: "x", Value: "1"}, {Name: "x", Value: "2"}}
	add("first attempt", ForwardedRequestHeaders(request, 20.5, 0))
	add("third attempt", ForwardedRequestHeaders(request, 1e9, 2))
	for _, attempts := range []string{"2", "-1", "soon"} {
		tried := append(request[:len(request):len(request)], h2.Field{Name: "grpc-previous-rpc-attempts", Value: attempts})
		add("after "+attempts+" of the client", ForwardedRequestHeaders(tried, -1, 1))
	}
	add("response", ForwardedResponseHeaders([]h2.Field{{Name: ":status", Value: "200"}, {Name: "content-length", Value: "5"}, {Name: "x", Value: "1"}}))
	add("head", NewResponseHeaders())
	add("trailers", AppendTrailers(nil, OK, "", 0))
	add("trailers with advice", AppendTrailers(NewResponseHeaders(), Unavailable, "größer 100%\n", 12.1))
	add("trailers against a retry", AppendTrailers(nil, DataLoss, "plain", -1))
	for _, ms := range []float64{0, 0.0004, 1, 99999.9996, 1e5, 1e8, 1e11, 1e13, 1e18} {
		fmt.Fprintf(&text, "timeout %v: %s\n", ms, FormatTimeout(ms))
	}
	golden.Assert(t, text.String(), "golden/headers.txt")
}

// TestResultsKeepStatusMessageAndOutcome freezes what the client and the policy learn from each way in
// which a stream to a server can end.
func TestResultsKeepStatusMessageAndOutcome(t *testing.T) {
	var text strings.Builder
	add := func(what string, end Result) {
		fmt.Fprintf(&text, "%s: %d %v %q outcome %d\n", what, end.Status, end.Status, end.Message, int(end.Outcome))
	}
	for i, end := range []Result{Unprocessed, NotSent, ConnectFailed, NoStreamAvailable, ServerDraining, NoAddress, ConnectionLost, MalformedResponse, TruncatedMessage, MessageTooLarge, MetadataTooLarge} {
		add(fmt.Sprint("end ", i), end)
	}
	add("no status", ResultFromTrailers(nil, 0, 0))
	for code := -1; code <= int(StatusCount)+1; code++ {
		fields := []h2.Field{{Name: "grpc-status", Value: fmt.Sprint(code)}, {Name: "grpc-message", Value: "a%20b%zz"}}
		add(fmt.Sprint("status ", code), ResultFromTrailers(fields, 0, 0))
		add(fmt.Sprint("rejected unprocessed, status ", code), ResultFromTrailers(fields, 1<<8|1, 0))
		add(fmt.Sprint("after a message, status ", code), ResultFromTrailers(fields, 1<<8|1, 1))
	}
	for _, status := range []string{"200", "400", "401", "403", "404", "429", "500", "502", "503", "504", ""} {
		add("HTTP "+status, ResultFromHTTPStatus(status))
	}
	for code := http2.ErrCodeNo; code <= http2.ErrCodeHTTP11Required+1; code++ {
		add("reset "+code.String(), ResultFromReset(code))
	}
	for _, value := range []string{"", "0", "40", "-1", "soon", "99999999999"} {
		wait, found := RetryPushback([]h2.Field{{Name: "grpc-retry-pushback-ms", Value: value}})
		fmt.Fprintf(&text, "pushback %q: %v %v\n", value, wait, found)
	}
	golden.Assert(t, text.String(), "golden/ends.txt")
}
