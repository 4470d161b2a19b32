package settings_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/settings"
)

const (
	goldenFile = "golden/settings.json" // every key, none with its default
	goldenKeys = "golden/keys.txt"      // what reading it without each of its keys comes to
)

// TestKeysOfTheFileAreRead reads a settings file as it stands on machines, and without each of its keys in turn: each is
// read, and those that are required are missed. The golden file says which, by path.
func TestKeysOfTheFileAreRead(t *testing.T) {
	content := golden.Get(t, goldenFile)
	complete, err := settings.Parse(content)
	assert.NilError(t, err)
	var lines strings.Builder
	for _, path := range leaves(t, content) {
		var document map[string]any
		assert.NilError(t, json.Unmarshal(content, &document))
		remove(document, path)
		rest, err := json.Marshal(document)
		assert.NilError(t, err)
		without, err := settings.Parse(rest)
		result := "read"
		switch {
		case err != nil:
			result = "required"
		case fmt.Sprint(*without) == fmt.Sprint(*complete):
			result = "ignored"
		}
		fmt.Fprintln(&lines, strings.Join(path, "."), result)
	}
	golden.Assert(t, lines.String(), goldenKeys)
}

// TestLocationOfTheFile freezes where the file is looked for.
func TestLocationOfTheFile(t *testing.T) {
	named := func(variable string) string {
		return map[string]string{"KESTRELSPREAD_SETTINGS": "/a/b.json"}[variable]
	}
	assert.Equal(t, settings.Path(named), "/a/b.json")
	assert.Equal(t, settings.Path(func(string) string { return "" }), "/etc/kestrelspread/settings.json")
}

// leaves are the paths of the keys of a JSON object that hold no object, in their order.
func leaves(t *testing.T, content []byte) [][]string {
	t.Helper()
	var paths [][]string
	var visit func(decoder *json.Decoder, prefix []string)
	visit = func(decoder *json.Decoder, prefix []string) {
		for decoder.More() {
			key, err := decoder.Token()
			assert.NilError(t, err)
			path := append(prefix[:len(prefix):len(prefix)], key.(string))
			var value json.RawMessage
			assert.NilError(t, decoder.Decode(&value))
			if value[0] != '{' {
				paths = append(paths, path)
				continue
			}
			inner := json.NewDecoder(strings.NewReader(string(value)))
			_, err = inner.Token()
			assert.NilError(t, err)
			visit(inner, path)
		}
	}
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	_, err := decoder.Token()
	assert.NilError(t, err)
	visit(decoder, nil)
	return paths
}

func remove(document map[string]any, path []string) {
	for _, key := range path[:len(path)-1] {
		document = document[key].(map[string]any)
	}
	delete(document, path[len(path)-1])
}
