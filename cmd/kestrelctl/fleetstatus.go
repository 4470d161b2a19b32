package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/node/nodestatus"
)

// statusInterval is the time between two queries of nodes that do not agree yet.
const statusInterval = 100 * time.Millisecond

// fleetStatus prints the status of nodes, and fails where they disagree on the view.
func fleetStatus() *cobra.Command {
	var asJSON bool
	var within time.Duration
	c := &cobra.Command{
		Use: "status ADDRESS...", Args: cobra.MinimumNArgs(1),
		Short: "What nodes say at their control addresses; exit 1 where they disagree on the view or one can't be reached",
		RunE: func(cmd *cobra.Command, addresses []string) error {
			snapshot := queryUntilAgreement(cmd.Context(), addresses, within)
			if err := snapshot.print(cmd.OutOrStdout(), asJSON); err != nil {
				return err
			}
			return snapshot.failure()
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().DurationVar(&within, "within", 2*time.Second, "for how long nodes may disagree, as a change takes a moment to reach them all")
	return c
}

// fleetSnapshot is what nodes answered to one query.
type fleetSnapshot struct {
	Nodes       []*nodestatus.Status `json:"nodes"`
	Unreachable []string             `json:"unreachable"`
	Differences []fleetDifference    `json:"differences"`
}

// fleetDifference is something that nodes see differently.
type fleetDifference struct {
	Subject nodestatus.Subject `json:"subject"`
	Text    string             `json:"text"`
}

// queryUntilAgreement queries nodes until all answer and agree on the view, or the time is over; it
// returns the last snapshot.
func queryUntilAgreement(ctx context.Context, addresses []string, within time.Duration) *fleetSnapshot {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		snapshot := queryNodes(addresses)
		if snapshot.failure() == nil {
			return snapshot
		}
		select {
		case <-ctx.Done():
			return snapshot
		case <-ticker.C:
		}
	}
}

// statusTimeout is how long a node may take to answer.
const statusTimeout = 2 * time.Second

// queryNodes asks all nodes at the same time.
func queryNodes(addresses []string) *fleetSnapshot {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	statuses := make([]*nodestatus.Status, len(addresses))
	failures := make([]error, len(addresses))
	done := make(chan struct{}, len(addresses))
	for i, address := range addresses {
		go func() {
			statuses[i], failures[i] = nodestatus.Fetch(ctx, address)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	snapshot := &fleetSnapshot{Nodes: []*nodestatus.Status{}, Unreachable: []string{}, Differences: []fleetDifference{}}
	for i := range addresses {
		if failures[i] != nil {
			snapshot.Unreachable = append(snapshot.Unreachable, failures[i].Error())
			continue
		}
		snapshot.Nodes = append(snapshot.Nodes, statuses[i])
	}
	for _, d := range nodestatus.Disagreements(snapshot.Nodes) {
		snapshot.Differences = append(snapshot.Differences, fleetDifference(d))
	}
	return snapshot
}

// failure says why the exit code is not 0.
func (s *fleetSnapshot) failure() error {
	if len(s.Unreachable) > 0 {
		return fmt.Errorf("%d nodes can't be reached", len(s.Unreachable))
	}
	if slices.ContainsFunc(s.Differences, func(d fleetDifference) bool { return d.Subject == nodestatus.SubjectView }) {
		return errors.New("nodes disagree on the view")
	}
	return nil
}

// print writes the snapshot as JSON, or as a table with remarks below it.
func (s *fleetSnapshot) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(s)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "node\tzone\tready\tconfig\tweights\tchain\tepoch\tcommitted\tconfirmed\tmembers\tbrokers\ttaken\tanswered\trefused\tfailed\tpredicted")
	for _, node := range s.Nodes {
		fmt.Fprintln(table, strings.Join(statusRow(node), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, node := range s.Nodes {
		if reasons := countsByReason(node.Refusals); reasons != "" {
			fmt.Fprintf(out, "%s refused: %s\n", node.Node, reasons)
		}
		printLate(out, node)
	}
	for _, text := range s.Unreachable {
		fmt.Fprintln(out, "unreachable:", text)
	}
	for _, d := range s.Differences {
		fmt.Fprintf(out, "nodes see %s differently: %s\n", d.Subject, d.Text)
	}
	return nil
}

// lateAnswersPrinted is how many late answers of a node are printed; --json has all that the node keeps.
const lateAnswersPrinted = 3

// printLate says why a node's answers were late, and what was expected of prompts.
func printLate(out io.Writer, node *nodestatus.Status) {
	if len(node.DisabledMechanisms) > 0 {
		fmt.Fprintf(out, "%s switched off: %s\n", node.Node, strings.Join(node.DisabledMechanisms, ", "))
	}
	if p := node.Prompts; p.Shared > 0 {
		fmt.Fprintf(out, "%s shared tokens: %s held, %s coming, %s from brokers, %s from the store, %s first, %s again\n", node.Node,
			shareOf(p.Cached, p.Shared), shareOf(p.InPrefill, p.Shared), shareOf(p.FromBroker, p.Shared), shareOf(p.FromStore, p.Shared),
			shareOf(p.FirstSeen, p.Shared), shareOf(p.Recomputed, p.Shared))
	}
	if causes := countsByReason(node.Late); causes != "" {
		fmt.Fprintf(out, "%s late: %s\n", node.Node, causes)
	}
	for _, late := range node.NewestLate[max(len(node.NewestLate)-lateAnswersPrinted, 0):] {
		fmt.Fprintf(out, "  %s ago, %s at %s: %s; first event %s, pause %s, %d tokens unread, %d ahead, longest other %d, load %.0f believed, %d+%d reported\n",
			late.Ago, late.Route, late.Instance, late.Cause, late.FirstEvent, late.MaxGap, late.PrefillTokens, late.QueuedPrefillTokens, late.LongestOtherPrompt, late.Load,
			late.Running, late.Waiting)
	}
}

// statusRow is a node's line of the table.
func statusRow(node *nodestatus.Status) []string {
	role, epoch, committed := "-", "-", "-"
	if node.Chain != nil {
		epoch = fmt.Sprint(node.Chain.Epoch)
		if node.Chain.Role != "" {
			role, committed = node.Chain.Role, fmt.Sprint(node.Chain.Committed)
		}
		if node.Chain.Role != "" && !node.Chain.DiskHealthy {
			role += " (disk)"
		}
	}
	requests := node.Requests
	return []string{
		node.Node, node.Zone, yesOrNo(node.Ready), fmt.Sprint(node.ConfigVersion), countedVersions(node.ModelVersions), role, epoch,
		committed, orDash(node.ConfirmedAgo), fmt.Sprint(len(node.Members)), brokersByState(node.Instances), fmt.Sprint(requests.Received),
		fmt.Sprint(requests.Answered), fmt.Sprint(requests.Rejected), fmt.Sprint(requests.Failed + requests.Aborted),
		shareOf(node.Choices.ByPrediction, requests.Attempts),
	}
}

// shareOf formats a count as a percentage of a total, or as a dash where the total is 0.
func shareOf(count, total uint64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(count)/float64(total))
}

// countsByReason lists counts, as "all brokers full 7, retry budget spent 1".
func countsByReason(refusals map[string]uint64) string {
	var list []string
	for reason, count := range refusals {
		list = append(list, fmt.Sprintf("%s %d", reason, count))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func yesOrNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// countedVersions lists the newest named weights by model.
func countedVersions(versions map[string]uint64) string {
	var list []string
	for model, version := range versions {
		list = append(list, fmt.Sprintf("%s=%d", model, version))
	}
	slices.Sort(list)
	return orDash(strings.Join(list, " "))
}

// brokersByState counts brokers, as "7 ready 1 draining".
func brokersByState(instances []nodestatus.Instance) string {
	counts := map[string]int{}
	for _, instance := range instances {
		counts[strings.ToLower(instance.State)]++
	}
	var list []string
	for state, count := range counts {
		list = append(list, fmt.Sprintf("%d %s", count, state))
	}
	slices.SortFunc(list, func(a, b string) int { return -strings.Compare(a[strings.Index(a, " "):], b[strings.Index(b, " "):]) })
	return orDash(strings.Join(list, " "))
}
