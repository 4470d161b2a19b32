package statement

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Config holds the operator's settings for statements.
type Config struct {
	// ExpectedInstances are the instances whose closing of each period is waited for.
	ExpectedInstances []string
	// WaitMs is how long after the first instance has closed a period its statement waits for the other expected instances.
	WaitMs int64
}

// Progress records which statements have been published. Each holder of the role passes it on to the next one.
type Progress struct {
	PublishedUpTo  int64              // start of the latest published period, Unix ms
	PublishedParts map[int64][]string // ids of the published parts, by period; only of the latest periods
	Intent         *Intent            // statement to be published next; nil: none has been determined
}

// Intent determines the statement that is published next, so that a further holder publishes the same one.
type Intent struct {
	Period           int64    `json:"period"`            // start of the period, Unix ms
	Parts            []string `json:"parts"`             // ids of the parts
	MissingInstances []string `json:"missing,omitempty"` // expected instances that have not closed the period
	Late             bool     `json:"late,omitempty"`    // the part was closed after the period's statement
}

// EffectKey returns the key by which the receiver recognises the statement, so that it accepts the statement only once.
func (i *Intent) EffectKey() string {
	if i.Late {
		return fmt.Sprintf("late/%d/%s", i.Period, strings.Join(i.Parts, ","))
	}
	return fmt.Sprint("statement/", i.Period)
}

// maxProgressBytes is the maximum length of encoded progress. It is well below the limit of the voters, which store it.
const maxProgressBytes = 12 << 10

// Marshal returns the encoded progress. It leaves out the parts of the oldest periods if the result would exceed maxProgressBytes.
func (p Progress) Marshal() []byte {
	for {
		data := p.encode()
		if len(data) <= maxProgressBytes || len(p.PublishedParts) <= 1 {
			return data
		}
		p.PublishedParts = withoutOldest(p.PublishedParts)
	}
}

// withoutOldest returns a copy of parts without the oldest period. It leaves parts unchanged, as callers share the map.
func withoutOldest(parts map[int64][]string) map[int64][]string {
	oldest := int64(math.MaxInt64)
	for period := range parts {
		oldest = min(oldest, period)
	}
	left := make(map[int64][]string, len(parts))
	for period, ids := range parts {
		if period != oldest {
			left[period] = ids
		}
	}
	return left
}

// IntentPublished returns the progress after the statement of the intent has been published. Intent must not be nil.
func (p Progress) IntentPublished() Progress {
	intent := p.Intent
	parts := map[int64][]string{}
	for period, ids := range p.PublishedParts {
		parts[period] = ids
	}
	parts[intent.Period] = append(slices.Clone(parts[intent.Period]), intent.Parts...)
	return Progress{PublishedUpTo: max(p.PublishedUpTo, intent.Period), PublishedParts: parts}
}

// NextIntent returns the intent of the statement to be published next at the time now (Unix ms), or nil if there is none. An intent
// that progress holds already comes first, then the periods in order, and then late parts if no period is left to be published.
func (c *Collection) NextIntent(progress Progress, config Config, now int64) *Intent {
	if progress.Intent != nil {
		return progress.Intent
	}
	for _, period := range c.sortedPeriods() {
		if period > progress.PublishedUpTo {
			return c.periodIntent(period, config, now) // even if it is nil: a period is never published before an older one
		}
	}
	return c.lateIntent(progress)
}

// periodIntent returns the intent of a period, or nil while it waits for expected instances to close the period.
func (c *Collection) periodIntent(period int64, config Config, now int64) *Intent {
	parts := c.closedPeriods[period]
	intent := &Intent{Period: period}
	firstClosedAt := parts[0].closedAt
	closed := map[string]bool{}
	for _, part := range parts {
		firstClosedAt = min(firstClosedAt, part.closedAt)
		closed[part.instance] = true
		intent.Parts = append(intent.Parts, part.id())
	}
	for _, instance := range config.ExpectedInstances {
		if !closed[instance] {
			intent.MissingInstances = append(intent.MissingInstances, instance)
		}
	}
	if len(intent.MissingInstances) > 0 && now < firstClosedAt+config.WaitMs {
		return nil
	}
	slices.Sort(intent.Parts)
	slices.Sort(intent.MissingInstances)
	return intent
}

// lateIntent returns the intent of a part that was closed after its period's statement, or nil if there is none. It skips periods
// whose parts progress no longer lists, as it can't be determined which parts their statements contain.
func (c *Collection) lateIntent(progress Progress) *Intent {
	for _, period := range c.sortedPeriods() {
		published, known := progress.PublishedParts[period]
		if period > progress.PublishedUpTo || !known {
			continue
		}
		for _, part := range c.closedPeriods[period] {
			if !part.isIn(published) {
				return &Intent{Period: period, Parts: []string{part.id()}, Late: true}
			}
		}
	}
	return nil
}
