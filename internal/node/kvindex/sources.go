package kvindex

import (
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/registry"
)

// SourcesOf returns the stores, and the brokers that serve models, of the (service, zone) pairs for which
// isHome holds. The order of the list is random.
func SourcesOf(table *registry.Table, stores []*config.Service, isHome func(service, zone string) bool) []Source {
	var list []Source
	for service, instances := range table.ByService {
		for _, instance := range instances {
			if len(instance.Versions) > 0 && instance.State != registry.Gone && isHome(service, instance.Zone) {
				list = append(list, Source{
					Instance: instance.ID, Address: instance.Address, Service: service, Zone: instance.Zone,
				})
			}
		}
	}
	for _, store := range stores {
		if store.KVStoreAddr != "" && isHome(store.Name, store.Zone) {
			list = append(list, Source{Address: store.KVStoreAddr, Service: store.Name, Zone: store.Zone})
		}
	}
	return list
}
