package config

import (
	"bytes"
	"slices"
	"strconv"

	"kestrelspread/internal/node/config/rawjson"
)

// Names of members of a configuration and of an update, beside those of the sections.
const (
	versionMember = "version"
	limitsMember  = "limits"
	upsertMember  = "upsert"
	removeMember  = "remove"
)

// document is one version of the configuration. It is immutable once parsed. emptyDocument stands
// for the state before the first.
type document struct {
	version      uint64
	routes       *section[Route]
	services     *section[Service]
	tenants      *section[Tenant]
	limits       Limits
	otherMembers []member // all others, limits too, in order
}

// member is a member of a JSON object that is kept as it was sent.
type member struct {
	name string
	raw  []byte // compact JSON
}

// changes are the items of a change that are new or differ from the previous version's: only they
// have to be checked.
type changes struct {
	routes  []changedItem[Route]
	tenants []changedItem[Tenant]
	schema  []SchemaItem
}

type changedItem[T any] struct {
	path  ItemPath
	value *T
}

// record adds an item. value is its decoded form.
func (c *changes) record(kind ItemKind, path ItemPath, raw []byte, value any) {
	if kind != UnknownItem {
		c.schema = append(c.schema, SchemaItem{Kind: kind, Path: path, JSON: raw})
	}
	switch value := value.(type) {
	case *Route:
		c.routes = append(c.routes, changedItem[Route]{path, value})
	case *Tenant:
		c.tenants = append(c.tenants, changedItem[Tenant]{path, value})
	}
}

// emptyDocument is the document before the first configuration. It is compared by address.
var emptyDocument = &document{}

// parseReplacement reads a full configuration; items that previous has as well are shared with it.
func parseReplacement(body []byte, previous *document) (*document, *changes, error) {
	if !rawjson.IsObject(body) {
		return nil, nil, invalid("body", "must be an object")
	}
	next, changes := new(document), new(changes)
	err := rawjson.EachMember(body, func(name, value []byte) error {
		return next.setMember(string(name), value, previous, changes)
	})
	if err != nil {
		return nil, nil, err
	}
	if next.version == 0 {
		return nil, nil, invalid(versionMember, "is missing or 0")
	}
	return next, changes, nil
}

// setMember sets one member of a full configuration.
func (d *document) setMember(name string, value []byte, previous *document, changes *changes) (err error) {
	switch name {
	case versionMember:
		d.version, err = decodeVersion(value)
	case routeSpec.key:
		d.routes, err = parseSection(routeSpec, value, previous.routes, changes)
	case serviceSpec.key:
		d.services, err = parseSection(serviceSpec, value, previous.services, changes)
	case tenantSpec.key:
		d.tenants, err = parseSection(tenantSpec, value, previous.tenants, changes)
	default:
		err = d.setOtherMember(name, value, previous, changes)
	}
	return err
}

// parseSection reads a section of a full configuration; it returns previous itself where nothing
// changed.
func parseSection[T any](spec *sectionSpec[T], array []byte, previous *section[T], changes *changes) (*section[T], error) {
	if rawjson.IsNull(array) {
		return nil, nil
	}
	parsed, err := spec.parse(spec.key, array, previous, changes)
	if err != nil {
		return nil, err
	}
	if previous != nil && slices.Equal(parsed.items, previous.items) {
		return previous, nil
	}
	return parsed, nil
}

// setOtherMember sets a member that is not a section: it replaces the one with its name, or is
// appended.
func (d *document) setOtherMember(name string, value []byte, previous *document, changes *changes) error {
	raw := bytes.Clone(value)
	if name == limitsMember {
		path := ItemPath{List: limitsMember, Index: notListed}
		limits, err := decodeLimits(path, raw)
		if err != nil {
			return err
		}
		d.limits = limits
		if !bytes.Equal(raw, previous.otherMember(limitsMember)) {
			changes.record(LimitsItem, path, raw, nil)
		}
	}
	for i := range d.otherMembers {
		if d.otherMembers[i].name == name {
			d.otherMembers[i].raw = raw
			return nil
		}
	}
	d.otherMembers = append(d.otherMembers, member{name: name, raw: raw})
	return nil
}

func (d *document) otherMember(name string) []byte {
	for _, member := range d.otherMembers {
		if member.name == name {
			return member.raw
		}
	}
	return nil
}

// decodeVersion reads a version. Texts such as 9.0 are accepted, beyond 2^53 only plain integers
// are.
func decodeVersion(value []byte) (uint64, error) {
	if version, err := strconv.ParseUint(string(value), 10, 64); err == nil {
		return version, nil
	}
	version, ok := rawjson.Integer(value)
	if !ok || version < 0 {
		return 0, invalid(versionMember, "must be a whole number above 0")
	}
	return uint64(version), nil
}

// render returns the configuration as compact JSON.
func (d *document) render() []byte {
	text := make([]byte, 0, d.renderedSize())
	text = append(text, `{"version":`...)
	text = strconv.AppendUint(text, d.version, 10)
	text = appendSection(text, routeSpec, d.routes)
	text = appendSection(text, serviceSpec, d.services)
	for _, member := range d.otherMembers {
		text = rawjson.AppendName(append(text, ','), member.name)
		text = append(text, member.raw...)
	}
	text = appendSection(text, tenantSpec, d.tenants)
	return append(text, '}')
}

func appendSection[T any](text []byte, spec *sectionSpec[T], section *section[T]) []byte {
	if section == nil {
		return text
	}
	text = rawjson.AppendName(append(text, ','), spec.key)
	text = append(text, '[')
	for i, item := range section.items {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, item.raw...)
	}
	return append(text, ']')
}

// renderedSize is about the length of render's text, in bytes. Replicas decide by it, see prepare:
// the calculation must not change.
func (d *document) renderedSize() int {
	const frame = 96 // braces, names of the sections, version
	size := frame + sectionSize(d.routes) + sectionSize(d.services) + sectionSize(d.tenants)
	for _, member := range d.otherMembers {
		size += len(member.name) + len(member.raw) + len(`,"":`)
	}
	return size
}

func sectionSize[T any](section *section[T]) int {
	size := 0
	for _, item := range section.list() {
		size += len(item.raw) + 1
	}
	return size
}
