package voter

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the clock where the system's can't be read.
var processStart = time.Now()

// Now is a steady clock, in ms, that goes on while the machine is suspended: one that stopped
// would let a lease outlive its time.
func Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return float64(time.Since(processStart).Microseconds()) / 1000
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

// randomID draws an id that has never been drawn, but for a probability of 2^-64. It is not 0.
func randomID() uint64 {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			panic(err) // the system's random source does not fail
		}
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}
