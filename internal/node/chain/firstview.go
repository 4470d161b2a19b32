package chain

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// startFounding makes durable that this disk belongs to a system that has no view yet, so that a founder that restarts
// before there is one goes on founding.
func (s *Store) startFounding(recorded []string) {
	switch {
	case s.view != nil:
	case len(recorded) > 0:
		s.founders = recorded
	case s.options.Founding && len(s.options.Founders) > 0:
		s.founders = slices.Clone(s.options.Founders)
		s.persist(kindFounding, &nodepb.FoundingRecord{Founders: s.founders}, nil)
	}
}

// considerFounding proposes the first view, if this node is the first founder that is there. It waits a second for all
// founders, then goes on with a majority of them.
func (s *Store) considerFounding() {
	place := slices.Index(s.founders, s.address())
	if place < 0 || s.diskID() == "" || s.round != nil || s.now < s.notBefore || !s.writer.healthy(s.now) {
		return
	}
	present, ahead := s.foundersPresent(place)
	if present < view.Majority(len(s.founders)) {
		return
	}
	waited := s.now - s.started
	if present < len(s.founders) && waited < foundersWait {
		return
	}
	if ahead > 0 && waited < foundersWait+core.Time(ahead)*foundingRank {
		return
	}
	s.startRound()
}

// foundersPresent counts the founders that have been heard, and those of them that come before the place and count.
func (s *Store) foundersPresent(place int) (present, ahead int) {
	for i, founder := range s.founders {
		if i == place {
			present++
			continue
		}
		told := s.detector.LastReport(founder)
		if told == nil {
			continue
		}
		present++
		if i < place && told.CountsForQuorum && told.DiskHealthy {
			ahead++
		}
	}
	return present, ahead
}

// foundingView is the first view: the founders that are there and count, in the order of the seeds.
func (s *Store) foundingView() *nodepb.View {
	var voters []*nodepb.Voter
	for _, founder := range s.founders {
		if voter := s.founderVoter(founder); voter != nil {
			voters = append(voters, voter)
		}
	}
	return view.FirstView(voters, s.options.Tolerance)
}

func (s *Store) founderVoter(founder string) *nodepb.Voter {
	if founder == s.address() {
		return s.options.Self
	}
	told := s.detector.LastReport(founder)
	if told == nil || !told.CountsForQuorum || !told.DiskHealthy {
		return nil
	}
	return told.Voter
}
