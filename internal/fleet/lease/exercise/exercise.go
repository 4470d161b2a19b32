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
	To     fence.Receiver
	Every  time.Duration
	Marks  int // effects between two words to the voters on how far it has come
	Holder string
	done   int
	begun  bool
}

// Body is what an effect says.
type Body struct {
	No     int    `json:"no"`
	Holder string `json:"holder"`
}

// Step does the next effect.
func (j *Job) Step(ctx context.Context, g *client.Grant) (time.Duration, error) {
	if !j.begun {
		j.begun = true
		j.done, _ = strconv.Atoi(string(g.Data))
	}
	if !g.May() {
		return j.Every, nil // its lease may yet be renewed
	}
	body, _ := json.Marshal(Body{j.done + 1, j.Holder})
	// Between the check and here this process may be stopped for as long as it takes others to go on: the receiver knows.
	done, err := j.To.Apply(g.Effect(strconv.Itoa(j.done+1), body))
	if err != nil {
		return j.Every, err
	}
	if j.done++; done {
		return 0, nil // an owner before this one did it, and its word of that was lost
	}
	if j.Marks <= 1 || j.done%j.Marks == 0 {
		return j.Every, g.Progress(ctx, []byte(strconv.Itoa(j.done)))
	}
	return j.Every, nil
}
