package config

import (
	"bytes"
	"slices"
)

// parseUpdate reads an update and carries it out on a copy of previous. Named items are removed first, then added or
// replaced in place. Source: PROTOCOL.md, "The operator's API".
func parseUpdate(body []byte, previous *document) (*document, *changes, error) {
	if !isObject(body) {
		return nil, nil, invalid("body", "must be an object")
	}
	next, changes := *previous, new(changes)
	next.version = 0
	next.others = slices.Clone(previous.others)
	if err := next.setUpdateMembers(body, previous, changes); err != nil {
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

// setUpdateMembers takes the members of an update beside upsert and remove.
func (d *document) setUpdateMembers(body []byte, previous *document, changes *changes) error {
	return eachMember(body, func(name string, value []byte) (err error) {
		switch name {
		case versionMember:
			d.version, err = decodeVersion(value)
		case upsertMember, removeMember:
			if !isObject(value) && !isNull(value) {
				err = invalid(name, "must be an object")
			}
		case routeForm.key, serviceForm.key, tenantForm.key:
			err = invalid(name, "an update names items under %s and %s", upsertMember, removeMember)
		default:
			err = d.setOther(name, value, previous, changes)
		}
		return err
	})
}

// updateSections carries out upsert and remove.
func (d *document) updateSections(body []byte, changes *changes) error {
	upsert, remove := listsOf(body, upsertMember), listsOf(body, removeMember)
	var err error
	if d.routes, err = updateSection(routeForm, d.routes, upsert, remove, changes); err != nil {
		return err
	}
	if d.services, err = updateSection(serviceForm, d.services, upsert, remove, changes); err != nil {
		return err
	}
	if d.tenants, err = updateSection(tenantForm, d.tenants, upsert, remove, changes); err != nil {
		return err
	}
	return d.updateOthers(upsert, remove, changes)
}

// itemLists are the lists under upsert or remove, by section.
type itemLists []member

func listsOf(body []byte, name string) itemLists {
	object := memberNamed(body, name)
	if object == nil || isNull(object) {
		return nil
	}
	var lists itemLists
	_ = eachMember(object, func(name string, value []byte) error {
		lists = append(lists, member{name: name, raw: value})
		return nil
	})
	return lists
}

func (l itemLists) named(name string) []byte {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].name == name && !isNull(l[i].raw) {
			return l[i].raw
		}
	}
	return nil
}

func updateSection[T any](form *form[T], current *section[T], upsert, remove itemLists, changes *changes) (*section[T], error) {
	names, err := namesIn(removeMember+"."+form.key, remove.named(form.key))
	if err != nil {
		return nil, err
	}
	list := upsert.named(form.key)
	if list == nil {
		return current.updated(nil, names), nil
	}
	items, err := form.parse(upsertMember+"."+form.key, list, current, changes)
	if err != nil {
		return nil, err
	}
	return current.updated(items, names), nil
}

// namesIn reads a list of names.
func namesIn(path string, array []byte) ([]string, error) {
	if array == nil {
		return nil, nil
	}
	if !isArray(array) {
		return nil, invalid(path, "must be a list of names")
	}
	var names []string
	err := eachElement(array, func(index int, value []byte) error {
		if !isString(value) {
			return invalid(indexed(path, index), "must be a name")
		}
		names = append(names, decodedString(value))
		return nil
	})
	return names, err
}

// unknownForm is that of items in lists without a meaning here: they are named, and kept as sent.
func unknownForm(key string) *form[struct{}] {
	return &form[struct{}]{key: key, kind: UnknownItem, decode: func(string, []byte) (*struct{}, error) { return nil, nil }}
}

// updateOthers carries out what upsert and remove say of members without a meaning here.
func (d *document) updateOthers(upsert, remove itemLists, changes *changes) error {
	var keys []string
	for _, list := range slices.Concat(upsert, remove) {
		switch list.name {
		case routeForm.key, serviceForm.key, tenantForm.key:
		default:
			if !slices.Contains(keys, list.name) {
				keys = append(keys, list.name)
			}
		}
	}
	for _, key := range keys {
		if err := d.updateOther(key, upsert, remove, changes); err != nil {
			return err
		}
	}
	return nil
}

func (d *document) updateOther(key string, upsert, remove itemLists, changes *changes) error {
	if whole := upsert.named(key); whole != nil && !isArray(whole) {
		return d.setOther(key, whole, emptyDocument, changes) // not a list: it replaces the member
	}
	form := unknownForm(key)
	var current *section[struct{}]
	if before := d.other(key); before != nil && isArray(before) {
		items, err := form.parse(key, before, nil, changes)
		if err != nil {
			return err
		}
		current = newSection(items)
	}
	updated, err := updateSection(form, current, upsert, remove, changes)
	if err != nil || updated == current {
		return err
	}
	return d.setOther(key, renderList(updated), emptyDocument, changes)
}

func renderList[T any](section *section[T]) []byte {
	raws := make([][]byte, 0, len(section.items))
	for _, item := range section.items {
		raws = append(raws, item.raw)
	}
	list := append([]byte{'['}, bytes.Join(raws, []byte{','})...)
	return append(list, ']')
}
