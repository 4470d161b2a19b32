package gossip

import (
	"encoding/json"
	"fmt"

	"github.com/hashicorp/memberlist"
)

// Report is one aggregator's observation of a site. Its JSON encoding is the message that members exchange.
type Report struct {
	Peer     string  `json:"p"` // name of the member that made the observation
	Site     int     `json:"s"` // index of the site
	Lost     bool    `json:"l"` // whether the site is lost; otherwise it is healthy
	AgeMs    float64 `json:"a"` // age of the observation when the report was first sent; transmission takes less than a second
	Sequence int64   `json:"n"` // increases with each report of a peer, also over its restarts
}

// maxReportBytes is the maximum length of a message. Members never send a longer one.
const maxReportBytes = 512

// parseReport decodes a message and reports whether it is a valid report.
func parseReport(message []byte) (r Report, ok bool) {
	if len(message) > maxReportBytes || json.Unmarshal(message, &r) != nil {
		return Report{}, false
	}
	return r, r.Peer != "" && r.Site >= 0 && r.AgeMs >= 0
}

// broadcast is a queued message. A later message about the same peer and site replaces it in the queue.
type broadcast struct {
	key     string // broadcastKey of the report
	payload []byte // JSON encoding of the report
}

// broadcastKey returns the key that all reports of one peer about one site share.
func broadcastKey(peer string, site int) string { return fmt.Sprint(peer, " ", site) }

// Invalidates implements memberlist.Broadcast. It reports whether other is of the same peer and site, so that a later report
// replaces an earlier one.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(*broadcast)
	return ok && o.key == b.key
}

// Message implements memberlist.Broadcast. It returns the encoded report.
func (b *broadcast) Message() []byte { return b.payload }

// Finished implements memberlist.Broadcast. It does nothing, as nothing waits for the end of a transmission.
func (b *broadcast) Finished() {}
