package lease

import "sort"

// Hold is a duty as its owner sees it.
type Hold struct {
	Duty  string
	Token uint64
	Until float64 // on the holder's own steady clock: it ends before the grantor thinks it may have
	LetGo bool    // it is to end and release
	Data  []byte  // how far the owner before had come
}

// Act is what a holder is to do.
type Act struct {
	Start  *Hold  // begin the work
	Stop   *Hold  // end it now: nothing more may be begun under this token
	Finish *Hold  // bring the step at hand to its end, then release
	Renew  string // ask for more time, for this duty
	Let    *Hold  // tell the voters that this token is done with: they still hold this instance to be its owner
}

// Holder is an instance's view of what it owns.
type Holder struct {
	rules Rules
	holds map[string]*Hold
	asked map[string]float64 // by duty: when a renewal was last sent
	ended map[string]uint64  // by duty: the latest token that was let go or lost
	heard float64            // when a voter that leads last answered
}

// NewHolder owns nothing.
func NewHolder(rules Rules) *Holder {
	return &Holder{rules: rules, holds: map[string]*Hold{}, asked: map[string]float64{}, ended: map[string]uint64{}}
}

// span is how long a holder trusts a lease that was asked for at a time: from then on, not from when the answer came, and
// less the drift.
func (h *Holder) span() float64 {
	if plantLongHold {
		return 1.5 * h.rules.Lease
	}
	return h.rules.Lease * (1 - h.rules.Drift)
}

// Granted: the answer to a question sent at a time says that this instance owns a duty.
func (h *Holder) Granted(now, askedAt float64, duty string, token uint64, data []byte, letGo bool) (acts []Act) {
	at := h.holds[duty]
	// An old answer, held up on its way. One that was given before this instance let go must not bring the duty back: the
	// next owner did not have to wait for this lease.
	if at != nil && token < at.Token {
		return nil
	}
	if token <= h.ended[duty] && !plantBack {
		// A release that was lost would leave the duty with an owner that does nothing, and is renewed for ever.
		if at == nil && token == h.ended[duty] {
			return []Act{{Let: &Hold{Duty: duty, Token: token}}}
		}
		return nil
	}
	if plantAnswerTime {
		askedAt = now
	}
	until := askedAt + h.span()
	if at != nil && at.Token == token {
		at.Until = max(at.Until, until)
		if letGo && !at.LetGo {
			at.LetGo = true
			acts = append(acts, Act{Finish: at})
		}
		return acts
	}
	if at != nil {
		delete(h.holds, duty)
		acts = append(acts, Act{Stop: at})
	}
	if now >= until {
		return acts // it came too late to begin
	}
	n := &Hold{Duty: duty, Token: token, Until: until, LetGo: letGo, Data: data}
	h.holds[duty] = n
	return append(acts, Act{Start: n})
}

// Lost: the grantor says that somebody else owns it, or nobody.
func (h *Holder) Lost(duty string, token uint64) []Act {
	at := h.holds[duty]
	if at == nil || at.Token > token {
		return nil
	}
	h.Released(duty)
	return []Act{{Stop: at}}
}

// Released: this instance has let go by itself, for good under this token.
func (h *Holder) Released(duty string) {
	if at := h.holds[duty]; at != nil {
		h.ended[duty] = max(h.ended[duty], at.Token)
		delete(h.holds, duty)
	}
}

// May tells whether something may be begun under a duty's token now. A pause may come between this and the act: the receiver's
// fence is what counts.
func (h *Holder) May(now float64, duty string) (token uint64, may bool) {
	at := h.holds[duty]
	if at == nil || now >= at.Until {
		return 0, false
	}
	return at.Token, true
}

// Turn ends what has run out and asks for more time well before.
func (h *Holder) Turn(now float64) (acts []Act) {
	names := make([]string, 0, len(h.holds))
	for n := range h.holds {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		at := h.holds[n]
		if now >= at.Until {
			// Not under this token again: what an answer says of how far the work has come may be older than the work.
			h.Released(n)
			acts = append(acts, Act{Stop: at})
			continue
		}
		if now >= h.asked[n]+h.rules.Lease/4 {
			h.asked[n] = now
			acts = append(acts, Act{Renew: n})
		}
	}
	for n := range h.asked {
		if h.holds[n] == nil {
			delete(h.asked, n)
		}
	}
	return acts
}

// Heard: a voter that leads has answered.
func (h *Holder) Heard(now float64) { h.heard = now }

// Quiet tells whether none has for a lease: nothing is owned then, nor will be until one does.
func (h *Holder) Quiet(now float64) bool { return now-h.heard > h.rules.Lease }

// Holds gives what is owned, in order.
func (h *Holder) Holds() (list []Hold) {
	for _, at := range h.holds {
		list = append(list, *at)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Duty < list[j].Duty })
	return list
}
