package config

import (
	"bytes"
	"slices"

	"kestrelspread/internal/node/config/rawjson"
)

// parseUpdate reads an update and carries it out on a copy of previous. Items are removed first,
// then replaced or appended. Source: PROTOCOL.md, "The operator's API".
func parseUpdate(body []byte, previous *document) (*document, *changes, error) {
	if !rawjson.IsObject(body) {
		return nil, nil, invalid("body", "must be an object")
	}
	next, changes := *previous, new(changes)
	next.version = 0
	next.otherMembers = slices.Clone(previous.otherMembers)
	if err := next.setTopMembers(body, previous, changes); err != nil {
		return nil, nil, err
	}
	if next.version == 0 {
		return nil, nil, invalid(versionMember, "is missing or 0")
	}
	if err := next.updateSections(body, changes); err != nil {
		return nil, nil, err
	}
	return &next, changes, nil
}

// setTopMembers sets the version and the members that are not sections, and checks that the rest
// has the form of an update.
func (d *document) setTopMembers(body []byte, previous *document, changes *changes) error {
	return rawjson.EachMember(body, func(rawName, value []byte) (err error) {
		switch name := string(rawName); name {
		case versionMember:
			d.version, err = decodeVersion(value)
		case upsertMember, removeMember:
			if !rawjson.IsObject(value) && !rawjson.IsNull(value) {
				err = invalid(name, "must be an object")
			}
		case routeSpec.key, serviceSpec.key, tenantSpec.key:
			err = invalid(name, "an update names items under %s and %s", upsertMember, removeMember)
		default:
			err = d.setOtherMember(name, value, previous, changes)
		}
		return err
	})
}

// updateSections carries out the lists under upsert and remove.
func (d *document) updateSections(body []byte, changes *changes) error {
	upsert, remove := parseItemLists(body, upsertMember), parseItemLists(body, removeMember)
	var err error
	if d.routes, err = updateSection(routeSpec, d.routes, upsert, remove, changes); err != nil {
		return err
	}
	if d.services, err = updateSection(serviceSpec, d.services, upsert, remove, changes); err != nil {
		return err
	}
	if d.tenants, err = updateSection(tenantSpec, d.tenants, upsert, remove, changes); err != nil {
		return err
	}
	return d.updateOtherMembers(upsert, remove, changes)
}

// itemLists are the members of upsert or remove: lists of items or of names, by section.
type itemLists []member

func parseItemLists(body []byte, name string) itemLists {
	object := rawjson.Member(body, name)
	if object == nil || rawjson.IsNull(object) {
		return nil
	}
	var lists itemLists
	_ = rawjson.EachMember(object, func(name, value []byte) error {
		lists = append(lists, member{name: string(name), raw: value})
		return nil
	})
	return lists
}

// named returns the list of a section; nil: there is none. Of two with one name, the last counts.
func (l itemLists) named(name string) []byte {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].name == name && !rawjson.IsNull(l[i].raw) {
			return l[i].raw
		}
	}
	return nil
}

func updateSection[T any](spec *sectionSpec[T], current *section[T], upsert, remove itemLists, changes *changes) (*section[T], error) {
	names, err := parseNames(removeMember+"."+spec.key, remove.named(spec.key))
	if err != nil {
		return nil, err
	}
	list := upsert.named(spec.key)
	if list == nil {
		return current.withUpdates(nil, names), nil
	}
	upserted, err := spec.parse(upsertMember+"."+spec.key, list, current, changes)
	if err != nil {
		return nil, err
	}
	return current.withUpdates(upserted.items, names), nil
}

// parseNames reads a list of names.
func parseNames(path string, array []byte) ([]string, error) {
	if array == nil {
		return nil, nil
	}
	if !rawjson.IsArray(array) {
		return nil, invalid(path, "must be a list of names")
	}
	var names []string
	err := rawjson.EachElement(array, func(index int, value []byte) error {
		if !rawjson.IsString(value) {
			return invalid(ItemPath{path, index}.String(), "must be a name")
		}
		names = append(names, rawjson.String(value))
		return nil
	})
	return names, err
}

// unknownSpec describes a list that has no meaning here: its items have names, and are kept as
// sent.
func unknownSpec(key string) *sectionSpec[struct{}] {
	return &sectionSpec[struct{}]{key: key, kind: UnknownItem, decode: func(ItemPath, []byte) (*struct{}, error) { return nil, nil }}
}

// updateOtherMembers carries out the members of upsert and remove that are not sections, in the
// order of their first mention.
func (d *document) updateOtherMembers(upsert, remove itemLists, changes *changes) error {
	var keys []string
	for _, list := range slices.Concat(upsert, remove) {
		switch list.name {
		case routeSpec.key, serviceSpec.key, tenantSpec.key:
		default:
			if !slices.Contains(keys, list.name) {
				keys = append(keys, list.name)
			}
		}
	}
	for _, key := range keys {
		if err := d.updateOtherMember(key, upsert, remove, changes); err != nil {
			return err
		}
	}
	return nil
}

// updateOtherMember carries out one of them: lists are updated by item, anything else replaces the
// member.
func (d *document) updateOtherMember(key string, upsert, remove itemLists, changes *changes) error {
	replacement := upsert.named(key)
	switch {
	case key == versionMember:
		return invalid(upsertMember+"."+key, "is not a list of items")
	case replacement != nil && (key == limitsMember || !rawjson.IsArray(replacement)):
		return d.setOtherMember(key, replacement, emptyDocument, changes) // not a list of items: it replaces the member
	case replacement == nil && !d.hasList(key):
		return nil // nothing that could be removed
	}
	spec := unknownSpec(key)
	current, err := d.otherSection(spec)
	if err != nil {
		return err
	}
	updated, err := updateSection(spec, current, upsert, remove, changes)
	if err != nil || updated == current {
		return err
	}
	return d.setOtherMember(key, renderList(updated), emptyDocument, changes)
}

func (d *document) hasList(key string) bool {
	raw := d.otherMember(key)
	return raw != nil && rawjson.IsArray(raw)
}

// otherSection reads a list that has no meaning here; nil: there is none.
func (d *document) otherSection(spec *sectionSpec[struct{}]) (*section[struct{}], error) {
	if !d.hasList(spec.key) {
		return nil, nil
	}
	return spec.parse(spec.key, d.otherMember(spec.key), nil, new(changes))
}

// renderList renders a section as a JSON list.
func renderList[T any](section *section[T]) []byte {
	raws := make([][]byte, 0, len(section.items))
	for _, item := range section.items {
		raws = append(raws, item.raw)
	}
	list := append([]byte{'['}, bytes.Join(raws, []byte{','})...)
	return append(list, ']')
}
