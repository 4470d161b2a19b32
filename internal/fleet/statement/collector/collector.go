// Package collector implements the job of the singleton role "close". The holder of the role reads the rows that the instances'
// ledgers have exported to directories, and publishes the fleet's usage statements. Package statement decides which statement is next,
// and builds it.
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

// Job is the job of one holder of the role, under one lease.
type Job struct {
	Directories []string // patterns for filepath.Glob that match the directories of the exports
	Config      statement.Config
	Receiver    fence.Receiver // accepts the statements, each key once
	Interval    time.Duration  // time until the next step if there was nothing to publish
	Log         zerolog.Logger
	WallClockMs func() int64 // Unix ms

	collection *statement.Collection // nil before the first step
	progress   statement.Progress
	readErrors map[string]string // last error logged for each directory
}

// Step reads the rows that were exported since the last step, and publishes the next statement if one is due. It returns the time to
// wait before the next step. The order of its writes ensures that each statement is published once; package statement explains it.
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

// load parses the previous holder's progress at the first step, and does nothing at later ones.
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

// publish stores the intent unless progress has it already, has the receiver accept its statement, and stores that the statement is
// published. Each of these is durable before the next begins.
func (j *Job) publish(ctx context.Context, grant *client.Grant, intent *statement.Intent) (*statement.Statement, error) {
	if j.progress.Intent == nil {
		withIntent := j.progress
		withIntent.Intent = intent
		if err := j.save(ctx, grant, withIntent); err != nil {
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

// save stores progress with the voters, and then adopts it as the job's own.
func (j *Job) save(ctx context.Context, grant *client.Grant, progress statement.Progress) error {
	if err := grant.SaveProgress(ctx, progress.Marshal()); err != nil {
		return err
	}
	j.progress = progress
	return nil
}

// logPublished logs a published statement, and a warning for each part that does not reconcile with its closing counts.
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
