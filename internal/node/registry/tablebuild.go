package registry

import (
	"maps"
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Table returns the newest picture of all brokers known. It is never changed; a change makes another.
func (r *Registry) Table() *Table {
	if len(r.staleServices) > 0 {
		r.table = r.buildTable()
		clear(r.staleServices)
	}
	return r.table
}

// invalidateService notes that a service's list in the table is to be made anew.
func (r *Registry) invalidateService(service string) {
	r.staleServices[service] = true
	r.tableChanged = true
}

// refreshTableEntry makes the broker's entry in the table anew.
func (r *Registry) refreshTableEntry(now core.Time, rec *record) {
	r.removeTableEntry(rec)
	if rec.gone() {
		return
	}
	rec.tableEntry = rec.newTableEntry(now)
	r.invalidateService(rec.tableEntry.Service)
}

// removeTableEntry takes the broker out of the table.
func (r *Registry) removeTableEntry(rec *record) {
	if rec.tableEntry == nil {
		return
	}
	r.invalidateService(rec.tableEntry.Service)
	rec.tableEntry = nil
}

func (r *record) newTableEntry(now core.Time) *Instance {
	versions := make(map[string]uint64, len(r.reported.Models))
	for _, model := range r.reported.Models {
		versions[model.Name] = model.Version
	}
	return &Instance{
		ID: r.reported.Id, Service: r.reported.Service, Address: r.reported.Address, Zone: r.reported.Zone,
		Slots: int(r.reported.Slots), State: State(r.reported.State), Versions: versions,
		Loading: r.loading(now), Unresponsive: r.unresponsive, WarmingUpUntil: r.warmingUpUntil,
	}
}

// buildTable makes the lists of the changed services anew and takes over those of the others.
func (r *Registry) buildTable() *Table {
	table := &Table{
		Revision:  r.table.Revision + 1,
		ByService: maps.Clone(r.table.ByService),
		ByID:      maps.Clone(r.table.ByID),
	}
	for service := range r.staleServices {
		for _, before := range table.ByService[service] {
			delete(table.ByID, before.ID)
		}
		delete(table.ByService, service)
	}
	for service := range r.staleServices {
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
			list = t.appendTableEntries(list)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return compareText(a.ID, b.ID) })
	return list
}

func (t *topic) appendTableEntries(list []*Instance) []*Instance {
	for _, rec := range t.records {
		if rec.tableEntry != nil {
			list = append(list, rec.tableEntry)
		}
	}
	return list
}

func sortByID(list []*nodepb.Instance) {
	slices.SortFunc(list, func(a, b *nodepb.Instance) int { return compareText(a.Id, b.Id) })
}
