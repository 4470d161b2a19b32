package config

// Isolates reports whether the configuration isolates a caller that shared cached prefixes under the
// one before: an API key of an isolated tenant that belonged to another tenant or one that was not
// isolated, or any isolated tenant where no tenant had a key, as callers were not told apart then (an
// empty list of tenants required no key in earlier versions of the program).
// before may be nil: what nodes held is not known.
func (c *Compiled) Isolates(before *Compiled) bool {
	for key, tenant := range c.Tenants {
		if !tenant.Isolated {
			continue
		}
		if before == nil || len(before.Tenants) == 0 {
			return true
		}
		previous := before.Tenants[key]
		if previous != nil && (!previous.Isolated || previous.Name != tenant.Name) {
			return true
		}
	}
	return false
}
