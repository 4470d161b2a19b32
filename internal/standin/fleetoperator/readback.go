package fleetoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
)

// CheckReadBack asks for the newest configuration, and returns ErrLost where it is older than the newest
// acknowledged one, or differs from what was sent under its number (RULES.md, CONFIG).
func (o *Operator) CheckReadBack(ctx context.Context) error {
	given, err := o.sender.send(ctx, call{method: http.MethodGet, path: pathFetch})
	if err != nil {
		return fmt.Errorf("%w: no configuration can be read back: %w", ErrLost, err)
	}
	if given.status != http.StatusOK {
		return fmt.Errorf("%w: reading back: status %d: %s", ErrLost, given.status, given.body)
	}
	var read Configuration
	if err := json.Unmarshal(given.body, &read); err != nil {
		return fmt.Errorf("%w: what is read back is no configuration: %w", ErrLost, err)
	}
	newest := o.Current().Version
	if read.Version < newest {
		return fmt.Errorf("%w: version %d is read back, %d was acknowledged", ErrLost, read.Version, newest)
	}
	for _, sent := range o.sentAs(read.Version) {
		if same(read, sent) {
			return nil
		}
	}
	return fmt.Errorf("%w: version %d as it is read back was never sent", ErrLost, read.Version)
}

// sentAs gives the configurations that changes under a number would have put in force.
func (o *Operator) sentAs(version uint64) []Configuration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var list []Configuration
	for _, a := range o.acknowledged {
		if a.Configuration.Version == version {
			list = append(list, a.Configuration)
		}
	}
	for _, unclear := range o.unclear {
		if unclear.Version == version {
			list = append(list, unclear)
		}
	}
	return list
}

// same compares configurations item by item; the order of items has no meaning.
func same(a, b Configuration) bool {
	return reflect.DeepEqual(byName(a), byName(b))
}

func byName(c Configuration) map[string]any {
	items := map[string]any{"limits": c.Limits}
	for _, route := range c.Routes {
		items["route "+route.Name] = route
	}
	for _, service := range c.Services {
		items["service "+service.Name] = service
	}
	for _, tenant := range c.Tenants {
		items["tenant "+tenant.Name] = tenant
	}
	return items
}
