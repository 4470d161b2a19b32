package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// example has the fields of DEPLOY.md, "Settings of a process", with values of this test's own.
const example = `{
  "nodeName": "front-b-2",
  "role": "node",
  "machineClass": "front",
  "serves": ["front", "control"],
  "ip": "10.4.0.7",
  "zone": "b",
  "region": "east",
  "zones": {"a": "east", "b": "east"},
  "listen": {"front": "10.4.0.7:8100", "readiness": "10.4.0.7:8101", "control": "10.4.0.7:8102"},
  "portRange": [7000, 7015],
  "seeds": ["10.4.0.7:8102", "10.5.0.8:8102", "10.6.0.9:8102"],
  "bootstrap": true,
  "countsForQuorum": true,
  "limits": {"cpuShare": 0.5, "cores": 2, "memoryMb": 184, "maxFds": 4100, "linkMbps": 10.0, "diskMb": 64},
  "dataDir": "/data/node",
  "discovery": {"any": ["form"]},
  "entry": null,
  "heartbeatMs": 1500,
  "contracts": ["base", "config"],
  "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
  "bounds": {"seedLagS": 2.5, "reuseAfterS": 4, "contactMs": 3500, "ackMs": 4500, "catchUpS": 6, "drainMs": 2500,
    "graceS": 9, "lossSlackMs": 150, "configApplyMs": 2100, "downgradeSlackMs": 260, "skewMaxMs": 6000,
    "globalRevocation": false, "revokeMs": 5500, "retryBudgetRatio": 0.15, "budgetWindowS": 11,
    "retryBudgetSlack": 60, "recoveryS": 13, "transitMs": 130.5, "again_s": 14, "fencing": true, "leaseMs": 3100,
    "thawMs": 310, "versionMs": 10000, "versionAllMs": 14000, "notKnownYet": {"deep": [1]}},
  "notKnownYet": [1, 2]
}`

// minimal holds the required fields alone.
const minimal = `{"nodeName": "n", "ip": "10.0.0.1", "zone": "a", "portRange": [7000, 7015]}`

func TestParseReadsEveryField(t *testing.T) {
	settings, err := Parse([]byte(example))
	assert.NilError(t, err)
	assert.DeepEqual(t, settings, &Settings{
		NodeName: "front-b-2", Role: "node", MachineClass: "front", Serves: []string{"front", "control"},
		MachineIP: "10.4.0.7", Zone: "b", Region: "east", Zones: map[string]string{"a": "east", "b": "east"},
		Listen:    Listen{Front: "10.4.0.7:8100", Readiness: "10.4.0.7:8101", Control: "10.4.0.7:8102"},
		PortRange: PortRange{First: 7000, Last: 7015},
		Seeds:     []string{"10.4.0.7:8102", "10.5.0.8:8102", "10.6.0.9:8102"},
		Bootstrap: true, CountsForQuorum: true,
		Limits:  Limits{CPUShare: 0.5, Cores: 2, MemoryMB: 184, MaxFDs: 4100, LinkMbps: 10, DiskMB: 64},
		DataDir: "/data/node", HeartbeatMs: 1500, Contracts: []string{"base", "config"},
		FaultTolerance: FaultTolerance{Machines: 2, Zones: 1},
		Bounds: Bounds{
			SeedLagS: 2.5, ReuseAfterS: 4, ContactMs: 3500, AckMs: 4500, CatchUpS: 6, DrainMs: 2500, GraceS: 9,
			LossSlackMs: 150, ConfigApplyMs: 2100, DowngradeSlackMs: 260, SkewMaxMs: 6000,
			GlobalRevocation: false, RevokeMs: 5500, RetryBudgetRatio: 0.15, BudgetWindowS: 11, RetryBudgetSlack: 60,
			RecoveryS: 13, TransitMs: 130.5, AgainS: 14, Fencing: true, LeaseMs: 3100, ThawMs: 310,
			VersionMs: 10000, VersionAllMs: 14000,
		},
	})
}

