package engine

import (
	"github.com/rs/zerolog"
)

const logInterval = 1000. // ms between two lines of the same kind

// rateLimitedLog limits the rate of log lines to one per logInterval of each kind. The next line of a
// kind says how many were left out.
type rateLimitedLog struct {
	log              zerolog.Logger
	now              float64            // time of the current turn, in ms of the loop
	lastAt           map[string]float64 // by kind: when the last line was written
	suppressedByKind map[string]int64   // by kind: lines left out since the last one written
	suppressed       int64              // lines left out in total
}

func (log *rateLimitedLog) warn(kind, format string, args ...any) {
	log.write(log.log.Warn(), kind, format, args)
}

func (log *rateLimitedLog) info(kind, format string, args ...any) {
	log.write(log.log.Info(), kind, format, args)
}

// logPanic logs a panic with its stack.
func (log *rateLimitedLog) logPanic(what any, stack []byte) {
	log.write(log.log.Error().Str("stack", string(stack)), "an event failed", "panic: %v", []any{what})
}

// write writes a line, or counts it as suppressed if a line of its kind was written less than
// logInterval ago.
func (log *rateLimitedLog) write(event *zerolog.Event, kind, format string, args []any) {
	if log.lastAt == nil {
		log.lastAt, log.suppressedByKind = map[string]float64{}, map[string]int64{}
	}
	if at, logged := log.lastAt[kind]; logged && log.now < at+logInterval {
		log.suppressedByKind[kind]++
		log.suppressed++
		event.Discard()
		return
	}
	log.lastAt[kind] = log.now
	if left := log.suppressedByKind[kind]; left > 0 {
		log.suppressedByKind[kind] = 0
		event = event.Int64("left_out", left)
	}
	event.Str("kind", kind).Msgf(format, args...)
}
