package rollout

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// keptNames bounds how many versions of a model are remembered with the time they became known.
const keptNames = 32

// namedVersion is a version and when it became known.
type namedVersion struct {
	version uint64
	known   core.Time
}

// targets remembers the named versions of each model, oldest first. Each version has a bound of its own, counted from its
// own acknowledgement (PROTOCOL.md, "The operator's API").
type targets struct {
	named map[string][]namedVersion
}

func (t *targets) note(current []Target) {
	for _, target := range current {
		t.noteOne(target)
	}
}

func (t *targets) noteOne(target Target) {
	if t.named == nil {
		t.named = map[string][]namedVersion{}
	}
	names := t.named[target.Model]
	if len(names) > 0 && names[len(names)-1].version >= target.Version {
		return
	}
	names = append(names, namedVersion{version: target.Version, known: target.Known})
	if len(names) > keptNames {
		names = append(names[:0], names[len(names)-keptNames:]...)
	}
	t.named[target.Model] = names
}

// newest is the newest named version of a model; 0: none was named.
func (t *targets) newest(model string) uint64 {
	names := t.named[model]
	if len(names) == 0 {
		return 0
	}
	return names[len(names)-1].version
}

// need is a version that a broker lacks.
type need struct {
	model   string
	version uint64
	// known is when the first version above the broker's became known: its bound counts from then.
	known core.Time
}

// needOf tells what a broker lacks most urgently.
func (t *targets) needOf(b *broker) (need, bool) {
	var found need
	any := false
	for _, model := range b.instance.Models {
		lacking, ok := t.lacks(b, model)
		if ok && (!any || lacking.known < found.known) {
			found, any = lacking, true
		}
	}
	return found, any
}

func (t *targets) lacks(b *broker, model *nodepb.ModelOnInstance) (need, bool) {
	has := b.versionOf(model)
	newest := t.newest(model.Name)
	if has >= newest {
		return need{}, false
	}
	for _, named := range t.named[model.Name] {
		if named.version > has {
			return need{model: model.Name, version: newest, known: named.known}, true
		}
	}
	return need{}, false
}
