package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes what was measured at a size as tables; phases that were left out have no lines.
func (r SizeResult) Print(w io.Writer) {
	s := r.Shape
	fmt.Fprintf(w, "\n%d proxies, %d machines of the core, %d services, %d brokers, %d tenants, %.0f events a second (%.1f s, %d nodes)\n",
		s.Proxies, s.Core, s.Services, s.Brokers, s.Tenants, s.EventsPerBroker*float64(s.Brokers), r.WallS, s.Nodes())
	printRates(w, "heartbeats alone", r.Quiet)
	fmt.Fprintf(w, "heap %.0f KB a node; all know all after %.0f ms\n", r.HeapPerNode/1024, r.SettleMs)
	if len(r.Busy) > 0 {
		printRates(w, "with events of kept parts", r.Busy)
		fmt.Fprintf(w, "heap %.0f KB a node after the events\n", r.HeapBusy/1024)
		fmt.Fprintf(w, "lookups of prompts: %.1f a proxy a second, %.0f%% asked of the home, %.0f%% found\n",
			r.Lookups.ASecond, 100*r.Lookups.Asked, 100*r.Lookups.Found)
	}
	r.Changes.print(w)
	r.Brokers.print(w)
	r.Campaign.print(w)
	r.Loss.print(w)
	r.Death.print(w)
	r.Cut.print(w)
	r.CoreLoss.print(w)
	r.Zone.print(w)
	for _, problem := range r.Problems {
		fmt.Fprintln(w, "problem:", problem)
	}
}

func (r ChangeResult) print(w io.Writer) {
	if r.Count == 0 {
		return
	}
	fmt.Fprintf(w, "a change: acknowledged in %.0f ms, everywhere in %.0f ms (first configuration of %d bytes: %.0f ms), %.0f bytes and %.2f ms a proxy\n",
		r.AckMs, r.Everywhere.LastMs, r.FirstBytes, r.FirstLastMs, r.BytesANode, r.CPUMsANode)
}

func (r BrokerResult) print(w io.Writer) {
	if r.AckMs == 0 {
		return
	}
	fmt.Fprintf(w, "a broker drains: acknowledged in %.0f ms, %.0f messages and %.0f bytes at its home\n", r.AckMs, r.MessagesAHome, r.BytesAHome)
}

func (r CampaignResult) print(w io.Writer) {
	if r.Brokers == 0 {
		return
	}
	fmt.Fprintf(w, "new weights for %d brokers: %.0f ms, %.0f messages and %.0f bytes at the holder, %.2f%% of a core there\n",
		r.Brokers, r.LoadedMs, r.HeadMessages, r.HeadBytes, r.HeadCPUPercent)
}

func (r LossResult) print(w io.Writer) {
	if r.SpanS == 0 {
		return
	}
	fmt.Fprintf(w, "%.1f%% of messages lost for %.0f s: %d suspicions of %d nodes that ran, %d taken off, %d brokers silent by mistake\n",
		100*r.Share, r.SpanS, r.Suspicions, r.Suspected, r.Deaths, r.SilentBrokers)
}

func (r DeathResult) print(w io.Writer) {
	if r.Noticed.LastMs == 0 {
		return
	}
	fmt.Fprintf(w, "a proxy's end: noticed by the first in %.0f ms, half in %.0f, the last in %.0f, %d not; %.0f bytes a node\n",
		r.Noticed.FirstMs, r.Noticed.MedianMs, r.Noticed.LastMs, r.Noticed.Missing, r.BytesANode)
}

func (r CutResult) print(w io.Writer) {
	if r.Cut == 0 {
		return
	}
	fmt.Fprintf(w, "a region of %d nodes out of contact for %.0f s: a change acknowledged in %.0f ms, %.0f%% had dropped one another; healed: all members after %.0f ms, the change everywhere after %.0f ms, %.0f bytes a node, %.0f at most; %.0f ms of processor a node, %.0f at most\n",
		r.Cut, r.CutS, r.ChangeMs, 100*r.ForgottenAt, r.MembersMs, r.StateMs, r.BytesANode, r.MostBytesANode, r.CPUMsANode, r.MostCPUMs)
}

func (r CoreLossResult) print(w io.Writer) {
	if r.MiddleMs == 0 {
		return
	}
	fmt.Fprintf(w, "a machine of the core ends: a change is acknowledged %.0f ms after a middle one, %.0f ms after the head\n", r.MiddleMs, r.HeadMs)
}

func (r ZoneResult) print(w io.Writer) {
	if r.Nodes == 0 {
		return
	}
	fmt.Fprintf(w, "a zone of %d nodes and %d brokers ends: a change acknowledged in %.0f ms, all nodes noticed after %.0f ms (%d not), its brokers silent after %.0f ms, %.0f bytes a node, %.0f at most; %.0f ms of processor a node, %.0f at most\n",
		r.Nodes, r.Brokers, r.ChangeMs, r.NoticedMs, r.Missing, r.SilentMs, r.BytesANode, r.MostBytesANode, r.CPUMsANode, r.MostCPUMs)
}

func printRates(w io.Writer, title string, rates map[Role]RoleRate) {
	fmt.Fprintf(w, "%s, a node a second:\n", title)
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "role\tnodes\tsent\treceived\tbytes sent\treceived\tmost sent\tcore %\tmost\t")
	for _, role := range Roles {
		rate, any := rates[role]
		if !any {
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t\n", role, rate.Nodes, rate.Sent, rate.Received,
			rate.SentBytes, rate.ReceivedBytes, rate.MostSentBytes, rate.CPUPercent, rate.MostCPU)
	}
	_ = table.Flush()
}
