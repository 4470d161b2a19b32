package registry

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Table returns the newest picture of all brokers known. It is never changed; a change makes another.
func (r *Registry) Table() *Table {
	if r.dirty {
		r.dirty = false
		r.table = r.buildTable()
	}
	return r.table
}

func (r *Registry) tableChanged() {
	r.dirty = true
	r.announce = true
}

// refreshPicture makes the broker's entry in the table anew.
func (r *Registry) refreshPicture(now core.Time, rec *record) {
	if rec.gone() && rec.picture == nil {
		return
	}
	rec.picture = nil
	if !rec.gone() {
		rec.picture = rec.paint(now)
	}
	r.tableChanged()
}

func (r *record) paint(now core.Time) *Instance {
	versions := make(map[string]uint64, len(r.told.Models))
	for _, model := range r.told.Models {
		versions[model.Name] = model.Version
	}
	return &Instance{
		ID: r.told.Id, Service: r.told.Service, Address: r.told.Address, Zone: r.told.Zone,
		Slots: int(r.told.Slots), State: State(r.told.State), Versions: versions,
		Loading: r.loading(now), Silent: r.silent, ColdUntil: r.coldUntil,
	}
}

func (r *Registry) buildTable() *Table {
	table := &Table{
		Revision:  r.table.Revision + 1,
		ByService: map[string][]*Instance{},
		ByID:      make(map[string]*Instance, len(r.records)),
	}
	for id, rec := range r.records {
		if rec.picture == nil {
			continue
		}
		table.ByID[id] = rec.picture
		service := rec.picture.Service
		table.ByService[service] = append(table.ByService[service], rec.picture)
	}
	for _, list := range table.ByService {
		slices.SortFunc(list, func(a, b *Instance) int { return compareText(a.ID, b.ID) })
	}
	return table
}

func sortByID(list []*nodepb.Instance) {
	slices.SortFunc(list, func(a, b *nodepb.Instance) int { return compareText(a.Id, b.Id) })
}
