package grpcwire

import (
	"math/rand/v2"
	"testing"
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
