package config

import (
	"bytes"
	"slices"

	"kestrelspread/internal/node/config/rawjson"
)

// item is one named element of a section. It is immutable, and shared by all versions that contain
// it.
type item[T any] struct {
	name  string
	raw   []byte // compact JSON, as sent
	value *T
}

// section is a list of items with different names, in order. It is immutable. A nil section is one
// that the configuration does not have.
type section[T any] struct {
	items     []*item[T]
	positions map[string]int // in items, by name
}

// sectionSpec describes one of the sections.
type sectionSpec[T any] struct {
	key    string // name of the list in a configuration
	kind   ItemKind
	decode func(path ItemPath, object []byte) (*T, error)
}

var (
	routeSpec   = &sectionSpec[Route]{key: "routes", kind: RouteItem, decode: decodeRoute}
	serviceSpec = &sectionSpec[Service]{key: "services", kind: ServiceItem, decode: decodeService}
	tenantSpec  = &sectionSpec[Tenant]{key: "tenants", kind: TenantItem, decode: decodeTenant}
)

func (s *section[T]) list() []*item[T] {
	if s == nil {
		return nil
	}
	return s.items
}

func (s *section[T]) byName(name string) *item[T] {
	if s == nil {
		return nil
	}
	if position, ok := s.positions[name]; ok {
		return s.items[position]
	}
	return nil
}

func newSection[T any](items []*item[T]) *section[T] {
	positions := make(map[string]int, len(items))
	for position, item := range items {
		positions[item.name] = position
	}
	return &section[T]{items: items, positions: positions}
}

// parse reads a list of items. Those that previous has unchanged are shared with it; the others are
// recorded in changes.
func (f *sectionSpec[T]) parse(path string, array []byte, previous *section[T], changes *changes) (*section[T], error) {
	if !rawjson.IsArray(array) {
		return nil, invalid(path, "must be a list")
	}
	parsed := &section[T]{positions: make(map[string]int)}
	err := rawjson.EachElement(array, func(index int, object []byte) error {
		itemPath := ItemPath{List: path, Index: index}
		item, err := f.parseItem(itemPath, object, previous, changes)
		if err != nil {
			return err
		}
		if first, duplicate := parsed.positions[item.name]; duplicate {
			return invalid(fieldPath(itemPath, nameStep), "%q is also the name of %v", item.name, ItemPath{path, first})
		}
		parsed.positions[item.name] = index
		parsed.items = append(parsed.items, item)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return parsed, nil
}

func (f *sectionSpec[T]) parseItem(path ItemPath, object []byte, previous *section[T], changes *changes) (*item[T], error) {
	name, err := itemName(path, object)
	if err != nil {
		return nil, err
	}
	if known := previous.byName(name); known != nil && bytes.Equal(known.raw, object) {
		return known, nil
	}
	raw := bytes.Clone(object) // so that the item does not keep the body alive
	value, err := f.decode(path, raw)
	if err != nil {
		return nil, err
	}
	changes.record(f.kind, path, raw, value)
	return &item[T]{name: name, raw: raw, value: value}, nil
}

var nameStep = pathStep{name: "name"}

// itemName returns the name of an item. It must be a string that is not empty.
func itemName(path ItemPath, object []byte) (string, error) {
	if !rawjson.IsObject(object) {
		return "", invalid(path.String(), "must be an object")
	}
	quoted := rawjson.Member(object, "name")
	if quoted == nil || !rawjson.IsString(quoted) {
		return "", invalid(fieldPath(path, nameStep), "must be a string")
	}
	name := rawjson.String(quoted)
	if name == "" {
		return "", invalid(fieldPath(path, nameStep), "must not be empty")
	}
	return name, nil
}

// withUpdates returns the section without the items named in remove and with those in upsert: each
// replaces the item with its name, or is appended. It returns s itself where both are empty. Committed
// updates are carried out alike by all versions of the program: a removal makes an empty section of one
// that the configuration does not have (checkTenantList refuses that of the tenants).
func (s *section[T]) withUpdates(upsert []*item[T], remove []string) *section[T] {
	if len(upsert) == 0 && len(remove) == 0 {
		return s
	}
	items := slices.Clone(s.list())
	if len(remove) > 0 {
		items = without(items, remove)
	}
	positions := positionsOf(s, items)
	for _, item := range upsert {
		if position, ok := positions[item.name]; ok {
			items[position] = item
		} else {
			items = append(items, item)
		}
	}
	if s != nil && len(items) == len(positions) {
		return &section[T]{items: items, positions: positions}
	}
	return newSection(items)
}

func without[T any](items []*item[T], names []string) []*item[T] {
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
	}
	return slices.DeleteFunc(items, func(item *item[T]) bool { return removed[item.name] })
}

// positionsOf returns the positions of items, which are those of s without the removed ones.
func positionsOf[T any](s *section[T], items []*item[T]) map[string]int {
	if s != nil && len(items) == len(s.items) {
		return s.positions
	}
	return newSection(items).positions
}
