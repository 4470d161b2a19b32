package config

// ItemKind says which part of a configuration an item belongs to.
type ItemKind uint8

// The kinds of items that have a schema.
const (
	RouteItem ItemKind = iota
	ServiceItem
	TenantItem
	LimitsItem
	UnknownItem // of a list without a meaning here; never handed to a Checker
)

// SchemaItem is one new or changed item of a configuration.
type SchemaItem struct {
	Kind ItemKind
	Path ItemPath
	JSON []byte
}

// Checker checks the form of single items against a schema. It is asked only about new and changed items, and only
// at the head of the chain. Package config/schema has the one in use.
type Checker interface {
	// CheckItems returns an error of type ErrInvalid for the first item that breaks the schema.
	CheckItems(items []SchemaItem) error
}
