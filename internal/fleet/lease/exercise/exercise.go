// Package exercise is a duty whose work is to be counted: numbered effects at a receiver, one after another. An installation runs it
// to see that its owners change as they should, and that its receiver refuses those of the past.
package exercise

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/fence"
)

// Job is one owner's work.
type Job struct {
	Receiver  fence.Receiver
	Interval  time.Duration
	SaveEvery int // effects between two words to the voters on how far it has come
	Holder    string
	completed int
	started   bool
}

// Body is what an effect says.
type Body struct {
	Number int    `json:"no"`
	Holder string `json:"holder"`
}

// Step does the next effect.
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	if !j.started {
		j.started = true
		j.completed, _ = strconv.Atoi(string(g.Progress))
	}
	if !g.MayAct() {
		return j.Interval, nil // its lease may yet be renewed
	}
	body, _ := json.Marshal(Body{j.completed + 1, j.Holder})
	// Between the check and here this process may be stopped for as long as it takes others to go on: the receiver knows.
	done, err := j.Receiver.Apply(g.Effect(strconv.Itoa(j.completed+1), body))
	if err != nil {
		return j.Interval, err
	}
	if j.completed++; done {
		return 0, nil // an owner before this one did it, and its word of that was lost
	}
	if j.SaveEvery <= 1 || j.completed%j.SaveEvery == 0 {
		return j.Interval, g.SaveProgress(ctx, []byte(strconv.Itoa(j.completed)))
	}
	return j.Interval, nil
}
