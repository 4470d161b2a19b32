package grpcwire

import (
	"math/rand/v2"
	"testing"

	"kestrelspread/internal/h2"
)

func TestTimeoutsAreParsedAndFormatted(t *testing.T) {
	for text, want := range map[string]float64{"1H": 3600e3, "2M": 120e3, "3S": 3000, "250m": 250, "1500u": 1.5, "5000000n": 5,
		"0n": 0, "99999999H": 99999999 * 3600e3} {
		if ms, ok := ParseTimeout(text); !ok || ms < want*0.999999 || ms > want*1.000001 {
			t.Error(text, ms, ok)
		}
	}
	for _, text := range []string{"", "S", "1", "1s", "123456789S", "-1S", "1.5S", " 1S", "1 S", "+1S"} {
		if _, ok := ParseTimeout(text); ok {
			t.Errorf("%q is read", text)
		}
	}
	for range 1000 {
		ms := rand.ExpFloat64() * 1e6
		if got, ok := ParseTimeout(FormatTimeout(ms)); !ok || got > ms*1.000001 || got < ms*0.999-0.01 {
			t.Fatal(ms, FormatTimeout(ms), got)
		}
	}
	if FormatTimeout(-5) != "0u" || FormatTimeout(1e300) != "99999999H" {
		t.Error(FormatTimeout(-5), FormatTimeout(1e300))
	}
}

func TestStatusMessagesArePercentEncoded(t *testing.T) {
	for _, s := range []string{"", "plain", "é%\n", "%41", "100%"} {
		if got := DecodeMessage(EncodeMessage(s)); got != s {
			t.Errorf("%q became %q", s, got)
		}
	}
	if DecodeMessage("%4") != "%4" || DecodeMessage("%zz") != "%zz" {
		t.Error("what can't be read stays")
	}
}

func TestScannerFindsMessagesInAnyFragments(t *testing.T) {
	body := []byte{0, 0, 0, 0, 3, 'a', 'b', 'c', 1, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'x'}
	for range 300 {
		var m MessageScanner
		for rest := body; len(rest) > 0; {
			n := 1 + rand.IntN(len(rest))
			if wrong := m.Feed(rest[:n], 3); wrong != ScanOK {
				t.Fatal(wrong)
			}
			rest = rest[n:]
		}
		if m.CompleteMessages != 3 || !m.AtBoundary() {
			t.Fatal(m)
		}
	}
	var m MessageScanner
	if m.Feed(body[:8], 2) != MessageOverLimit {
		t.Error("over the limit")
	}
	m = MessageScanner{}
	if m.Feed([]byte{2}, 9) != InvalidFlag {
		t.Error("a wrong flag")
	}
	m = MessageScanner{}
	if m.Feed(body[:6], 9); m.AtBoundary() {
		t.Error("half a message")
	}
}

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
