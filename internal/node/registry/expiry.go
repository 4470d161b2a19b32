package registry

import "kestrelspread/internal/node/core"

// expiresAt is when the record changes by the passing of time alone; core.Never if it doesn't.
func (r *record) expiresAt() core.Time {
	if r.gone() {
		return r.goneAt + tombstoneRetention
	}
	next := core.Never
	if r.unresponsive {
		next = r.unresponsiveSince + unresponsiveRetention
	}
	if r.loadingToken != 0 && r.tableEntry != nil && r.tableEntry.Loading {
		next = min(next, r.loadingSince+loadingTimeout)
	}
	return next
}

// watchExpiry makes sure that expire is called when the record expires.
func (r *Registry) watchExpiry(rec *record) { r.nextExpiry = min(r.nextExpiry, rec.expiresAt()) }

// expire drops tombstones and unresponsive brokers after their retention, and loading marks that
// were never cleared.
func (r *Registry) expire(now core.Time) {
	r.nextExpiry = core.Never
	for _, rec := range r.records {
		if rec.expiresAt() <= now {
			r.expireRecord(now, rec)
		}
		if r.records[rec.reported.Id] == rec {
			r.watchExpiry(rec)
		}
	}
}

// expireRecord drops a record, or rebuilds its entry in the table without the loading mark.
func (r *Registry) expireRecord(now core.Time, rec *record) {
	switch {
	case rec.gone():
		r.tombstoneCount--
		r.remove(rec)
	case rec.unresponsive && rec.unresponsiveSince+unresponsiveRetention <= now:
		r.remove(rec)
	default:
		r.refreshTableEntry(now, rec)
	}
}

// dropOldestTombstone drops the oldest tombstone other than the newest, which has just been added.
func (r *Registry) dropOldestTombstone(newest *record) {
	var oldest *record
	for _, rec := range r.records {
		if rec == newest || !rec.gone() {
			continue
		}
		if oldest == nil || rec.goneAt < oldest.goneAt {
			oldest = rec
		}
	}
	if oldest == nil {
		return
	}
	r.tombstoneCount--
	r.remove(oldest)
}
