package engine

import (
	"github.com/rs/zerolog"
)

const logInterval = 1000.

// limitedLog keeps log lines few: of each kind one a second, with how many were left out.
type limitedLog struct {
	log        zerolog.Logger
	now        float64
	lastAt     map[string]float64
	leftOut    map[string]int64
	suppressed int64
}

func (log *limitedLog) warn(kind, form string, args ...any) {
	log.write(log.log.Warn(), kind, form, args)
}

func (log *limitedLog) info(kind, form string, args ...any) {
	log.write(log.log.Info(), kind, form, args)
}

func (log *limitedLog) fail(what any, stack []byte) {
	log.write(log.log.Error().Str("stack", string(stack)), "an event failed", "%v", []any{what})
}

func (log *limitedLog) write(e *zerolog.Event, kind, form string, args []any) {
	if log.lastAt == nil {
		log.lastAt, log.leftOut = map[string]float64{}, map[string]int64{}
	}
	if at, logged := log.lastAt[kind]; logged && log.now < at+logInterval {
		log.leftOut[kind]++
		log.suppressed++
		e.Discard()
		return
	}
	log.lastAt[kind] = log.now
	if left := log.leftOut[kind]; left > 0 {
		log.leftOut[kind] = 0
		e = e.Int64("left_out", left)
	}
	e.Str("kind", kind).Msgf(form, args...)
}
