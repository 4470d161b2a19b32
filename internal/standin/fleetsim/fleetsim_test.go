package fleetsim

import (
	"testing"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/fleet/capacity"
	"kestrelspread/internal/fleet/shedding"
	"kestrelspread/internal/fleet/zonefailure"
	"kestrelspread/internal/standin/station"
)

// fleet is three hundred brokers before two hundred servers in two halls, each of which holds every shard twice.
func fleet() Plan {
	p := Plan{Seed: 1, Brokers: 300, Servers: 200, Sites: 2, Places: 50, Copies: 4, Rate: 200, Parts: 35, Target: 500, Timeout: 1500,
		Kind:  station.Kind{Slots: 2, Work: 25, CV: 0.4, Queue: 24, ColdFrom: 0.4, ColdFor: 12000, Multiple: 2.5, Over: 2000},
		Delay: 0.5, Connect: 250, Tries: 4, Retries: 1, Notice: 1500, Until: 16000}
	p.Port = func(out policy.Out, seed uint64, own int) policy.Port {
		port := zonefailure.Intercept(out, own, zonefailure.DefaultConfig, func(out policy.Out) policy.Port { return policy.New(out, seed, p.Brokers, own) })
		port.QueryType(p.Target, 1, 0.3, policy.Idempotent, 0)
		port.Shares(0, 1, 1, 0, 0)
		port.Fleet(p.Places, p.Copies, 4, 0, false)
		port.Limits(p.Tries, 216, true, true)
		port.MaxRetryAfter(500)
		port.WarmUp(p.Kind.ColdFrom, p.Kind.ColdFor, p.Kind.Multiple, p.Kind.Over)
		port.Probes()
		return port
	}
	return p
}

// share is what was answered in time in some seconds.
func share(r *Result, from, to int) float64 {
	in, all := 0, 0
	for i := from; i < to; i++ {
		in, all = in+r.Second[i].InTime, all+r.Second[i].Offered
	}
	return float64(in) / float64(max(all, 1))
}

func TestAQuietDayIsServed(t *testing.T) {
	p := fleet()
	p.Until = 6000
	r := Run(p)
	if r.Offered < 1000 || share(r, 1, 6) < 0.98 {
		t.Fatalf("%d offered, %.3f in time", r.Offered, share(r, 1, 6))
	}
	if again := Run(p); again.InTime != r.InTime || again.Sent != r.Sent {
		t.Error("the same seed gives another run")
	}
}

// A hall returns cold and is cut off from the other. Its brokers have nothing but cold holders in reach: where each part drew
// a lot of its own, they shed every search until all was warm.
func TestBrokersWithOnlyColdServersInReachServe(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := fleet()
	p.Lose = []Loss{{Site: 1, From: 3000, To: 6000, Cold: true}, {Site: 1, From: 8500, To: 15000, Cut: true}}
	r := Run(p)
	own := 0
	for i := 9; i < 14; i++ {
		if len(r.Second[i].Site) > 1 {
			own += r.Second[i].Site[1]
		}
	}
	t.Logf("%.3f in time of what came while the cold hall was cut off, %d searches by its own brokers; cold at most %.2f of what they bear (%.2f untold)",
		share(r, 9, 14), own, r.Worst, r.Untold)
	if own < 200 || share(r, 9, 14) < 0.75 {
		t.Errorf("%d searches answered in five seconds by the brokers of the cold hall", own)
	}
	if r.Worst > 1 {
		t.Errorf("cold servers were sent %.2f of what they bear", r.Worst)
	}
}

// One server of eight answers with an error at once, and half of the fleet is gone: parts spent their four tries there within
// ten milliseconds, and took all of their search with them.
func TestServersThatFailAtOnceDoNotTakeSearchesWithThem(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := fleet()
	p.Err = 1. / 8
	p.Lose = []Loss{{Site: 1, From: 4000, To: 9000, Cold: false}}
	r := Run(p)
	t.Logf("%.3f in time before, %.3f while a hall is gone; %d of %d sub-requests failed", share(r, 1, 4), share(r, 5, 9), r.Errors, r.Sent)
	if share(r, 5, 9) < 0.45 { // 0.11 where tries were spent at once
		t.Errorf("%.3f in time while a hall is gone", share(r, 5, 9))
	}
	if r.Errors*10 > r.Sent { // by chance alone it would be an eighth
		t.Errorf("%d of %d sub-requests went to servers that fail", r.Errors, r.Sent)
	}
}

// half is a fleet that loses half of its servers for good, asked for so many searches of ten parts a second.
func half(rate float64) Plan {
	p := fleet()
	p.Rate, p.Until, p.Parts = rate, 11000, 10
	p.Lose = []Loss{{Site: 1, From: 3000, To: 60000}}
	return p
}

// bound is which share of the searches the survivors bear.
func (p Plan) bound() float64 {
	return min(1, p.Kind.Bears()*float64(p.Servers)/float64(p.Sites)/(p.Rate*float64(p.Parts)))
}

// Survivors that are asked for more than they bear do nearly what they can. Where all are slow, who is predicted fast is who was
// left alone for a second, and all brokers came to it at once: 0.69 and 0.49 in time, a tenth of the answers late.
func TestFullSurvivorsDoNearlyWhatTheyCan(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	for _, rate := range []float64{1000, 1300} {
		p := half(rate)
		r := Run(p)
		in, bound := share(r, 6, 11), p.bound()
		t.Logf("%.0f a second: %.3f in time, %.3f is what the survivors bear; %d late, %d shed", rate, in, bound, r.Late, r.Shed)
		if in < 0.9*bound {
			t.Errorf("%.3f in time of the %.3f that the survivors bear", in, bound)
		}
	}
}

