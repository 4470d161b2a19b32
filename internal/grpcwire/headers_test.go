package grpcwire

import (
	"testing"

	"kestrelspread/internal/h2"
)

func TestRequestHeadersAreForwarded(t *testing.T) {
	in := []h2.Field{{Name: ":path", Value: "/a/b"}, {Name: "te", Value: "trailers"}, {Name: "grpc-timeout", Value: "1S"},
		{Name: "content-length", Value: "5"}, {Name: "grpc-encoding", Value: "gzip"}, {Name: "x", Value: "1"}, {Name: "x", Value: "2"},
		{Name: "grpc-previous-rpc-attempts", Value: "2"}}
	out := ForwardedRequestHeaders(in, 20, 1)
	count := map[string]int{}
	for _, f := range out {
		count[f.Name]++
	}
	attempts, _ := FirstValue(out, "grpc-previous-rpc-attempts")
	timeout, _ := FirstValue(out, "grpc-timeout")
	if count["x"] != 2 || count["te"] != 1 || count["content-length"] != 0 || count["grpc-timeout"] != 1 || attempts != "3" || timeout != "20000u" {
		t.Error(out)
	}
}

func TestRetriesOfTheClientAreRecognised(t *testing.T) {
	for v, want := range map[string]bool{"": false, "0": false, "1": true, "7": true, "-1": false, "x": false} {
		if IsRetry(func(string) (string, bool) { return v, v != "" }) != want {
			t.Errorf("%q: want %v", v, want)
		}
	}
}
