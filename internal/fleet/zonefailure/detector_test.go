package zonefailure

import (
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strings"
	"testing"
)

// play is a broker's sight with servers at sites, and what it was told to change.
type play struct {
	*Sight
	at      float64
	changes []Change
	sites   [][]int
}

// sites gives each site so many servers.
func sites(rules Rules, own int, servers ...int) *play {
	p := &play{Sight: New(rules, own), at: 1000}
	id := 0
	for at, n := range servers {
		p.sites = append(p.sites, nil)
		for range n {
			p.Server(id, at, true)
			p.sites[at] = append(p.sites[at], id)
			id++
		}
	}
	return p
}

// to moves the clock in turns of 10 ms, as a broker that holds searches does.
func (p *play) to(at float64) {
	for p.at < at {
		p.at = min(p.at+10, at)
		p.Begin(p.at)
		p.changes = append(p.changes, p.End()...)
	}
}

// burst sends one sub-request to each of some servers, and gives when.
func (p *play) burst(ids ...int) float64 {
	p.Begin(p.at)
	for _, id := range ids {
		p.Sent(id)
	}
	p.changes = append(p.changes, p.End()...)
	return p.at
}

func (p *play) answer(sent float64, ids ...int) {
	p.Begin(p.at)
	for _, id := range ids {
		p.Done(id, sent, true, false)
	}
	p.changes = append(p.changes, p.End()...)
}

// usual has all sites answer in some 20 to 40 ms for a while.
func (p *play) usual(rounds int) {
	for range rounds {
		var all []int
		for _, s := range p.sites {
			all = append(all, s...)
		}
		sent := p.burst(all...)
		p.to(p.at + 20)
		p.answer(sent, all[:len(all)/2]...)
		p.to(p.at + 20)
		p.answer(sent, all[len(all)/2:]...)
		p.to(p.at + 300)
	}
}

