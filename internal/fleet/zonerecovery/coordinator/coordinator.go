// Package coordinator is the work of the duty "return": the owner hears what instances see of sites and publishes how far each has come
// back. What that is, is package stage's.
package coordinator

import (
	"context"
	"sync"
	"time"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/voter"
	"kestrelspread/internal/fleet/zonerecovery"
)

// Ears hold what was seen until the owner's next look. On an instance that is not the owner it is let go of.
type Ears struct {
	lock  sync.Mutex
	words []word
}

type word struct {
	who  string
	site int
	lost bool
	at   float64
}

const wordsMost = 4096

// Saw is told what an instance saw of a site, so many milliseconds ago.
func (e *Ears) Saw(who string, site int, lost bool, age float64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.words) >= wordsMost { // what lasts is said again
		e.words = append(e.words[:0], e.words[wordsMost/2:]...)
	}
	e.words = append(e.words, word{who, site, lost, voter.Now() - age})
}

func (e *Ears) take() []word {
	e.lock.Lock()
	defer e.lock.Unlock()
	list := e.words
	e.words = nil
	return list
}

// Job is one owner's work.
type Job struct {
	Ears  *Ears
	Rules zonerecovery.Rules
	Every time.Duration
	pace  *zonerecovery.Pace
}

// Step looks once.
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	now := voter.Now()
	if j.pace == nil {
		j.pace = zonerecovery.New(j.Rules, g.Progress, now)
	}
	for _, w := range j.Ears.take() {
		j.pace.Saw(w.at, w.who, w.site, w.lost)
	}
	if data, changed := j.pace.Turn(now); changed && g.MayAct() {
		return j.Every, g.SaveProgress(ctx, data)
	}
	return j.Every, nil
}
