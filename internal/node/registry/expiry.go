package registry

import "kestrelspread/internal/node/core"

// expiresAt is when something about the record changes by time alone; Never where nothing does.
func (r *record) expiresAt() core.Time {
	if r.gone() {
		return r.goneAt + tombstoneLife
	}
	next := core.Never
	if r.silent {
		next = r.silentFrom + forgetSilentAfter
	}
	if r.loadingFence != 0 && r.picture != nil && r.picture.Loading {
		next = min(next, r.loadingSince+loadingLimit)
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
		if r.records[rec.told.Id] == rec {
			r.watchExpiry(rec)
		}
	}
}

func (r *Registry) expireRecord(now core.Time, rec *record) {
	switch {
	case rec.gone():
		r.gone--
		r.remove(rec)
	case rec.silent && rec.silentFrom+forgetSilentAfter <= now:
		r.remove(rec)
	default:
		r.refreshPicture(now, rec)
	}
}

// dropOldestGone forgets the broker that went first, other than the newest one.
func (r *Registry) dropOldestGone(newest *record) {
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
	r.gone--
	r.remove(oldest)
}