// The order of refusals, by the sum: while a hall is gone for good and the survivors are over what they bear, what counts least
// is refused first and what counts most is left alone, whatever the settings say that it is worth. A plan of what is borne
// keeps the others from doing it harm by filling the servers.
func TestTheOrderOfRefusalsHoldsInTheSum(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := half(1000)
	p.Kinds = []Kind{{Share: 0.4, Parts: 10, Target: 500, Timeout: 1500}, {Share: 0.4, Parts: 10, Target: 500, Timeout: 1500},
		{Share: 0.2, Parts: 10, Target: 500, Timeout: 1500, Customer: 1}}
	run := func(p Plan, planned bool, r shedding.Config) (in []float64, all float64) {
		q := p
		q.Port = func(out policy.Out, seed uint64, own int) policy.Port {
			module := func(out policy.Out) policy.Port { return policy.New(out, seed, p.Brokers, own) }
			port := zonefailure.Intercept(out, own, zonefailure.DefaultConfig, func(out policy.Out) policy.Port {
				if planned {
					return capacity.Wrap(out, capacity.DefaultConfig, module)
				}
				return module(out)
			})
			for i := range p.Kinds {
				port.QueryType(p.Target, 1, 0.3, policy.Idempotent, 0)
				port.Shares(i, 1, 1, 0, 0)
			}
			port.Customer(0, 1)
			port.Customer(0, 1)
			port.Fleet(p.Places, p.Copies, 4, 0, false)
			port.Limits(p.Tries, 216, true, true)
			port.MaxRetryAfter(500)
			port.WarmUp(p.Kind.ColdFrom, p.Kind.ColdFor, p.Kind.Multiple, p.Kind.Over)
			port.Probes()
			shedding.NewWeights([]float64{1, 1, 1}, 2, r).Apply(port)
			return port
		}
		res := Run(q)
		asked := make([]float64, 3)
		in = make([]float64, 3)
		for _, s := range res.Second[5:11] {
			for k, c := range s.Kind {
				in[k], asked[k] = in[k]+float64(c.InTime), asked[k]+float64(c.Offered)
			}
		}
		for k := range in {
			in[k] /= asked[k]
		}
		return in, share(res, 5, 11)
	}
	first := shedding.Config{ShedFirst: [][]int{{0}}, BulkCustomers: []int{1}}
	plain, _ := run(p, false, shedding.Config{})
	ordered, _ := run(p, false, first)
	t.Logf("in time by type: %.2f without an order, %.2f with the first type refused first and all of one customer before it", plain, ordered)
	if plain[1] > 0.95 {
		t.Fatal("nothing is refused: nothing is tested")
	}
	if ordered[1] < plain[1]+0.1 || ordered[1] < ordered[0]+0.1 || ordered[0] < ordered[2] {
		t.Error("who counts most is not better off")
	}
	// Well over what is borne: the most valued alone would fit.
	p.Rate = 1300
	without, allWithout := run(p, false, first)
	with, all := run(p, true, first)
	t.Logf("at 1300 a second, of which %.2f are borne: %.2f by the order alone, %.3f in all; %.2f with a plan of what is borne, %.3f in all", p.bound(), without, allWithout, with, all)
	if with[1] < without[1]+0.08 || with[2] > with[0] {
		t.Error("the most valued are not better off with a plan")
	}
	if all < allWithout-0.08 { // what protects them costs the others a little
		t.Error("the plan refuses what could be served")
	}
	p.Rate = 650
	if with, all := run(p, true, first); all < 0.98 {
		t.Errorf("all that is asked for is borne, and %.3f is served: %.2f", all, with)
	}
}

// Brokers that stood still while a hall went and came back cold know of neither: they neither saw the silence that tells of a
// restart, nor does the list tell of it yet.
func TestSleepersWakeToAColdHall(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := fleet()
	p.Until, p.Notice = 14000, 4000
	p.Lose = []Loss{{Site: 1, From: 3000, To: 9500, Cold: true}}
	awake := Run(p)
	p.Sleep = []Sleep{{Share: 0.5, From: 2900, To: 9550}}
	r := Run(p)
	t.Logf("cold servers before their restart is told: %.2f of what they bear with half of the brokers asleep, %.2f with all awake; in time after it %.3f and %.3f",
		r.Untold, awake.Untold, share(r, 10, 14), share(awake, 10, 14))
	if r.Untold > 1.3*max(awake.Untold, 0.7) {
		t.Errorf("cold servers got %.2f of what they bear, %.2f where nobody slept", r.Untold, awake.Untold)
	}
	if share(r, 10, 14) < share(awake, 10, 14)-0.15 {
		t.Errorf("%.3f in time after the outage, %.3f where nobody slept", share(r, 10, 14), share(awake, 10, 14))
	}
}

// While a hall is lost, those who are refused are not told to come back at one moment.
func TestComeBacksAreSpreadOverTheOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("a fleet takes seconds")
	}
	p := fleet()
	p.Rate, p.Until, p.Retries = 320, 12000, 3
	p.Lose = []Loss{{Site: 1, From: 3000, To: 11000, Cold: true}}
	r := Run(p)
	most, all := 0, 0
	for bin, n := range r.Told {
		if bin >= 60 && bin < 110 {
			most, all = max(most, n), all+n
		}
	}
	t.Logf("%d told to come again within five seconds, %d of them within one tenth of a second; %.3f in time", all, most, share(r, 5, 11))
	if all < 200 {
		t.Fatal("hardly anybody is refused: nothing is tested")
	}
	if most > all/10 {
		t.Errorf("%d of %d in one tenth of a second", most, all)
	}
}
