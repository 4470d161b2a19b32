package grpcwire

import (
	"math"
	"strconv"
)

// maxTimeoutValue is the largest number that the eight digits of grpc-timeout hold.
const maxTimeoutValue = 99999999

// timeoutUnits are those that FormatTimeout uses, from the finest to the coarsest.
var timeoutUnits = [...]struct {
	suffix       string
	milliseconds float64
}{{"u", 1e-3}, {"m", 1}, {"S", 1e3}, {"M", 60e3}, {"H", 3600e3}}

// ParseTimeout reads the value of grpc-timeout: at most eight digits and a unit.
func ParseTimeout(value string) (ms float64, ok bool) {
	if len(value) < 2 || len(value) > 9 {
		return 0, false
	}
	n := 0.0
	for i := range len(value) - 1 {
		if value[i] < '0' || value[i] > '9' {
			return 0, false
		}
		n = 10*n + float64(value[i]-'0')
	}
	switch value[len(value)-1] {
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

// FormatTimeout writes a duration for grpc-timeout, rounded down, in the finest unit that holds it.
// Below 0 it writes 0.
func FormatTimeout(ms float64) string {
	for _, unit := range timeoutUnits {
		if n := math.Floor(max(ms, 0) / unit.milliseconds); n <= maxTimeoutValue {
			return strconv.Itoa(int(n)) + unit.suffix
		}
	}
	return strconv.Itoa(maxTimeoutValue) + "H"
}
