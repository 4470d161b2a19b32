package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// observeEvery has a contact observe each 100 ms until the end, and lists the changes with their times.
func observeEvery(c *coreContact, end core.Time, confirmedAt func(now core.Time) core.Time) (changes []coreContactChange, times []core.Time) {
	for now := core.Time(0); now <= end; now += 100 * time.Millisecond {
		if change := c.observe(now, confirmedAt(now)); change != coreContactUnchanged {
			changes, times = append(changes, change), append(times, now)
		}
	}
	return changes, times
}

func TestCoreContactIsLostAndBackOnce(t *testing.T) {
	const lossAt, returnAt = 10 * time.Second, 30 * time.Second
	var c coreContact
	changes, times := observeEvery(&c, time.Minute, func(now core.Time) core.Time {
		if now >= lossAt && now < returnAt {
			return lossAt
		}
		return max(now-time.Second, 1)
	})
	assert.DeepEqual(t, changes, []coreContactChange{coreContactLost, coreContactRestored})
	assert.DeepEqual(t, times, []core.Time{lossAt + coreLostAge, returnAt + coreBackSpan})
}

// TestCoreContactDoesNotFlap: a link that lets a poll through every seven seconds is one loss, and a change of the chain none.
func TestCoreContactDoesNotFlap(t *testing.T) {
	var c coreContact
	changes, _ := observeEvery(&c, 2*time.Minute, func(now core.Time) core.Time {
		if now < 10*time.Second || now > 100*time.Second {
			return max(now, 1)
		}
		return now - now%(7*time.Second)
	})
	assert.DeepEqual(t, changes, []coreContactChange{coreContactLost, coreContactRestored})

	c = coreContact{}
	changes, _ = observeEvery(&c, time.Minute, func(now core.Time) core.Time {
		return max(now-now%(4*time.Second), 1) // ages up to 4 s
	})
	assert.Equal(t, len(changes), 0)
}

func TestNodeThatWasNeverConfirmedHasLostTheCore(t *testing.T) {
	var c coreContact
	changes, times := observeEvery(&c, time.Minute, func(core.Time) core.Time { return 0 })
	assert.DeepEqual(t, changes, []coreContactChange{coreContactLost})
	assert.DeepEqual(t, times, []core.Time{coreLostAge})
}

// TestLinesAboutTheCore: one line with the peers that were tried when the core is lost, and one when it is back.
func TestLinesAboutTheCore(t *testing.T) {
	n := New(0, Options{
		Self:  &nodepb.Member{NodeId: "proxy/1", Name: "proxy", Address: "proxy", Zone: "a", ServesFront: true},
		Seeds: []string{"core-1"},
	}, rand.New(rand.NewPCG(1, 2)))
	var lines []core.Log
	answers := false
	for now := core.Time(0); now <= 30*time.Second; now += 50 * time.Millisecond {
		answers = now > 12*time.Second
		outputs := n.Tick(now)
		for len(outputs) > 0 {
			output := outputs[0]
			outputs = outputs[1:]
			switch output := output.(type) {
			case core.Log:
				if output.Message == "control: core lost" || output.Message == "control: core is back" {
					lines = append(lines, output)
				}
			case core.Send:
				if poll := output.Message.GetStatePoll(); poll != nil && answers {
					reply := &nodepb.StatePollReply{Nonce: poll.Nonce, Confirmed: true}
					outputs = append(outputs, n.Receive(now, core.Peer{NodeID: "core-1/1", Address: "core-1"},
						&nodepb.Envelope{Body: &nodepb.Envelope_StatePollReply{StatePollReply: reply}})...)
				}
			}
		}
	}
	assert.Equal(t, len(lines), 2, "%v", lines)
	assert.DeepEqual(t, lines[0], core.Log{Message: "control: core lost", Fields: []any{
		"confirmation_age_ms", coreLostAge.Milliseconds(), "ever_confirmed", false, "tried", []string{"core-1"}}})
	assert.Equal(t, lines[1].Message, "control: core is back")
}
