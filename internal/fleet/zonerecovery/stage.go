package zonerecovery

import "encoding/json"

// Stage tells how far a site has recovered. The holder of the role publishes a list of stages as JSON, as the progress of the role.
type Stage struct {
	Site         int     `json:"site"`
	Share        float64 `json:"share"` // share of its load that the site may get; 0: it is lost; 1: it has recovered
	RecentLosses int     `json:"falls"` // losses that are not yet forgotten
}

// valid reports whether the site index and the share are in their ranges.
func (s *Stage) valid() bool {
	return s.Site >= 0 && s.Share >= 0 && s.Share <= 1
}

// ParseStages parses published stages. Empty data means that there are none. Stages with values out of range are left out. If the
// data is malformed, it returns an error together with the valid stages that could be parsed.
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
