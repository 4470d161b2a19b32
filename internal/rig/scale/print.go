package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes what was measured at a size as tables.
func (r SizeResult) Print(w io.Writer) {
	s := r.Shape
	fmt.Fprintf(w, "\n%d proxies, %d machines of the core, %d services, %d brokers, %d tenants, %.0f events a second (%.1f s, %d nodes)\n",
		s.Proxies, s.Core, s.Services, s.Brokers, s.Tenants, s.EventsPerBroker*float64(s.Brokers), r.WallS, s.Nodes())
	printRates(w, "heartbeats alone", r.Quiet)
	if len(r.Busy) > 0 {
		printRates(w, "with events of kept parts", r.Busy)
	}
	fmt.Fprintf(w, "heap %.0f KB a node, %.0f KB after the events; all know all after %.0f ms\n", r.HeapPerNode/1024, r.HeapBusy/1024, r.SettleMs)
	fmt.Fprintf(w, "a change: acknowledged in %.0f ms, everywhere in %.0f ms (first configuration of %d bytes: %.0f ms), %.0f bytes and %.2f ms a proxy\n",
		r.Changes.AckMs, r.Changes.Everywhere.LastMs, r.Changes.FirstBytes, r.Changes.FirstLastMs, r.Changes.BytesANode, r.Changes.CPUMsANode)
	fmt.Fprintf(w, "a proxy's end: noticed by the first in %.0f ms, half in %.0f, the last in %.0f, %d not; %.0f bytes a node\n",
		r.Death.Noticed.FirstMs, r.Death.Noticed.MedianMs, r.Death.Noticed.LastMs, r.Death.Noticed.Missing, r.Death.BytesANode)
	fmt.Fprintf(w, "a machine of the core ends: a change is acknowledged %.0f ms after a middle one, %.0f ms after the head\n",
		r.CoreLoss.MiddleMs, r.CoreLoss.HeadMs)
	fmt.Fprintf(w, "a broker drains: acknowledged in %.0f ms, %.0f messages and %.0f bytes at its home\n",
		r.Brokers.AckMs, r.Brokers.MessagesAHome, r.Brokers.BytesAHome)
	fmt.Fprintf(w, "new weights for %d brokers: %.0f ms, %.0f messages and %.0f bytes at the holder, %.2f%% of a core there\n",
		r.Campaign.Brokers, r.Campaign.LoadedMs, r.Campaign.HeadMessages, r.Campaign.HeadBytes, r.Campaign.HeadCPUPercent)
	fmt.Fprintf(w, "%.1f%% of messages lost for %.0f s: %d suspicions of %d nodes that ran, %d taken off, %d brokers silent by mistake\n",
		100*r.Loss.Share, r.Loss.SpanS, r.Loss.Suspicions, r.Loss.Suspected, r.Loss.Deaths, r.Loss.SilentBrokers)
	fmt.Fprintf(w, "lookups of prompts: %.1f a proxy a second, %.0f%% asked of the home, %.0f%% found\n", r.Lookups.ASecond, 100*r.Lookups.Asked, 100*r.Lookups.Found)
	fmt.Fprintf(w, "a region of %d nodes out of contact for %.0f s: a change acknowledged in %.0f ms, %.0f%% had dropped one another; healed: all members after %.0f ms, the change everywhere after %.0f ms, %.0f bytes a node, %.0f at most; %.0f ms of processor a node, %.0f at most\n",
		r.Cut.Cut, r.Cut.CutS, r.Cut.ChangeMs, 100*r.Cut.ForgottenAt, r.Cut.MembersMs, r.Cut.StateMs, r.Cut.BytesANode, r.Cut.MostBytesANode,
		r.Cut.CPUMsANode, r.Cut.MostCPUMs)
	fmt.Fprintf(w, "a zone of %d nodes and %d brokers ends: a change acknowledged in %.0f ms, all nodes noticed after %.0f ms (%d not), its brokers silent after %.0f ms, %.0f bytes a node, %.0f at most; %.0f ms of processor a node, %.0f at most\n",
		r.Zone.Nodes, r.Zone.Brokers, r.Zone.ChangeMs, r.Zone.NoticedMs, r.Zone.Missing, r.Zone.SilentMs, r.Zone.BytesANode, r.Zone.MostBytesANode,
		r.Zone.CPUMsANode, r.Zone.MostCPUMs)
	for _, problem := range r.Problems {
		fmt.Fprintln(w, "problem:", problem)
	}
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