func (p *play) want(t *testing.T, site int, states ...State) {
	t.Helper()
	var got []State
	for _, c := range p.changes {
		if c.Site == site {
			got = append(got, c.To)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(states) {
		t.Fatalf("site %d went through %v, want %v", site, got, states)
	}
}

func (p *play) lost(site int) (n int) {
	for _, c := range p.changes {
		if c.Site == site && c.To == Lost {
			n++
		}
	}
	return n
}

func TestABurstThatNobodyOfASiteAnswersIsALoss(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	if p.Line() < 25 || p.Line() > 100 {
		t.Fatal("line", p.Line())
	}
	p.want(t, 1)
	sent := p.burst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.to(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.to(sent + p.Line() + 15)
	p.want(t, 0)
	if p.State(1) != Lost || p.lost(1) != 1 {
		t.Fatal("after one burst: ", p.State(1), p.changes)
	}
	c := p.changes[len(p.changes)-1]
	if c.Failed != 6 || !c.Alone || c.Spread < 2000 {
		t.Fatalf("%+v", c)
	}
}

func TestWhoHasMatesThatAnswerFailsByItself(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	for range 40 { // six of ten are silent for good, the others answer
		sent := p.burst(append(p.sites[0][:4:4], p.sites[1]...)...)
		p.to(p.at + 40)
		p.answer(sent, append(p.sites[0][:4:4], p.sites[1][6:]...)...)
		p.to(p.at + 400)
	}
	if p.lost(1) > 0 {
		t.Fatal("lost", p.changes)
	}
}

func TestACrowdAndAStandstillAreNoLoss(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	// All are slow alike: nobody answers in time, here or there.
	sent := p.burst(append(p.sites[0], p.sites[1]...)...)
	p.to(sent + 900)
	if p.lost(0)+p.lost(1) > 0 {
		t.Fatal("a crowd everywhere is held to be a loss", p.changes)
	}
	p.answer(sent, append(p.sites[0], p.sites[1]...)...)
	p.usual(40)
	p.changes = nil
	// This broker stands still for two seconds with answers unread, and reads those of one site first.
	sent = p.burst(append(p.sites[0], p.sites[1]...)...)
	p.at += 2000
	p.Begin(p.at)
	for _, id := range p.sites[0] {
		p.Done(id, sent, true, false)
	}
	p.changes = append(p.changes, p.End()...)
	p.to(p.at + 10)
	p.answer(sent, p.sites[1]...)
	if p.lost(1) > 0 {
		t.Fatal("a standstill is held to be a loss", p.changes)
	}
}

func TestWhoHearsNobodyCondemnsNobody(t *testing.T) {
	p := sites(Usual, 0, 8, 8, 8)
	p.usual(10)
	for range 10 {
		var all []int
		for _, s := range p.sites {
			all = append(all, s[:6]...)
		}
		p.burst(all...)
		p.to(p.at + 500)
		p.Begin(p.at)
		for _, id := range all {
			p.Done(id, p.at-500, false, false) // given up
		}
		p.changes = append(p.changes, p.End()...)
	}
	for at := range p.sites {
		if p.lost(at) > 0 {
			t.Fatal("cut off, it condemned site ", at)
		}
	}
}

// lose takes site 1 away and has the sight notice.
func (p *play) lose(t *testing.T) {
	t.Helper()
	was := p.lost(1)
	for range 3 {
		sent := p.burst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
		p.to(p.at + 30)
		p.answer(sent, p.sites[0][:6]...)
		p.to(p.at + p.Line() + 20)
		if p.lost(1) > was {
			return
		}
	}
	t.Fatalf("not lost: %v, line %.0f, %v", p.State(1), p.Line(), p.changes)
}

// back has servers of site 1 answer trials.
func (p *play) back(ids ...int) {
	for _, id := range ids {
		sent := p.burst(id)
		p.to(p.at + 30)
		p.answer(sent, id)
	}
}

func TestAReturnTakesProofAndTime(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	p.lose(t)
	p.to(p.at + 3000)
	if p.State(1) != Lost {
		t.Fatal("back without an answer: ", p.State(1))
	}
	p.back(p.sites[1][0])
	if p.State(1) != Returning {
		t.Fatal("not returning: ", p.State(1))
	}
	p.to(p.at + 5000)
	p.back(p.sites[1][0])
	if p.State(1) != Returning {
		t.Fatal("well by the clock alone, with two answers")
	}
	p.back(p.sites[1][1:5]...)
	if p.State(1) != Well {
		t.Fatal("not well after five answers: ", p.State(1))
	}
}

func TestEachRelapseMakesTheReturnSlowerAndACalmForgets(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	var steps []float64
	for range 3 {
		p.lose(t)
		p.to(p.at + 200)
		p.back(p.sites[1][:4]...)
		for _, c := range p.changes {
			if c.To == Returning {
				steps = append(steps, c.Spread)
			}
		}
		p.changes = nil
		p.usual(10)
		p.to(p.at + 500)
		p.changes = nil
	}
	if len(steps) != 3 || steps[1] != 2*steps[0] || steps[2] != 4*steps[0] {
		t.Fatal("steps", steps)
	}
	p.usual(300) // more than a minute
	if p.Losses(1) != 0 {
		t.Fatal("losses are not forgotten: ", p.Losses(1))
	}
}

func TestALateAnswerShowsThatThereWasNoLoss(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	sent := p.burst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.to(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.to(sent + 10*p.Line())
	if p.State(1) != Lost {
		t.Fatal("not lost")
	}
	p.answer(sent, p.sites[1][:6]...) // ten times as slow
	if p.State(1) == Lost || p.False != 1 || p.Losses(1) != 0 {
		t.Fatal("a slow site stays lost: ", p.State(1), p.False, p.Losses(1))
	}
	if last := p.changes[len(p.changes)-1]; last.To != Well || last.Wrong <= 0 || last.Wrong > Usual.Brief {
		t.Errorf("it is not undone at once: %+v", last)
	}
	// What stood still for longer comes back in steps, though it answers what was sent before.
	p.usual(3)
	sent = p.burst(append(p.sites[0][:6:6], p.sites[1][:6]...)...)
	p.to(sent + 30)
	p.answer(sent, p.sites[0][:6]...)
	p.to(sent + 10*p.Line() + Usual.Brief)
	p.answer(sent, p.sites[1][:6]...)
	if p.State(1) != Returning || p.False != 2 {
		t.Errorf("a stall of seconds ends in %v", p.State(1))
	}
}

// Where work takes seconds, nothing is said of a site that has not answered for a quarter of one.
func TestTheUnprovenLineFollowsTheTarget(t *testing.T) {
	for target, want := range map[float64]float64{200: 250, 2000: 1000} {
		p := New(Usual, 0)
		p.Target(5 * target)
		p.Target(target)
		p.Target(3 * target)
		if p.Line() != want {
			t.Errorf("a target of %.0f: %v", target, p.Line())
		}
	}
}

func TestAFewAreNoSite(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	for range 5 { // two that are bad, and nobody else of their site is asked
		sent := p.burst(append(p.sites[0][:6:6], p.sites[1][:3]...)...)
		p.to(p.at + 30)
		p.answer(sent, p.sites[0][:6]...)
		p.to(p.at + 500)
	}
	p.want(t, 1, Doubted)
}

func TestPeersMakeOwnSightSufficeSooner(t *testing.T) {
	three := func(p *play) {
		sent := p.burst(append(p.sites[0][:6:6], p.sites[1][:3]...)...)
		p.to(p.at + 30)
		p.answer(sent, p.sites[0][:6]...)
	}
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	for _, peer := range []string{"a", "b", "c"} {
		p.Told(peer, 1, true, 100)
	}
	p.to(p.at + 1000)
	if p.lost(1) > 0 {
		t.Fatal("lost by hearsay alone")
	}
	three(p)
	for _, peer := range []string{"a", "b"} {
		p.Told(peer, 1, true, 20)
	}
	p.to(p.at + 400)
	if p.lost(1) != 1 {
		t.Fatal("three own failures and two peers do not suffice: ", p.State(1))
	}
	// One peer, old words, and words from before the site was last heard count for nothing.
	for name, tell := range map[string]func(p *play){
		"one": func(p *play) { p.Told("a", 1, true, 0); p.Told("a", 1, true, 0) },
		"old": func(p *play) { p.Told("a", 1, true, 4000); p.Told("b", 1, true, 9000) },
		"odd": func(p *play) { p.Told("a", 1, true, -5); p.Told("b", 7, true, 1); p.Told("c", -1, true, 1) },
		"both": func(p *play) {
			p.Told("a", 1, true, 1)
			p.Told("b", 1, true, 1)
			p.Told("c", 1, false, 1)
			p.Told("d", 1, false, 1)
		},
	} {
		q := sites(Usual, 0, 10, 10)
		q.usual(10)
		three(q)
		tell(q)
		q.to(q.at + 2500)
		if q.lost(1) > 0 {
			t.Error(name, "made a loss")
		}
	}
}

func TestPeersThatHearAReturnBringTrialsForward(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(10)
	p.lose(t)
	p.changes = nil
	p.Told("a", 1, false, 10)
	p.to(p.at + 100)
	if len(p.changes) > 0 {
		t.Fatal("one peer suffices: ", p.changes)
	}
	p.Told("a", 1, false, 10)
	p.Told("b", 1, false, 10)
	p.to(p.at + 100)
	if len(p.changes) != 1 || !p.changes[0].Hint || p.State(1) != Lost {
		t.Fatal("hints: ", p.changes, p.State(1))
	}
	p.to(p.at + 100)
	if len(p.changes) != 1 {
		t.Fatal("the same words hint twice")
	}
}

func TestWhatPeersSayIsBounded(t *testing.T) {
	p := sites(Usual, 0, 10, 10)
	p.usual(1)
	for i := range 10 * peersMost {
		p.Told(fmt.Sprint(i), 1, true, 0)
	}
	if n := len(p.Sight.sites[1].told); n > peersMost {
		t.Fatal(n, "words held")
	}
	p.to(p.at + 6000)
	p.Told("x", 1, true, 0)
	if n := len(p.Sight.sites[1].told); n != 1 {
		t.Fatal(n, "words held after all were old")
	}
}

func TestUnreachableServersNeedNoWait(t *testing.T) {
	p := sites(Usual, 0, 10, 4)
	p.usual(10)
	sent := p.burst(append(p.sites[0][:4:4], p.sites[1]...)...)
	p.to(p.at + 10)
	p.answer(sent, p.sites[0][:4]...)
	p.Begin(p.at)
	for _, id := range p.sites[1] {
		p.Done(id, sent, false, true)
	}
	p.changes = append(p.changes, p.End()...)
	if p.State(1) != Lost { // a site of four needs all four
		t.Fatal(p.State(1))
	}
	if c := p.changes[len(p.changes)-1]; c.Failed != 4 {
		t.Fatalf("%+v", c)
	}
}

func TestServersComeAndGo(t *testing.T) {
	p := sites(Usual, -1, 6, 6)
	p.usual(3)
	p.burst(p.sites[1]...)
	for _, id := range p.sites[1] {
		p.Server(id, 1, false)
	}
	p.to(p.at + 2000)
	if p.lost(1) > 0 {
		t.Fatal("a site without servers is lost")
	}
	p.Drop(p.sites[1][0])
	p.Server(p.sites[1][0], 0, true) // its index stands for another
	p.Begin(p.at)
	p.Done(p.sites[1][1], p.at-5, true, false) // a late answer of one that is gone
	p.End()
}

// Weeks of ordinary trouble: one of eight servers silent by itself, crowds, pauses of the broker, slow halves. Sped up by
// what a broker of a large fleet sees in a day.
func TestFalseAlarmsOverWeeks(t *testing.T) {
	days := 14
	if testing.Short() {
		days = 2
	}
	rng := rand.New(rand.NewPCG(1, 2))
	p := sites(Usual, 0, 40, 40, 40)
	bad := make([]bool, 120)
	alarms, searches := 0, 0
	for p.at = 1000; p.at < float64(days)*86400_000; {
		if rng.IntN(50) == 0 { // another one of eight
			for i := range bad {
				bad[i] = rng.IntN(8) == 0
			}
		}
		slow := 1.0
		if rng.IntN(20) == 0 {
			slow = 1 + 9*rng.Float64()
		}
		stands := rng.IntN(100) == 0
		// A search of thirty parts; answers come in order of their times.
		ids := rng.Perm(120)[:30]
		sent := p.burst(ids...)
		searches++
		took := make([]float64, len(ids))
		for i := range ids {
			took[i] = (15 + 20*rng.ExpFloat64()) * slow
		}
		for step := 10.0; step <= 400; step += 10 {
			if stands && step == 20 {
				p.at = sent + 250 // the broker stood still
				step = 250
			}
			p.at = sent + step
			p.Begin(p.at)
			for i, id := range ids {
				if took[i] >= 0 && took[i] <= step && !bad[id] {
					took[i] = -1
					p.Done(id, sent, true, false)
				}
			}
			for _, c := range p.End() {
				if c.To == Lost {
					alarms++
				}
			}
		}
		p.Begin(p.at)
		for i, id := range ids {
			if took[i] >= 0 {
				p.Done(id, sent, false, false)
			}
		}
		p.End()
		p.at += 60_000 * rng.ExpFloat64()
	}
	t.Logf("%d false alarms in %d searches over %d days", alarms, searches, days)
	if alarms*1000 > searches { // each costs a return that a late answer brings at once
		t.Fatalf("%d false alarms in %d searches", alarms, searches)
	}
}

func TestPlantedDefects(t *testing.T) {
	if testing.Short() || plantAny {
		t.Skip("builds the package once for each")
	}
	for _, tag := range []string{"plant_stood", "plant_clock", "plant_mates", "plant_relapse", "plant_late", "plant_deaf", "plant_beat", "plant_few"} {
		out, err := exec.Command("go", "test", "-count=1", "-short", "-tags", tag, ".").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "--- FAIL") {
			t.Errorf("%s was not found: %v\n%.1000s", tag, err, out)
			continue
		}
		line, _, _ := strings.Cut(string(out), "\n")
		t.Logf("%s found: %s", tag, line)
	}
}
