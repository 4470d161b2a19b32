package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/nodepb"
)

// referenceConfig is a naive model of the configuration: decoded JSON, always checked in full.
type referenceConfig struct {
	version       uint64
	sections      map[string][]map[string]any
	tenantsListed bool // there is a list of tenants
	emptiesNone   bool // made by an update that removes tenants, and there is no list of them
}

var sectionNames = []string{"routes", "services", "tenants"}

func (m referenceConfig) clone() referenceConfig {
	sections := map[string][]map[string]any{}
	for name, items := range m.sections {
		sections[name] = append([]map[string]any(nil), items...)
	}
	return referenceConfig{version: m.version, sections: sections, tenantsListed: m.tenantsListed}
}

func (m referenceConfig) remove(section, name string) {
	var kept []map[string]any
	for _, item := range m.sections[section] {
		if item["name"] != name {
			kept = append(kept, item)
		}
	}
	m.sections[section] = kept
}

func (m referenceConfig) upsert(section string, item map[string]any) {
	for i, present := range m.sections[section] {
		if present["name"] == item["name"] {
			m.sections[section][i] = item
			return
		}
	}
	m.sections[section] = append(m.sections[section], item)
}

// valid applies the rules of the operator's API to the full configuration.
func (m referenceConfig) valid() bool {
	if m.emptiesNone {
		return false
	}
	services, hostsAndPrefixes, owners := map[any]bool{}, map[string]bool{}, map[any]any{}
	for _, service := range m.sections["services"] {
		services[service["name"]] = true
	}
	for _, route := range m.sections["routes"] {
		hostAndPrefix := strings.ToLower(route["host"].(string)) + " " + route["pathPrefix"].(string)
		if !services[route["service"]] || hostsAndPrefixes[hostAndPrefix] || route["timeoutMs"].(int) <= 0 {
			return false
		}
		hostsAndPrefixes[hostAndPrefix] = true
	}
	for _, tenant := range m.sections["tenants"] {
		for _, key := range tenant["apiKeys"].([]string) {
			if owner, taken := owners[key]; taken && owner != tenant["name"] {
				return false
			}
			owners[key] = tenant["name"]
		}
	}
	return true
}

func (m referenceConfig) text(t fataler) string {
	members := map[string]any{"version": m.version}
	for name, items := range m.sections {
		members[name] = append([]map[string]any{}, items...)
	}
	return encoded(t, members)
}

type fataler interface{ Fatalf(string, ...any) }

func encoded(t fataler, value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return string(text)
}

// drawItem draws an item from small pools, so that names, prefixes and keys collide.
func drawItem(t *rapid.T, section string) map[string]any {
	pick := func(label string, maxValue int) int { return rapid.IntRange(0, maxValue).Draw(t, label) }
	switch section {
	case "routes":
		return map[string]any{
			"name": fmt.Sprint("r", pick("route", 5)), "host": []string{"a.example", "A.example", "b.example"}[pick("host", 2)],
			"pathPrefix": []string{"/", "/p/", "/p/q/"}[pick("prefix", 2)], "timeoutMs": 200 * pick("timeout", 20),
			"service": fmt.Sprint("s", pick("target", 3)), "x-note": pick("note", 3),
		}
	case "services":
		return map[string]any{"name": fmt.Sprint("s", pick("service", 3)), "maxConnections": pick("connections", 3)}
	default:
		keys := []string{fmt.Sprint("k", pick("key", 8)), fmt.Sprint("k", pick("key", 8))}
		return map[string]any{"name": fmt.Sprint("t", pick("tenant", 3)), "apiKeys": keys}
	}
}

// drawChange draws a change of the reference, and returns the reference after it.
func drawChange(t *rapid.T, model referenceConfig) (replace bool, text string, next referenceConfig) {
	version := model.version + uint64(rapid.IntRange(0, 3).Draw(t, "step"))
	if rapid.IntRange(0, 4).Draw(t, "replace") == 0 {
		next = referenceConfig{version: version, sections: map[string][]map[string]any{}, tenantsListed: true}
		for _, section := range sectionNames {
			next.sections[section] = []map[string]any{}
			for range rapid.IntRange(0, 3).Draw(t, "items") {
				next.upsert(section, drawItem(t, section))
			}
		}
		return true, next.text(t), next
	}
	next = model.clone()
	next.version = version
	upserts, removes := map[string][]map[string]any{}, map[string][]string{}
	for range rapid.IntRange(0, 2).Draw(t, "removes") {
		section := rapid.SampledFrom(sectionNames).Draw(t, "section")
		name := fmt.Sprint(section[:1], rapid.IntRange(0, 5).Draw(t, "name"))
		next.remove(section, name)
		removes[section] = append(removes[section], name)
	}
	for _, section := range sectionNames {
		seen := map[any]bool{}
		for range rapid.IntRange(0, 2).Draw(t, "upserts") {
			item := drawItem(t, section)
			if seen[item["name"]] {
				continue
			}
			seen[item["name"]] = true
			next.upsert(section, item)
			upserts[section] = append(upserts[section], item)
		}
	}
	next.tenantsListed = model.tenantsListed || len(upserts["tenants"]) > 0
	next.emptiesNone = !next.tenantsListed && len(removes["tenants"]) > 0
	return false, encoded(t, map[string]any{"version": version, "upsert": upserts, "remove": removes}), next
}

