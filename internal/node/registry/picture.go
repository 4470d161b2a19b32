package registry

import (
	"maps"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Table returns the newest picture of all brokers known. It is never changed; a change makes another.
func (r *Registry) Table() *Table {
	if len(r.repaint) > 0 {
		r.table = r.buildTable()
		clear(r.repaint)
	}
	return r.table
}

// tableChanged notes that a service's list in the table is to be made anew.
func (r *Registry) tableChanged(service string) {
	r.repaint[service] = true
	r.announce = true
}

// refreshPicture makes the broker's entry in the table anew.
func (r *Registry) refreshPicture(now core.Time, rec *record) {
	r.erase(rec)
	if rec.gone() {
		return
	}
	rec.picture = rec.paint(now)
	r.tableChanged(rec.picture.Service)
}

// erase takes the broker out of the table.
func (r *Registry) erase(rec *record) {
	if rec.picture == nil {
		return
	}
	r.tableChanged(rec.picture.Service)
	rec.picture = nil
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

// buildTable makes the lists of the changed services anew and takes over those of the others.
func (r *Registry) buildTable() *Table {
	table := &Table{
		Revision:  r.table.Revision + 1,
		ByService: maps.Clone(r.table.ByService),
		ByID:      maps.Clone(r.table.ByID),
	}
	for service := range r.repaint {
		for _, before := range table.ByService[service] {
			delete(table.ByID, before.ID)
		}
		delete(table.ByService, service)
	}
	for service := range r.repaint {
		list := r.listService(service)
		if len(list) == 0 {
			continue
		}
		table.ByService[service] = list
		for _, picture := range list {
			table.ByID[picture.ID] = picture
		}
	}
	return table
}

func (r *Registry) listService(service string) []*Instance {
	var list []*Instance
	for key, t := range r.topics {
		if key.service == service {
			list = t.appendPictures(list)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return compareText(a.ID, b.ID) })
	return list
}

func (t *topic) appendPictures(list []*Instance) []*Instance {
	for _, rec := range t.records {
		if rec.picture != nil {
			list = append(list, rec.picture)
		}
	}
	return list
}

func sortByID(list []*nodepb.Instance) {
	slices.SortFunc(list, func(a, b *nodepb.Instance) int { return compareText(a.Id, b.Id) })
}
