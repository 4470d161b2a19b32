package engine

import (
	"testing"
)

// usageTotals is a meter that sums the usage records.
type usageTotals struct {
	searches, attempts int64
	byResult           map[Result]int64
	clientsLeft        int64
}

func (totals *usageTotals) Record(u *Usage) {
	totals.searches++
	totals.attempts += int64(u.FirstAttempts + u.RetryAttempts + u.HedgeAttempts)
	if u.ClientLeft {
		totals.clientsLeft++
	} else {
		totals.byResult[u.Result]++
	}
	if u.ServerTimeMs < 0 || u.FirstAttempts > u.Shards || u.AnsweredAt <= 0 {
		panic("impossible usage record")
	}
}

// reconcile checks that the metered totals equal the counters.
func (totals *usageTotals) reconcile(t *testing.T, c *Counters) {
	t.Helper()
	if c.Searches == 0 || totals.searches != c.Searches || totals.attempts != c.AttemptsRequested || totals.clientsLeft != c.ClientsLeft ||
		totals.byResult[Complete] != c.Complete || totals.byResult[Partial] != c.Partial || totals.byResult[Shed] != c.Shed+c.OverPendingLimit ||
		totals.byResult[Failed] != c.Errored+c.AnswersTooLong {
		t.Fatalf("metered %+v, counted %+v", totals, *c)
	}
}
