// Package collector is the work of the singleton role "close": its holder reads what the instances' ledgers have exported to their
// directories and publishes the fleet's statements. Which statement is next and what it says is package statement's.
package collector

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/fence"
	"kestrelspread/internal/fleet/statement"
)

// Job is the work of one holder of the role, under one lease.
type Job struct {
	Directories []string // patterns of filepath.Glob, of the exports
	Config      statement.Config
	Receiver    fence.Receiver
	Interval    time.Duration // between steps that had nothing to publish
	Log         zerolog.Logger
	WallClockMs func() int64 // Unix ms

	collection *statement.Collection
	progress   statement.Progress
	readErrors map[string]string // by directory, the last one logged
}

// Step reads what was exported since, and publishes one statement where one is due. The order of its writes is what keeps
// statements published once: see package statement.
func (j *Job) Step(ctx context.Context, grant *client.Grant) (time.Duration, error) {
	if err := j.load(grant); err != nil {
		return j.Interval, err
	}
	if err := j.readExports(); err != nil {
		return j.Interval, err
	}
	intent := j.collection.NextIntent(j.progress, j.Config, j.WallClockMs())
	if intent == nil || !grant.MayAct() {
		return j.Interval, nil
	}
	published, err := j.publish(ctx, grant, intent)
	if err != nil {
		return j.Interval, err
	}
	j.collection.Forget(j.progress)
	j.logPublished(published)
	return 0, nil
}

// load takes up the previous holder's progress, at the first step.
func (j *Job) load(grant *client.Grant) error {
	if j.collection != nil {
		return nil
	}
	var err error
	if j.progress, err = statement.ParseProgress(grant.Progress); err != nil {
		return fmt.Errorf("how far the fleet's statements have come can't be read: %w", err)
	}
	j.collection = statement.NewCollection()
	j.readErrors = map[string]string{}
	return nil
}

// publish fixes the intent, has the receiver take its statement, and marks it published, each durable before the next.
func (j *Job) publish(ctx context.Context, grant *client.Grant, intent *statement.Intent) (*statement.Statement, error) {
	if j.progress.Intent == nil {
		fixed := j.progress
		fixed.Intent = intent
		if err := j.save(ctx, grant, fixed); err != nil {
			return nil, err
		}
	}
	built, err := j.collection.Build(intent)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(built)
	if err != nil {
		return nil, err
	}
	if _, err := j.Receiver.Apply(grant.Effect(intent.EffectKey(), body)); err != nil {
		return nil, err
	}
	return built, j.save(ctx, grant, j.progress.IntentPublished())
}

// save makes progress durable with the voters before it counts here.
func (j *Job) save(ctx context.Context, grant *client.Grant, progress statement.Progress) error {
	if err := grant.SaveProgress(ctx, progress.Marshal()); err != nil {
		return err
	}
	j.progress = progress
	return nil
}

func (j *Job) logPublished(s *statement.Statement) {
	for _, part := range s.Parts {
		if part.Discrepancy != "" {
			j.Log.Warn().Str("instance", part.Instance).Int64("period", s.Period).Str("why", part.Discrepancy).
				Msg("fleet's statement: an instance's entries do not reconcile")
		}
	}
	j.Log.Info().Int64("period", s.Period).Bool("late", s.Late).Int("parts", len(s.Parts)).Strs("missing", s.MissingInstances).
		Msg("fleet's statement is published")
}
