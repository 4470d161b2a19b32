package leasesim

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// What voters agreed on, and what instances were told of their words, held against one duty that has one owner at a time: an
// instance's word of how far it has come is taken if and only if it is the owner at some moment between its giving and its
// answer.

// entry is an operation on a duty: a change that was agreed on, or an owner's word.
type entry struct {
	duty, what string
	token      uint64
}

type duty struct {
	owned bool
	token uint64
}

const (
	eventsEarly = 5000.0 // ms before a change is first seen, in which it may have been agreed on
	historyWait = 20 * time.Second
)

var model = porcupine.Model{
	Partition: func(ops []porcupine.Operation) (parts [][]porcupine.Operation) {
		at := map[string]int{}
		for _, o := range ops {
			d := o.Input.(entry).duty
			i, known := at[d]
			if !known {
				i = len(parts)
				at[d] = i
				parts = append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return duty{} },
	Step: func(state, input, output any) (bool, any) {
		s, e := state.(duty), input.(entry)
		switch e.what {
		case "granted":
			return !s.owned && e.token > s.token, duty{true, e.token}
		case "expired", "released", "forced":
			return s.owned && e.token == s.token, duty{false, s.token}
		case "progress":
			return output.(bool) == (s.owned && e.token == s.token), s
		}
		return true, s // to move: nothing changes hands yet
	},
}
