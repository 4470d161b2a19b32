package fleet

import (
	"os"
	"path/filepath"
	"testing"
)

// loseDisk kills a node and empties its disk (DEPLOY.md, "Losses").
func (s *scenario) loseDisk(node *Node) {
	s.t.Helper()
	node.Kill()
	s.must(os.RemoveAll(filepath.Join(s.dir, node.Name, "data")))
}

// TestAcknowledgedChangeSurvivesDiskLoss right after an acknowledgement: first that of the tail, then that of the head.
func TestAcknowledgedChangeSurvivesDiskLoss(t *testing.T) {
	s := newScenario(t, nil)
	for range rounds() {
		for _, find := range []func() (*Node, error){
			func() (*Node, error) { return s.Tail(s.ctx) },
			func() (*Node, error) { return s.Head(s.ctx) },
		} {
			node, err := find()
			s.must(err)
			s.change()
			s.loseDisk(node)
			s.must(node.Start())
			s.must(s.Operator.CheckReadBack(s.ctx))
			s.must(s.AwaitAgreement(s.ctx))
			s.must(s.load.AwaitAnswers(s.ctx, 2))
		}
	}
	s.finish()
}

// TestAcknowledgedChangeSurvivesKillOfAllNodes right after an acknowledgement: it is read back.
func TestAcknowledgedChangeSurvivesKillOfAllNodes(t *testing.T) {
	s := newScenario(t, nil)
	for range rounds() {
		s.change()
		for _, node := range s.Nodes {
			node.Kill()
		}
		for _, node := range s.Nodes {
			s.must(node.Start())
		}
		s.must(s.Operator.CheckReadBack(s.ctx))
		s.must(s.AwaitAgreement(s.ctx))
		s.must(s.load.AwaitAnswers(s.ctx, 2))
	}
	s.finish()
}

// TestChangesContinueWithoutOneCoreNode: with two of three left, changes go on, and are read back once the third is there again.
func TestChangesContinueWithoutOneCoreNode(t *testing.T) {
	s := newScenario(t, nil)
	gone := s.Core()[1]
	gone.Kill()
	for range 3 {
		s.change()
	}
	s.must(s.load.AwaitAnswers(s.ctx, 5))
	s.must(gone.Start())
	s.must(s.AwaitAgreement(s.ctx))
	s.change()
	s.requireFewRejections(s.finish())
}
