// Package exercise is a role whose work can be counted: numbered effects at a receiver, one after
// another. An installation runs it (the operator's file calls it a drill) to see that its roles
// change hands as they should, and that its receiver rejects holders of the past.
package exercise

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/fence"
)

// Job is the work of one holder.
type Job struct {
	Receiver  fence.Receiver
	Interval  time.Duration // between two effects
	SaveEvery int           // effects between two reports of progress to the voters
	Holder    string        // named in each effect
	completed int           // number of the latest effect
	started   bool
}

// Body is what an effect says.
type Body struct {
	Number int    `json:"no"`
	Holder string `json:"holder"`
}

// Step does the next effect (client.Job).
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	if !j.started {
		j.started = true
		j.completed, _ = strconv.Atoi(string(g.Progress)) // none yet: from 0
	}
	if !g.MayAct() {
		return j.Interval, nil // the lease may yet be renewed
	}
	number := j.completed + 1
	body, err := json.Marshal(Body{number, j.Holder})
	if err != nil {
		return j.Interval, err
	}
	// The process may be paused here for as long as it takes others to go on: the receiver knows.
	done, err := j.Receiver.Apply(g.Effect(strconv.Itoa(number), body))
	if err != nil {
		return j.Interval, err
	}
	j.completed = number
	if done { // by a holder before this one, whose report of it was lost
		return 0, nil
	}
	if j.SaveEvery <= 1 || j.completed%j.SaveEvery == 0 {
		return j.Interval, g.SaveProgress(ctx, []byte(strconv.Itoa(j.completed)))
	}
	return j.Interval, nil
}
