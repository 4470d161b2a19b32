package engine

import (
	"testing"
)

// usageTotals sums the usage records of a meter.
type usageTotals struct {
	searches, attempts int64
	byResult           map[Result]int64
	clientsLeft        int64
}

func (b *usageTotals) Record(u *Usage) {
	b.searches++
	b.attempts += int64(u.First + u.Retry + u.Hedge)
	if u.ClientLeft {
		b.clientsLeft++
	} else {
		b.byResult[u.Result]++
	}
	if u.Server < 0 || u.First > u.Shards || u.AnsweredAt <= 0 {
		panic("impossible usage record")
	}
}

// reconcile checks that the metered totals equal the counters.
func (b *usageTotals) reconcile(t *testing.T, c *Counters) {
	t.Helper()
	if c.Searches == 0 || b.searches != c.Searches || b.attempts != c.AttemptsAsked || b.clientsLeft != c.ClientsLeft || b.byResult[Complete] != c.Complete ||
		b.byResult[Partial] != c.Partial || b.byResult[Shed] != c.Shed+c.OverPendingLimit || b.byResult[Failed] != c.Errored+c.AnswersTooLong {
		t.Fatalf("metered %+v, counted %+v", b, *c)
	}
}
