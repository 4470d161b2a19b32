package gossip

import (
	"encoding/json"
	"fmt"

	"github.com/hashicorp/memberlist"
)

// Report is what one broker observed of a site. Its JSON is the message between instances.
type Report struct {
	Peer     string  `json:"p"`
	Site     int     `json:"s"`
	Lost     bool    `json:"l"`
	AgeMs    float64 `json:"a"` // since the observation, when it was first sent; transmission takes less than a second
	Sequence int64   `json:"n"` // rises with each report of a peer, over its restarts too
}

// maxReportBytes bounds a message: no peer writes a longer one.
const maxReportBytes = 512

// parseReport reads a message, and tells whether it is one.
func parseReport(message []byte) (r Report, ok bool) {
	if len(message) > maxReportBytes || json.Unmarshal(message, &r) != nil {
		return Report{}, false
	}
	return r, r.Peer != "" && r.Site >= 0 && r.AgeMs >= 0
}

// broadcast is a queued message. A later one of the same peer and site takes its place.
type broadcast struct {
	key     string
	payload []byte
}

func broadcastKey(peer string, site int) string { return fmt.Sprint(peer, " ", site) }

// Invalidates implements memberlist.Broadcast: a later report of the same peer and site replaces an earlier one.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.key == b.key
}

// Message implements memberlist.Broadcast.
func (b *broadcast) Message() []byte { return b.payload }

// Finished implements memberlist.Broadcast; nobody waits for it.
func (b *broadcast) Finished() {}