func TestInternalAddressesUseFirstPort(t *testing.T) {
	settings, err := Parse([]byte(example))
	assert.NilError(t, err)
	assert.Equal(t, settings.InternalAddress(), "10.4.0.7:7000")
	assert.DeepEqual(t, settings.SeedInternalAddresses(), []string{"10.4.0.7:7000", "10.5.0.8:7000", "10.6.0.9:7000"})
}

func TestBoundsAreDurations(t *testing.T) {
	settings, err := Parse([]byte(example))
	assert.NilError(t, err)
	bounds := settings.Bounds
	cases := []struct {
		name string
		got  time.Duration
		want time.Duration
	}{
		{"heartbeatMs", settings.Heartbeat(), 1500 * time.Millisecond},
		{"seedLagS", bounds.SeedLag(), 2500 * time.Millisecond},
		{"reuseAfterS", bounds.ReuseAfter(), 4 * time.Second},
		{"contactMs", bounds.Contact(), 3500 * time.Millisecond},
		{"ackMs", bounds.Ack(), 4500 * time.Millisecond},
		{"catchUpS", bounds.CatchUp(), 6 * time.Second},
		{"drainMs", bounds.Drain(), 2500 * time.Millisecond},
		{"graceS", bounds.Grace(), 9 * time.Second},
		{"lossSlackMs", bounds.LossSlack(), 150 * time.Millisecond},
		{"configApplyMs", bounds.ConfigApply(), 2100 * time.Millisecond},
		{"downgradeSlackMs", bounds.DowngradeSlack(), 260 * time.Millisecond},
		{"skewMaxMs", bounds.SkewMax(), 6 * time.Second},
		{"revokeMs", bounds.Revoke(), 5500 * time.Millisecond},
		{"budgetWindowS", bounds.BudgetWindow(), 11 * time.Second},
		{"recoveryS", bounds.Recovery(), 13 * time.Second},
		{"transitMs", bounds.Transit(), 130500 * time.Microsecond},
		{"again_s", bounds.Again(), 14 * time.Second},
		{"leaseMs", bounds.Lease(), 3100 * time.Millisecond},
		{"thawMs", bounds.Thaw(), 310 * time.Millisecond},
		{"versionMs", bounds.Version(), 10 * time.Second},
		{"versionAllMs", bounds.VersionAll(), 14 * time.Second},
	}
	for _, c := range cases {
		assert.Equal(t, c.got, c.want, c.name)
	}
}

func TestMissingFieldsTakeDefaults(t *testing.T) {
	for name, content := range map[string]string{
		"missing": minimal,
		"null": `{"nodeName": "n", "ip": "10.0.0.1", "zone": "a", "portRange": [7000, 7015], "bounds": null,
			"limits": null, "faultTolerance": {"machines": null}, "heartbeatMs": null, "seeds": null, "listen": null}`,
		"bounds of null": `{"nodeName": "n", "ip": "10.0.0.1", "zone": "a", "portRange": [7000, 7015],
			"bounds": {"drainMs": null, "globalRevocation": null, "fencing": null}}`,
	} {
		settings, err := Parse([]byte(content))
		assert.NilError(t, err, name)
		assert.DeepEqual(t, settings, &Settings{
			NodeName: "n", MachineIP: "10.0.0.1", Zone: "a", PortRange: PortRange{First: 7000, Last: 7015},
			Limits: Limits{CPUShare: 1, Cores: 1}, HeartbeatMs: 1200,
			FaultTolerance: FaultTolerance{Machines: 1}, Bounds: defaultBounds(),
		})
		assert.Assert(t, !settings.HasContract("base"))
	}
}

func TestRegionDefaultsToThatOfZone(t *testing.T) {
	settings, err := Parse([]byte(`{"nodeName": "n", "ip": "10.0.0.1", "zone": "a", "portRange": [7000, 7015],
		"zones": {"a": "east"}}`))
	assert.NilError(t, err)
	assert.Equal(t, settings.Region, "east")
}

