package nodestatus

import (
	"fmt"
	"slices"
	"strings"
)

// Subject is what nodes can see differently.
type Subject string

// The subjects.
const (
	TheView    Subject = "the view"
	TheMembers Subject = "the members"
	TheState   Subject = "the state in force"
)

// Disagreement says which nodes see a subject how.
type Disagreement struct {
	Subject Subject
	Text    string
}

// Disagreements lists what nodes see differently; empty: they agree. Nodes that learn of a change one after the other
// disagree for a moment.
func Disagreements(statuses []*Status) []Disagreement {
	var found []Disagreement
	views := distinct(statuses, func(s *Status) string {
		if s.Chain == nil {
			return "no view"
		}
		return fmt.Sprintf("epoch %d, chain %s", s.Chain.Epoch, strings.Join(s.Chain.Chain, " "))
	})
	found = append(found, differing(TheView, views)...)
	found = append(found, differing(TheMembers, distinct(statuses, memberNames))...)
	found = append(found, differing(TheState, distinct(statuses, func(s *Status) string {
		return fmt.Sprintf("index %d, configuration %d", s.StateIndex, s.ConfigVersion)
	}))...)
	return found
}

func memberNames(s *Status) string {
	var names []string
	for _, member := range s.Members {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// opinion is what some nodes say.
type opinion struct {
	text  string
	nodes []string
}

func distinct(statuses []*Status, say func(*Status) string) []opinion {
	var opinions []opinion
	for _, status := range statuses {
		text := say(status)
		at := slices.IndexFunc(opinions, func(o opinion) bool { return o.text == text })
		if at < 0 {
			at = len(opinions)
			opinions = append(opinions, opinion{text: text})
		}
		opinions[at].nodes = append(opinions[at].nodes, status.Node)
	}
	return opinions
}

func differing(subject Subject, opinions []opinion) []Disagreement {
	if len(opinions) < 2 {
		return nil
	}
	var sides []string
	for _, o := range opinions {
		sides = append(sides, fmt.Sprintf("%s (%s)", o.text, strings.Join(o.nodes, ", ")))
	}
	return []Disagreement{{Subject: subject, Text: strings.Join(sides, " | ")}}
}
