package registry

import "kestrelspread/internal/node/core"

// expiresAt is when something about the record changes by time alone; Never where nothing does.
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

func (r *Registry) watchExpiry(rec *record) { r.nextExpiry = min(r.nextExpiry, rec.expiresAt()) }

// expire forgets tombstones and silent brokers whose time is over, and loading marks that nobody took away.
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

// dropOldestTombstone forgets the broker that went first, other than the newest one.
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
