package config

// Bounds of what the state keeps beside the configuration, so that it can't outgrow memory, disk
// and transfer.
const (
	maxModels       = 4096
	maxRoles        = 256
	maxGrantTargets = 8192 // instances that one grant claims: the brokers of a service
	maxDrains       = 4096
	maxNameBytes    = 512 // of a model, role, holder, instance, subject or kind
)

// checkName checks a name in a command; field is the name's field in the wire format.
func checkName(field, name string) error {
	if name == "" {
		return invalid(field, "must not be empty")
	}
	if len(name) > maxNameBytes {
		return invalid(field, "longer than %d bytes", maxNameBytes)
	}
	return nil
}

func tooMany(field string, limit int) error {
	return invalid(field, "more than %d of them", limit)
}
