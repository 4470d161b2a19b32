package zonerecovery

import "encoding/json"

// Stage is how far a site has recovered. Its JSON is published as the role's progress.
type Stage struct {
	Site         int     `json:"site"`
	Share        float64 `json:"share"` // 0: it is lost; 1: it has recovered
	RecentLosses int     `json:"falls"`
}

func (s *Stage) valid() bool {
	return s.Site >= 0 && s.Share >= 0 && s.Share <= 1
}

// ParseStages reads published stages. Nothing published is no stages; invalid ones are left out, also beside an error.
func ParseStages(data []byte) (stages []Stage, err error) {
	if len(data) > 0 {
		err = json.Unmarshal(data, &stages)
	}
	valid := stages[:0]
	for _, stage := range stages {
		if stage.valid() {
			valid = append(valid, stage)
		}
	}
	return valid, err
}
