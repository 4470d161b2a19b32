package settings

// boundsDocument is the `bounds` of the file as it is written; nil stands for a bound that is missing
// or null.
type boundsDocument struct {
	SeedLagS         *float64 `json:"seedLagS"`
	ReuseAfterS      *float64 `json:"reuseAfterS"`
	ContactMs        *float64 `json:"contactMs"`
	AckMs            *float64 `json:"ackMs"`
	CatchUpS         *float64 `json:"catchUpS"`
	DrainMs          *float64 `json:"drainMs"`
	GraceS           *float64 `json:"graceS"`
	LossSlackMs      *float64 `json:"lossSlackMs"`
	ConfigApplyMs    *float64 `json:"configApplyMs"`
	DowngradeSlackMs *float64 `json:"downgradeSlackMs"`
	SkewMaxMs        *float64 `json:"skewMaxMs"`
	GlobalRevocation *bool    `json:"globalRevocation"`
	RevokeMs         *float64 `json:"revokeMs"`
	RetryBudgetRatio *float64 `json:"retryBudgetRatio"`
	BudgetWindowS    *float64 `json:"budgetWindowS"`
	RetryBudgetSlack *float64 `json:"retryBudgetSlack"`
	RecoveryS        *float64 `json:"recoveryS"`
	TransitMs        *float64 `json:"transitMs"`
	AgainS           *float64 `json:"again_s"`
	Fencing          *bool    `json:"fencing"`
	LeaseMs          *float64 `json:"leaseMs"`
	ThawMs           *float64 `json:"thawMs"`
	VersionMs        *float64 `json:"versionMs"`
	VersionAllMs     *float64 `json:"versionAllMs"`
}

// settings validates the bounds and fills in the defaults.
func (d boundsDocument) settings(check *checker) Bounds {
	bounds := defaultBounds()
	number := func(name string, value *float64, target *float64) {
		*target = check.number("bounds."+name, value, *target)
	}
	flag := func(value *bool, target *bool) {
		if value != nil {
			*target = *value
		}
	}
	number("seedLagS", d.SeedLagS, &bounds.SeedLagS)
	number("reuseAfterS", d.ReuseAfterS, &bounds.ReuseAfterS)
	number("contactMs", d.ContactMs, &bounds.ContactMs)
	number("ackMs", d.AckMs, &bounds.AckMs)
	number("catchUpS", d.CatchUpS, &bounds.CatchUpS)
	number("drainMs", d.DrainMs, &bounds.DrainMs)
	number("graceS", d.GraceS, &bounds.GraceS)
	number("lossSlackMs", d.LossSlackMs, &bounds.LossSlackMs)
	number("configApplyMs", d.ConfigApplyMs, &bounds.ConfigApplyMs)
	number("downgradeSlackMs", d.DowngradeSlackMs, &bounds.DowngradeSlackMs)
	number("skewMaxMs", d.SkewMaxMs, &bounds.SkewMaxMs)
	flag(d.GlobalRevocation, &bounds.GlobalRevocation)
	number("revokeMs", d.RevokeMs, &bounds.RevokeMs)
	number("retryBudgetRatio", d.RetryBudgetRatio, &bounds.RetryBudgetRatio)
	number("budgetWindowS", d.BudgetWindowS, &bounds.BudgetWindowS)
	number("retryBudgetSlack", d.RetryBudgetSlack, &bounds.RetryBudgetSlack)
	number("recoveryS", d.RecoveryS, &bounds.RecoveryS)
	number("transitMs", d.TransitMs, &bounds.TransitMs)
	number("again_s", d.AgainS, &bounds.AgainS)
	flag(d.Fencing, &bounds.Fencing)
	number("leaseMs", d.LeaseMs, &bounds.LeaseMs)
	number("thawMs", d.ThawMs, &bounds.ThawMs)
	number("versionMs", d.VersionMs, &bounds.VersionMs)
	number("versionAllMs", d.VersionAllMs, &bounds.VersionAllMs)
	return bounds
}
