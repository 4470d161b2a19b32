package baseline

import "kestrelspread/internal/aggregator/policy"

// The methods of policy.Decider below do nothing: they are for what only the module does.

// SetAnswerShares implements policy.Decider; the policies have no use for it.
func (p *Port) SetAnswerShares(int, float64, float64, float64, int) {}

// AddCustomer implements policy.Decider; the policies have no use for it.
func (p *Port) AddCustomer(float64, float64) {}

// SetMaxRetryAfter implements policy.Decider; the policies have no use for it.
func (p *Port) SetMaxRetryAfter(float64) {}

// SetWarmUp implements policy.Decider; the policies have no use for it.
func (p *Port) SetWarmUp(float64, float64, float64, float64) {}

// SetRetryBudget implements policy.Decider; the policies have no use for it.
func (p *Port) SetRetryBudget(float64, float64, float64) {}

// SetLoadReports implements policy.Decider; the policies have no use for it.
func (p *Port) SetLoadReports(bool, []policy.ReportField) {}

// AllowProbes implements policy.Decider; the policies have no use for it.
func (p *Port) AllowProbes() {}

// SetDiscovery implements policy.Decider; the policies have no use for it.
func (p *Port) SetDiscovery(bool) {}

// ProbeDone implements policy.Decider; the policies have no use for it.
func (p *Port) ProbeDone(int, bool, float64, []float64) {}

// Refusals implements policy.Decider; the policies have no use for it.
func (p *Port) Refusals(int) []int { return nil }

// ZoneChanged implements policy.Decider; the policies have no use for it.
func (p *Port) ZoneChanged(int, bool, float64) {}

// SetCapacityFloor implements policy.Decider; the policies have no use for it.
func (p *Port) SetCapacityFloor(float64, float64) {}

// SearchValue implements policy.Decider; the policies have no use for it.
func (p *Port) SearchValue(int) float64 { return 0 }

// SetPriority implements policy.Decider; the policies have no use for it.
func (p *Port) SetPriority(int, float64) {}

// SetCustomerWeight implements policy.Decider; the policies have no use for it.
func (p *Port) SetCustomerWeight(int, float64) {}

// SetRetryWeight implements policy.Decider; the policies have no use for it.
func (p *Port) SetRetryWeight(float64) {}

// MarkRetry implements policy.Decider; the policies have no use for it.
func (p *Port) MarkRetry(int) {}

// DiscoveryFailed implements policy.Decider; the policies have no use for it.
func (p *Port) DiscoveryFailed() {}

// RetryAfter implements policy.Decider; the policies have no use for it.
func (p *Port) RetryAfter(int) float64 { return 0 }

// WakeUpDue implements policy.Decider; the policies have no use for it.
func (p *Port) WakeUpDue() {}

// SetClientSending implements policy.Decider; the policies have no use for it.
func (p *Port) SetClientSending(int, bool) {}

// RetryPushback implements policy.Decider; the policies have no use for it.
func (p *Port) RetryPushback(int, float64) {}
