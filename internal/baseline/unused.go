package baseline

import "kestrelspread/internal/aggregator/policy"

// The methods of policy.Decider in this file do nothing: they serve features that the baseline policies lack.

// SetAnswerShares implements policy.Decider. It does nothing.
func (p *Port) SetAnswerShares(int, float64, float64, float64, int) {}

// AddCustomer implements policy.Decider. It does nothing.
func (p *Port) AddCustomer(float64, float64) {}

// SetMaxRetryAfter implements policy.Decider. It does nothing.
func (p *Port) SetMaxRetryAfter(float64) {}

// SetWarmUp implements policy.Decider. It does nothing.
func (p *Port) SetWarmUp(float64, float64, float64, float64) {}

// SetRetryBudget implements policy.Decider. It does nothing.
func (p *Port) SetRetryBudget(float64, float64, float64) {}

// SetLoadReports implements policy.Decider. It does nothing.
func (p *Port) SetLoadReports(bool, []policy.ReportField) {}

// AllowProbes implements policy.Decider. It does nothing.
func (p *Port) AllowProbes() {}

// SetDiscovery implements policy.Decider. It does nothing.
func (p *Port) SetDiscovery(bool) {}

// ProbeDone implements policy.Decider. It does nothing.
func (p *Port) ProbeDone(int, bool, float64, []float64) {}

// Refusals implements policy.Decider. It returns no counts.
func (p *Port) Refusals(int) []int { return nil }

// ZoneChanged implements policy.Decider. It does nothing.
func (p *Port) ZoneChanged(int, bool, float64) {}

// SetCapacityFloor implements policy.Decider. It does nothing.
func (p *Port) SetCapacityFloor(float64, float64) {}

// SearchValue implements policy.Decider. It returns 0.
func (p *Port) SearchValue(int) float64 { return 0 }

// SetPriority implements policy.Decider. It does nothing.
func (p *Port) SetPriority(int, float64) {}

// SetCustomerWeight implements policy.Decider. It does nothing.
func (p *Port) SetCustomerWeight(int, float64) {}

// SetRetryWeight implements policy.Decider. It does nothing.
func (p *Port) SetRetryWeight(float64) {}

// MarkRetry implements policy.Decider. It does nothing.
func (p *Port) MarkRetry(int) {}

// DiscoveryFailed implements policy.Decider. It does nothing.
func (p *Port) DiscoveryFailed() {}

// RetryAfter implements policy.Decider. It returns 0, no advice.
func (p *Port) RetryAfter(int) float64 { return 0 }

// WakeUpDue implements policy.Decider. It does nothing.
func (p *Port) WakeUpDue() {}

// SetClientSending implements policy.Decider. It does nothing.
func (p *Port) SetClientSending(int, bool) {}

// RetryPushback implements policy.Decider. It does nothing.
func (p *Port) RetryPushback(int, float64) {}
