package scale

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A small fleet's proxies know their brokers' loads and may retry what was turned away; docs/CAPACITY.md tells what becomes of that
// as the proxies grow.
func TestRoutingOfASmallFleet(t *testing.T) {
	result := RoutingAt(10, TwoYears)
	assert.Check(t, result.Requests > 1500, "%+v", result)
	assert.Check(t, result.Retries > 50 && result.Retried > 0.9, "%+v", result)
	assert.Check(t, result.Fresh > 0.2 && result.Fresh <= 1, "%+v", result)
	assert.Check(t, result.Chosen >= result.Fresh, "%+v", result)
}
