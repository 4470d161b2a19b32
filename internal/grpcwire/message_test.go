package grpcwire

import "testing"

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
