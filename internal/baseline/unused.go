package baseline

import "kestrelspread/internal/aggregator/policy"

// The methods of policy.Port in this file do nothing: they serve features that the baseline policies lack.

// Shares implements policy.Port. It does nothing.
func (p *Port) Shares(int, float64, float64, float64, int) {}

// Customer implements policy.Port. It does nothing.
func (p *Port) Customer(float64, float64) {}

// MaxRetryAfter implements policy.Port. It does nothing.
func (p *Port) MaxRetryAfter(float64) {}

// WarmUp implements policy.Port. It does nothing.
func (p *Port) WarmUp(float64, float64, float64, float64) {}

// Budget implements policy.Port. It does nothing.
func (p *Port) Budget(float64, float64, float64) {}

// Reports implements policy.Port. It does nothing.
func (p *Port) Reports(bool, []policy.Field) {}

// Probes implements policy.Port. It does nothing.
func (p *Port) Probes() {}

// Discovery implements policy.Port. It does nothing.
func (p *Port) Discovery(bool) {}

// Probed implements policy.Port. It does nothing.
func (p *Port) Probed(int, bool, float64, []float64) {}

// Refusals implements policy.Port. It returns no counts.
func (p *Port) Refusals(int) []int { return nil }

// ZoneChanged implements policy.Port. It does nothing.
func (p *Port) ZoneChanged(int, bool, float64) {}

// CapacityFloor implements policy.Port. It does nothing.
func (p *Port) CapacityFloor(float64, float64) {}

// SearchValue implements policy.Port. It returns 0.
func (p *Port) SearchValue(int) float64 { return 0 }

// Priority implements policy.Port. It does nothing.
func (p *Port) Priority(int, float64) {}

// CustomerWeight implements policy.Port. It does nothing.
func (p *Port) CustomerWeight(int, float64) {}

// RetryWeight implements policy.Port. It does nothing.
func (p *Port) RetryWeight(float64) {}

// MarkRetry implements policy.Port. It does nothing.
func (p *Port) MarkRetry(int) {}

// DiscoveryFailed implements policy.Port. It does nothing.
func (p *Port) DiscoveryFailed() {}

// RetryAfter implements policy.Port. It returns 0, no advice.
func (p *Port) RetryAfter(int) float64 { return 0 }

// Woken implements policy.Port. It does nothing.
func (p *Port) Woken() {}

// ClientSending implements policy.Port. It does nothing.
func (p *Port) ClientSending(int, bool) {}

// Pushback implements policy.Port. It does nothing.
func (p *Port) Pushback(int, float64) {}
