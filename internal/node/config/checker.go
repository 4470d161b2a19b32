package config

// ItemKind is the part of a configuration that an item belongs to.
type ItemKind uint8

// The kinds of items. All but UnknownItem have a schema.
const (
	RouteItem ItemKind = iota
	ServiceItem
	TenantItem
	LimitsItem
	UnknownItem // of a list that has no meaning here; never passed to a Checker
)

// SchemaItem is one new or changed item of a configuration.
type SchemaItem struct {
	Kind ItemKind
	Path ItemPath // in what the operator sent, for error messages
	JSON []byte   // compact, as sent
}

// Checker checks single items against a schema. It sees only new and changed items, and only at the
// head of the chain. Package config/schema implements it.
type Checker interface {
	// CheckItems returns an *InvalidError about the first item that violates the schema.
	CheckItems(items []SchemaItem) error
}