func TestMalformedFieldsAreNamed(t *testing.T) {
	cases := []struct {
		path  string // of the field, with dots
		value string
	}{
		{"nodeName", `7`},
		{"nodeName", `""`},
		{"zone", `null`},
		{"ip", `"front-b-2"`},
		{"ip", `""`},
		{"serves", `"front"`},
		{"zones", `["a"]`},
		{"listen", `"10.4.0.7:8100"`},
		{"listen.front", `"10.4.0.7"`},
		{"listen.control", `":8102"`},
		{"listen.readiness", `8101`},
		{"portRange", `[7000]`},
		{"portRange", `[7015, 7000]`},
		{"portRange", `"7000-7015"`},
		{"portRange[0]", `[0, 7015]`},
		{"portRange[1]", `[7000, 70000]`},
		{"portRange[1]", `[7000, 7000.5]`},
		{"seeds[1]", `["10.4.0.7:8102", "10.5.0.8"]`},
		{"seeds", `"10.4.0.7:8102"`},
		{"bootstrap", `"true"`},
		{"countsForQuorum", `1`},
		{"limits.cpuShare", `"0.5"`},
		{"limits.diskMb", `-1`},
		{"limits.maxFds", `4100.5`},
		{"heartbeatMs", `-5`},
		{"faultTolerance.machines", `1.5`},
		{"faultTolerance.zones", `-1`},
		{"bounds.drainMs", `"2000"`},
		{"bounds.drainMs", `-2000`},
		{"bounds.revokeMs", `1e10`},
		{"bounds.globalRevocation", `0`},
		{"bounds.fencing", `"yes"`},
		{"bounds", `[]`},
	}
	for _, c := range cases {
		_, err := Parse(withField(t, c.path, c.value))
		assert.ErrorContains(t, err, "field "+c.path+":", "%s = %s", c.path, c.value)
		assert.Assert(t, errors.Is(err, ErrMalformed))
	}
}

func TestNonObjectIsMalformed(t *testing.T) {
	for _, content := range []string{"", "null", "[]", "7", example[:len(example)/2], example + "}", "{}"} {
		_, err := Parse([]byte(content))
		assert.Assert(t, errors.Is(err, ErrMalformed), "%.20q", content)
	}
}

func TestOversizedFileIsMalformed(t *testing.T) {
	_, err := Parse(make([]byte, maxFileBytes+1))
	assert.Assert(t, errors.Is(err, ErrMalformed))
}

func TestLoadTellsUnreadableFromMalformed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	_, err := Load(path)
	assert.Assert(t, errors.Is(err, ErrUnreadable))

	write(t, path, `{"nodeName": 7}`)
	_, err = Load(path)
	assert.Assert(t, errors.Is(err, ErrMalformed))
	assert.ErrorContains(t, err, path)

	write(t, path, example)
	settings, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, settings.NodeName, "front-b-2")
}

func TestPathPrefersEnvironment(t *testing.T) {
	environment := map[string]string{}
	getenv := func(name string) string { return environment[name] }
	assert.Equal(t, Path(getenv), DefaultPath)
	environment[EnvironmentVariable] = "/elsewhere.json"
	assert.Equal(t, Path(getenv), "/elsewhere.json")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(minimal))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := Parse(content)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrMalformed))
			return
		}
		assert.Equal(t, len(settings.SeedInternalAddresses()), len(settings.Seeds))
		assert.Assert(t, settings.Heartbeat() >= 0)
	})
}

// withField gives the example with one field, by its path without indices, set to a JSON value.
func withField(t *testing.T, path, value string) []byte {
	t.Helper()
	var document map[string]any
	assert.NilError(t, json.Unmarshal([]byte(example), &document))
	object := document
	for {
		outer, inner, nested := splitFieldPath(path)
		if !nested {
			object[outer] = json.RawMessage(value)
			break
		}
		object = object[outer].(map[string]any)
		path = inner
	}
	content, err := json.Marshal(document)
	assert.NilError(t, err)
	return content
}

// splitFieldPath splits a path at its first dot and drops an index.
func splitFieldPath(path string) (outer, inner string, nested bool) {
	for i, c := range path {
		switch c {
		case '.':
			return path[:i], path[i+1:], true
		case '[':
			return path[:i], "", false
		}
	}
	return path, "", false
}

func write(t *testing.T, path, content string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
}
