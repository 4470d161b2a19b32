package routing

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// layers lists the packages below routing in the order of the package comment. Each may import only
// packages that stand before it.
var layers = []string{
	"units", "mechanism", "cachesalt", "modelversion", "prompt", "retrybudget", "brokerstate", "routeclass", "inflight",
	"candidate", "prefixcache", "placement", "admission",
}

// No package imports one of a higher layer or the router.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	const root = "kestrelspread/internal/node/routing"
	entries, err := os.ReadDir(".")
	assert.NilError(t, err)
	for _, entry := range entries {
		if !entry.IsDir() || entry.Name() == "testdata" {
			continue
		}
		layer := slices.Index(layers, entry.Name())
		assert.Assert(t, layer >= 0, "package %s is not in the list of layers", entry.Name())
		files, err := filepath.Glob(filepath.Join(entry.Name(), "*.go"))
		assert.NilError(t, err)
		for _, name := range files {
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
			assert.NilError(t, err)
			for _, spec := range file.Imports {
				path, err := strconv.Unquote(spec.Path.Value)
				assert.NilError(t, err)
				assert.Assert(t, path != root, "%s imports the router", name)
				if imported, ok := strings.CutPrefix(path, root+"/"); ok {
					assert.Assert(t, slices.Contains(layers[:layer], imported), "%s imports %s", name, imported)
				}
			}
		}
	}
}