// TestAnySequenceOfChangesMatchesReference compares the reference with the head, a replica that
// only applies, and one that restores a snapshot now and then.
func TestAnySequenceOfChangesMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head, follower, restorer := config.NewState(nil), config.NewState(nil), config.NewState(nil)
		model := referenceConfig{sections: map[string][]map[string]any{}}
		var history []*nodepb.Command
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			replace, text, next := drawChange(t, model)
			command := configCommand(replace, model.version, text)
			result, entryNeeded := head.Check(command)
			accepted := next.version > model.version && next.valid()
			if entryNeeded != accepted {
				t.Fatalf("%s on %s: taken %v, want %v: %v", text, model.text(t), entryNeeded, accepted, result)
			}
			if accepted {
				entry := &nodepb.Entry{Index: head.Index() + 1, Command: command}
				mustAgree(t, entry, head, follower, restorer)
				model = next
				history = append(history, command)
			}
			if rapid.Bool().Draw(t, "restore") {
				restorer = config.NewState(nil)
				if err := restorer.Restore(follower.Snapshot()); err != nil {
					t.Fatalf("restore: %v", err)
				}
			}
			if len(history) > 0 {
				again, needed := head.Check(rapid.SampledFrom(history).Draw(t, "again"))
				if needed || again.GetCode() != taken {
					t.Fatalf("a taken change came again: %v", again)
				}
			}
			mustMatchReference(t, head, model)
		}
		mustCompileAlike(t, head, restorer)
	})
}

// mustAgree applies an entry to all states; their results and snapshots must be equal.
func mustAgree(t *rapid.T, entry *nodepb.Entry, states ...*config.State) {
	for _, state := range states {
		if result := state.Apply(entry); result.GetCode() != taken {
			t.Fatalf("apply: %v", result)
		}
		if string(state.Snapshot()) != string(states[0].Snapshot()) {
			t.Fatalf("snapshots differ after entry %d", entry.GetIndex())
		}
		state.Compile()
	}
}

func mustMatchReference(t *rapid.T, state *config.State, model referenceConfig) {
	if model.version == 0 {
		return
	}
	var fetched map[string]any
	if err := json.Unmarshal(state.Fetch(), &fetched); err != nil {
		t.Fatalf("fetch: %v", err)
	}
	for _, section := range sectionNames {
		if fetched[section] == nil {
			fetched[section] = []any{}
		}
		if model.sections[section] == nil {
			model.sections[section] = []map[string]any{}
		}
	}
	if got, wanted := encoded(t, fetched), reencoded(t, model.text(t)); got != wanted {
		t.Fatalf("fetched %s\nwanted  %s", got, wanted)
	}
}

func reencoded(t *rapid.T, text string) string {
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("decode: %v", err)
	}
	return encoded(t, value)
}

// mustCompileAlike compares a table that was compiled step by step with one compiled from a
// snapshot at once.
func mustCompileAlike(t *rapid.T, state, other *config.State) {
	fresh := config.NewState(nil)
	if err := fresh.Restore(other.Snapshot()); err != nil {
		t.Fatalf("restore: %v", err)
	}
	stepwise, wanted := state.Compile(), fresh.Compile()
	for _, host := range []string{"a.example", "b.example"} {
		for _, path := range []string{"/", "/p/", "/p/q/", "/p/q/r"} {
			if a, b := stepwise.Routes.Match(host, path), wanted.Routes.Match(host, path); encoded(t, a) != encoded(t, b) {
				t.Fatalf("%s%s: %v, want %v", host, path, a, b)
			}
		}
	}
	if got, all := encoded(t, stepwise.Tenants), encoded(t, wanted.Tenants); got != all {
		t.Fatalf("tenants %s, want %s", got, all)
	}
	if stepwise.Routes.Len() != wanted.Routes.Len() || len(stepwise.Services) != len(wanted.Services) {
		t.Fatalf("sizes differ")
	}
}

// TestApplyIsDeterministicForInvalidEntries: they give equal results and states at every replica,
// checked before or not.
func TestApplyIsDeterministicForInvalidEntries(t *testing.T) {
	first, second := configured(t), &replica{State: config.NewState(nil), t: t}
	assert.NilError(t, second.Restore(first.Snapshot()))
	for _, test := range invalidItems {
		text := fmt.Sprintf(`{"version":%d,"upsert":{%q:[%s]}}`, first.Version()+1, test.section, test.item)
		for _, replace := range []bool{true, false} {
			command := configCommand(replace, first.Version(), text)
			first.Check(command)
			one, other := first.apply(command), second.apply(command)
			assert.Equal(t, one.String(), other.String())
			sameState(t, first.Snapshot(), second.Snapshot())
			first.Compile()
			second.Compile()
		}
	}
}
