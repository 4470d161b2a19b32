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

// statusPause lies between two looks at nodes that do not agree yet.
const statusPause = 100 * time.Millisecond

func fleetStatus() *cobra.Command {
	var asJSON bool
	var within time.Duration
	c := &cobra.Command{
		Use: "status ADDRESS...", Args: cobra.MinimumNArgs(1),
		Short: "What nodes say at their control addresses; exit 1 where they disagree on the view or one can't be reached",
		RunE: func(cmd *cobra.Command, addresses []string) error {
			picture := lookWithin(cmd.Context(), addresses, within)
			if err := picture.print(cmd.OutOrStdout(), asJSON); err != nil {
				return err
			}
			return picture.failure()
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().DurationVar(&within, "within", 2*time.Second, "for how long nodes may disagree, as a change takes a moment to reach them all")
	return c
}

// fleetPicture is what nodes said at one look.
type fleetPicture struct {
	Nodes       []*nodestatus.Status `json:"nodes"`
	Unreachable []string             `json:"unreachable"`
	Differences []fleetDifference    `json:"differences"`
}

// fleetDifference is something that nodes see differently.
type fleetDifference struct {
	Subject nodestatus.Subject `json:"subject"`
	Text    string             `json:"text"`
}

// lookWithin looks at nodes until all answer and agree on the view, or the time is over.
func lookWithin(ctx context.Context, addresses []string, within time.Duration) *fleetPicture {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ticker := time.NewTicker(statusPause)
	defer ticker.Stop()
	for {
		picture := look(addresses)
		if picture.failure() == nil {
			return picture
		}
		select {
		case <-ctx.Done():
			return picture
		case <-ticker.C:
		}
	}
}

// statusTimeout is how long a node may take to answer.
const statusTimeout = 2 * time.Second

// look asks all nodes at the same time.
func look(addresses []string) *fleetPicture {
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
	picture := &fleetPicture{Nodes: []*nodestatus.Status{}, Unreachable: []string{}, Differences: []fleetDifference{}}
	for i := range addresses {
		if failures[i] != nil {
			picture.Unreachable = append(picture.Unreachable, failures[i].Error())
			continue
		}
		picture.Nodes = append(picture.Nodes, statuses[i])
	}
	for _, d := range nodestatus.Disagreements(picture.Nodes) {
		picture.Differences = append(picture.Differences, fleetDifference(d))
	}
	return picture
}

// failure says why the exit code is not 0.
func (p *fleetPicture) failure() error {
	if len(p.Unreachable) > 0 {
		return fmt.Errorf("%d nodes can't be reached", len(p.Unreachable))
	}
	if slices.ContainsFunc(p.Differences, func(d fleetDifference) bool { return d.Subject == nodestatus.SubjectView }) {
		return errors.New("nodes disagree on the view")
	}
	return nil
}

func (p *fleetPicture) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(p)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "node\tzone\tready\tconfig\tweights\tchain\tepoch\tcommitted\tconfirmed\tmembers\tbrokers\ttaken\tanswered\trefused\tfailed\tpredicted")
	for _, node := range p.Nodes {
		fmt.Fprintln(table, strings.Join(statusRow(node), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, node := range p.Nodes {
		if reasons := countsByReason(node.Refusals); reasons != "" {
			fmt.Fprintf(out, "%s refused: %s\n", node.Node, reasons)
		}
		printLate(out, node)
	}
	for _, text := range p.Unreachable {
		fmt.Fprintln(out, "unreachable:", text)
	}
	for _, d := range p.Differences {
		fmt.Fprintf(out, "nodes see %s differently: %s\n", d.Subject, d.Text)
	}
	return nil
}

// latePrinted is how many late answers of a node are printed; --json has all that the node keeps.
const latePrinted = 3

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
	for _, late := range node.NewestLate[max(len(node.NewestLate)-latePrinted, 0):] {
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

// shareOf is a count as a share of a whole.
func shareOf(count, whole uint64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(count)/float64(whole))
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
