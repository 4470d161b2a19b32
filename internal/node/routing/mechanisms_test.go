package routing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMechanismsByName(t *testing.T) {
	var all Mechanism
	var names []string
	for _, info := range Mechanisms() {
		assert.Assert(t, all&info.Mechanism == 0, "%s shares its bit", info.Name)
		assert.Assert(t, info.About != "")
		all |= info.Mechanism
		names = append(names, info.Name)
		set, err := ParseMechanisms(info.Name)
		assert.NilError(t, err)
		assert.DeepEqual(t, set.Names(), []string{info.Name})
	}
	set, err := ParseMechanisms(strings.Join(names, ","))
	assert.NilError(t, err)
	assert.Equal(t, set, all)
	set, err = ParseMechanisms("")
	assert.NilError(t, err)
	assert.Equal(t, set, Mechanism(0))
	_, err = ParseMechanisms("copies,copy")
	assert.ErrorContains(t, err, `"copy"`)
}
