package mechanism

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMechanismsByName(t *testing.T) {
	var all Set
	var names []string
	for _, info := range All() {
		assert.Assert(t, all&info.Mechanism == 0, "%s shares its bit", info.Name)
		assert.Assert(t, info.Description != "")
		all |= info.Mechanism
		names = append(names, info.Name)
		set, err := Parse(info.Name)
		assert.NilError(t, err)
		assert.DeepEqual(t, set.Names(), []string{info.Name})
	}
	set, err := Parse(strings.Join(names, ","))
	assert.NilError(t, err)
	assert.Equal(t, set, all)
	set, err = Parse("")
	assert.NilError(t, err)
	assert.Equal(t, set, Set(0))
	_, err = Parse("copies,copy")
	assert.ErrorContains(t, err, `"copy"`)
}
