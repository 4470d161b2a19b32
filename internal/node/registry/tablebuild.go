package registry

import (
	"maps"
	"slices"
	"strings"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Table returns the newest table of the known brokers. It is rebuilt if an entry has changed; tables
// returned before stay as they are.
func (r *Registry) Table() *Table {
	if len(r.staleServices) > 0 {
		r.table = r.buildTable()
		clear(r.staleServices)
	}
	return r.table
}

// invalidateService has a service's list rebuilt with the next table.
func (r *Registry) invalidateService(service string) {
	r.staleServices[service] = true
	r.tableChanged = true
}

// refreshTableEntry replaces the broker's entry in the table.
func (r *Registry) refreshTableEntry(now core.Time, rec *record) {
	r.removeTableEntry(rec)
	if rec.gone() {
		return
	}
	rec.tableEntry = rec.newTableEntry(now)
	r.invalidateService(rec.tableEntry.Service)
}

// removeTableEntry removes the broker's entry from the table.
func (r *Registry) removeTableEntry(rec *record) {
	if rec.tableEntry == nil {
		return
	}
	r.invalidateService(rec.tableEntry.Service)
	rec.tableEntry = nil
}

// newTableEntry returns the record as an entry of the table.
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

// buildTable rebuilds the lists of the stale services and shares those of the others with the
// previous table. All stale entries go before any new one is added, as a broker may have moved from
// one service to another.
func (r *Registry) buildTable() *Table {
	table := &Table{
		Revision:  r.table.Revision + 1,
		ByService: maps.Clone(r.table.ByService),
		ByID:      maps.Clone(r.table.ByID),
	}
	for service := range r.staleServices {
		for _, entry := range table.ByService[service] {
			delete(table.ByID, entry.ID)
		}
		delete(table.ByService, service)
	}
	for service := range r.staleServices {
		list := r.listService(service)
		if len(list) == 0 {
			continue
		}
		table.ByService[service] = list
		for _, entry := range list {
			table.ByID[entry.ID] = entry
		}
	}
	return table
}

// listService returns the entries of a service, ordered by id.
func (r *Registry) listService(service string) []*Instance {
	var list []*Instance
	for key, t := range r.topics {
		if key.service == service {
			list = t.appendTableEntries(list)
		}
	}
	slices.SortFunc(list, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
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
	slices.SortFunc(list, func(a, b *nodepb.Instance) int { return strings.Compare(a.Id, b.Id) })
}
