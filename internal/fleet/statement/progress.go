package statement

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Config is the operator's.
type Config struct {
	ExpectedInstances []string
	// WaitMs after the first instance has closed a period it is published without those that have not.
	WaitMs int64
}

// Progress is how far the work has come. It goes from holder to holder of the role.
type Progress struct {
	PublishedUpTo  int64              // the latest period that is published
	PublishedParts map[int64][]string // by period, the latest ones: which parts their statements are made of
	Intent         *Intent            // nil: nothing is fixed
}

// Intent is what is published next.
type Intent struct {
	Period           int64    `json:"period"`
	Parts            []string `json:"parts"`
	MissingInstances []string `json:"missing,omitempty"`
	Late             bool     `json:"late,omitempty"`
}

// EffectKey is the key under which the receiver takes the statement once.
func (i *Intent) EffectKey() string {
	if i.Late {
		return fmt.Sprintf("late/%d/%s", i.Period, strings.Join(i.Parts, ","))
	}
	return fmt.Sprint("statement/", i.Period)
}

// maxProgressBytes is well under what voters keep of a role's progress.
const maxProgressBytes = 12 << 10

// Marshal writes progress. The oldest periods' parts are forgotten where it would be too long.
func (p Progress) Marshal() []byte {
	for {
		data := p.encode()
		if len(data) <= maxProgressBytes || len(p.PublishedParts) <= 1 {
			return data
		}
		p.PublishedParts = withoutOldest(p.PublishedParts)
	}
}

// withoutOldest copies, as callers share the map.
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

// IntentPublished returns the progress once the intent is published.
func (p Progress) IntentPublished() Progress {
	intent := p.Intent
	parts := map[int64][]string{}
	for period, ids := range p.PublishedParts {
		parts[period] = ids
	}
	parts[intent.Period] = append(slices.Clone(parts[intent.Period]), intent.Parts...)
	return Progress{PublishedUpTo: max(p.PublishedUpTo, intent.Period), PublishedParts: parts}
}

// NextIntent returns what is to be published next at a time (Unix ms), or nil. Periods go in order; a late part follows once no
// period is due.
func (c *Collection) NextIntent(progress Progress, config Config, now int64) *Intent {
	if progress.Intent != nil {
		return progress.Intent
	}
	for _, period := range c.sortedPeriods() {
		if period > progress.PublishedUpTo {
			return c.periodIntent(period, config, now) // a newer one is never published before an older one
		}
	}
	return c.lateIntent(progress)
}

// periodIntent returns the intent of a period, or nil while instances are waited for.
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

// lateIntent returns the intent of a part that was closed after its period's statement, or nil. Of periods whose parts are
// forgotten nobody can tell what their statements are made of.
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
