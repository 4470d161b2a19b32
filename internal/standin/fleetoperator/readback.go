package fleetoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
)

// CheckReadBack fetches the newest configuration, and returns ErrLost if it is older than the newest acknowledged one, or differs from
// what was submitted as its version. Source: RULES.md, CONFIG.
func (o *Operator) CheckReadBack(ctx context.Context) error {
	read, err := o.Fetch(ctx)
	if err != nil {
		return err
	}
	newest := o.Current().Version
	if read.Version < newest {
		return fmt.Errorf("%w: version %d is read back, %d was acknowledged", ErrLost, read.Version, newest)
	}
	for _, sent := range o.submittedAs(read.Version) {
		if isEqual(read, sent) {
			return nil
		}
	}
	return fmt.Errorf("%w: version %d as it was fetched was never submitted", ErrLost, read.Version)
}

// Fetch reads the configuration in force, from one node after another until one answers. The error is of type ErrLost.
func (o *Operator) Fetch(ctx context.Context) (Configuration, error) {
	given, err := o.sender.send(ctx, call{method: http.MethodGet, path: pathFetch})
	if err != nil {
		return Configuration{}, fmt.Errorf("%w: no configuration can be fetched: %w", ErrLost, err)
	}
	if given.status != http.StatusOK {
		return Configuration{}, fmt.Errorf("%w: reading back: status %d: %s", ErrLost, given.status, given.body)
	}
	var read Configuration
	if err := json.Unmarshal(given.body, &read); err != nil {
		return Configuration{}, fmt.Errorf("%w: decoding the configuration that was fetched: %w", ErrLost, err)
	}
	return read, nil
}

// submittedAs returns the configurations that changes with a version have put in force, or would have.
func (o *Operator) submittedAs(version uint64) []Configuration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var submitted []Configuration
	for _, a := range o.acknowledged {
		if a.Configuration.Version == version {
			submitted = append(submitted, a.Configuration)
		}
	}
	for _, unclear := range o.unclear {
		if unclear.Version == version {
			submitted = append(submitted, unclear)
		}
	}
	return submitted
}

// isEqual compares configurations item by item, in any order.
func isEqual(a, b Configuration) bool {
	return reflect.DeepEqual(byName(a), byName(b))
}

// byName is the items of a configuration by kind and name.
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
