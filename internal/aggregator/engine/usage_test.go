package engine

import (
	"testing"
)

// book adds up what a meter is told.
type book struct {
	searches, subs int64
	by             map[Result]int64
	left           int64
}

func (b *book) Record(u *Usage) {
	b.searches++
	b.subs += int64(u.First + u.Retry + u.Hedge)
	if u.ClientLeft {
		b.left++
	} else {
		b.by[u.Result]++
	}
	if u.Server < 0 || u.First > u.Shards || u.AnsweredAt <= 0 {
		panic("a use that can't be")
	}
}

// reconcile: what was metered is what was counted.
func (b *book) reconcile(t *testing.T, c *Counters) {
	t.Helper()
	if c.Searches == 0 || b.searches != c.Searches || b.subs != c.AttemptsAsked || b.left != c.ClientsLeft || b.by[Complete] != c.Complete ||
		b.by[Partial] != c.Partial || b.by[Shed] != c.Shed+c.OverPending || b.by[Failed] != c.Errored+c.TooLong {
		t.Fatalf("metered %+v, counted %+v", b, *c)
	}
}
