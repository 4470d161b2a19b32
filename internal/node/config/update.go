package config

import (
	"bytes"
	"slices"

	"kestrelspread/internal/node/config/rawjson"
)

// parseUpdate reads an update and carries it out on a copy of previous. Named items are removed first, then added or
// replaced in place. Source: PROTOCOL.md, "The operator's API".
func parseUpdate(body []byte, previous *document) (*document, *changes, error) {
	if !rawjson.IsObject(body) {
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
	return rawjson.EachMember(body, func(rawName, value []byte) (err error) {
		switch name := string(rawName); name {
		case versionMember:
			d.version, err = decodeVersion(value)
		case upsertMember, removeMember:
			if !rawjson.IsObject(value) && !rawjson.IsNull(value) {
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

func (l itemLists) named(name string) []byte {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].name == name && !rawjson.IsNull(l[i].raw) {
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
	upserted, err := form.parse(upsertMember+"."+form.key, list, current, changes)
	if err != nil {
		return nil, err
	}
	return current.updated(upserted.items, names), nil
}

// namesIn reads a list of names.
func namesIn(path string, array []byte) ([]string, error) {
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

// unknownForm is that of items in lists without a meaning here: they are named, and kept as sent.
func unknownForm(key string) *form[struct{}] {
	return &form[struct{}]{key: key, kind: UnknownItem, decode: func(ItemPath, []byte) (*struct{}, error) { return nil, nil }}
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
	whole := upsert.named(key)
	switch {
	case key == versionMember:
		return invalid(upsertMember+"."+key, "is not a list of items")
	case whole != nil && (key == limitsMember || !rawjson.IsArray(whole)):
		return d.setOther(key, whole, emptyDocument, changes) // not a list of items: it replaces the member
	case whole == nil && !d.hasList(key):
		return nil // nothing that could be removed
	}
	form := unknownForm(key)
	current, err := d.otherSection(form)
	if err != nil {
		return err
	}
	updated, err := updateSection(form, current, upsert, remove, changes)
	if err != nil || updated == current {
		return err
	}
	return d.setOther(key, renderList(updated), emptyDocument, changes)
}

func (d *document) hasList(key string) bool {
	raw := d.other(key)
	return raw != nil && rawjson.IsArray(raw)
}

// otherSection reads a list that has no meaning here; nil where there is none.
func (d *document) otherSection(form *form[struct{}]) (*section[struct{}], error) {
	if !d.hasList(form.key) {
		return nil, nil
	}
	return form.parse(form.key, d.other(form.key), nil, new(changes))
}

func renderList[T any](section *section[T]) []byte {
	raws := make([][]byte, 0, len(section.items))
	for _, item := range section.items {
		raws = append(raws, item.raw)
	}
	list := append([]byte{'['}, bytes.Join(raws, []byte{','})...)
	return append(list, ']')
}
