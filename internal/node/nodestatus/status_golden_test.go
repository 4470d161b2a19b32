package nodestatus_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/nodestatus"
)

const (
	goldenFull  = "golden/status.json"
	goldenEmpty = "golden/status-empty.json"
)

// fill sets every field below a value, lists and maps with one item each, to values that differ.
func fill(t *testing.T, value reflect.Value, filled *int) {
	t.Helper()
	*filled++
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fill(t, value.Field(i), filled)
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem(), filled)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(t, value.Index(0), filled)
	case reflect.Map:
		value.Set(reflect.MakeMap(value.Type()))
		item := reflect.New(value.Type().Elem()).Elem()
		fill(t, item, filled)
		value.SetMapIndex(reflect.ValueOf(fmt.Sprintf("key-%d", *filled)), item)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", *filled))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int:
		value.SetInt(int64(*filled))
	case reflect.Uint64:
		value.SetUint(uint64(*filled))
	case reflect.Float64:
		value.SetFloat(float64(*filled) + 0.5)
	default:
		t.Fatalf("a field of kind %v", value.Kind())
	}
}

// TestStatusKeepsItsKeys freezes the JSON of a status, with every field set and with none.
func TestStatusKeepsItsKeys(t *testing.T) {
	status, filled := new(nodestatus.Status), 0
	fill(t, reflect.ValueOf(status).Elem(), &filled)
	for file, shown := range map[string]*nodestatus.Status{goldenFull: status, goldenEmpty: new(nodestatus.Status)} {
		text, err := json.MarshalIndent(shown, "", " ")
		assert.NilError(t, err)
		golden.Assert(t, string(text)+"\n", file)
	}
}

// TestStatusOfTheGoldenFilesIsRead reads each status as it was written once, every key of it, and writes it again.
func TestStatusOfTheGoldenFilesIsRead(t *testing.T) {
	for _, file := range []string{goldenFull, goldenEmpty} {
		written := string(golden.Get(t, file))
		decoder := json.NewDecoder(strings.NewReader(written))
		decoder.DisallowUnknownFields()
		status := new(nodestatus.Status)
		assert.NilError(t, decoder.Decode(status))
		text, err := json.MarshalIndent(status, "", " ")
		assert.NilError(t, err)
		assert.Equal(t, string(text)+"\n", written)
	}
}

// TestSubjectsAreCalledAsScriptsReadThem: `kestrelctl fleet status --json` names what nodes see differently by these words.
func TestSubjectsAreCalledAsScriptsReadThem(t *testing.T) {
	for word, subject := range map[string]nodestatus.Subject{
		"the view": nodestatus.SubjectView, "the members": nodestatus.SubjectMembership, "the state in force": nodestatus.SubjectState,
	} {
		assert.Equal(t, string(subject), word)
	}
}
