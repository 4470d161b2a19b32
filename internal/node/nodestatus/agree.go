package nodestatus

import (
	"fmt"
	"slices"
	"strings"
)

// Subject is what nodes can disagree on. Its text is printed to operators.
type Subject string

// The subjects of Disagreements.
const (
	SubjectView       Subject = "the view"
	SubjectMembership Subject = "the members"
	SubjectState      Subject = "the state in force"
)

// Disagreement says what each group of nodes reports of a subject.
type Disagreement struct {
	Subject Subject
	Text    string // of each group: its report, and in parentheses its nodes
}

// Disagreements lists the subjects on which nodes differ; empty: they agree. Nodes learn of a change one
// after the other, so that they disagree for a moment.
func Disagreements(statuses []*Status) []Disagreement {
	var found []Disagreement
	views := groupByText(statuses, func(s *Status) string {
		if s.Chain == nil {
			return "no view"
		}
		return fmt.Sprintf("epoch %d, chain %s", s.Chain.Epoch, strings.Join(s.Chain.Chain, " "))
	})
	found = append(found, disagreementsOn(SubjectView, views)...)
	found = append(found, disagreementsOn(SubjectMembership, groupByText(statuses, memberNames))...)
	found = append(found, disagreementsOn(SubjectState, groupByText(statuses, func(s *Status) string {
		return fmt.Sprintf("index %d, configuration %d", s.StateIndex, s.ConfigVersion)
	}))...)
	return found
}

// memberNames lists the names of a node's members, sorted.
func memberNames(s *Status) string {
	var names []string
	for _, member := range s.Members {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// observation is a report, and the nodes that make it.
type observation struct {
	text  string
	nodes []string
}

// groupByText groups nodes by what describe returns of their statuses, in the order of the first.
func groupByText(statuses []*Status, describe func(*Status) string) []observation {
	var observations []observation
	for _, status := range statuses {
		text := describe(status)
		index := slices.IndexFunc(observations, func(o observation) bool { return o.text == text })
		if index < 0 {
			index = len(observations)
			observations = append(observations, observation{text: text})
		}
		observations[index].nodes = append(observations[index].nodes, status.Node)
	}
	return observations
}

// disagreementsOn returns the disagreement on a subject; nil where there is only one observation.
func disagreementsOn(subject Subject, observations []observation) []Disagreement {
	if len(observations) < 2 {
		return nil
	}
	var sides []string
	for _, o := range observations {
		sides = append(sides, fmt.Sprintf("%s (%s)", o.text, strings.Join(o.nodes, ", ")))
	}
	return []Disagreement{{Subject: subject, Text: strings.Join(sides, " | ")}}
}
