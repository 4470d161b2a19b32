package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/rig/scale"
)

// Three small sizes of hollow nodes: the tables, the lines, the JSON and the plot are there.
func TestFleetScaleOfHollowNodes(t *testing.T) {
	jsonPath, plotPath := filepath.Join(t.TempDir(), "scale.json"), filepath.Join(t.TempDir(), "scale.svg")
	command := fleetScale()
	var out bytes.Buffer
	command.SetOut(&out)
	command.SetArgs([]string{"--hollow", "--no-events", "--no-troubles", "--sizes", "2,3,4", "--json", jsonPath, "--plot", plotPath})
	assert.NilError(t, command.Execute())
	for _, line := range []string{"registry: a broker", "heartbeats alone", "core tail", "a change: acknowledged", "lines through the sizes"} {
		assert.Check(t, strings.Contains(out.String(), line), line)
	}
	text, err := os.ReadFile(jsonPath)
	assert.NilError(t, err)
	var report scale.Report
	assert.NilError(t, json.Unmarshal(text, &report))
	assert.Equal(t, len(report.Sizes), 3)
	assert.Check(t, len(report.Fits) > 10)
	plot, err := os.ReadFile(plotPath)
	assert.NilError(t, err)
	assert.Check(t, bytes.Contains(plot, []byte("<svg")))
}

// A run that has no time left says what it leaves out.
func TestFleetScaleIsBounded(t *testing.T) {
	command := fleetScale()
	var out bytes.Buffer
	command.SetOut(&out)
	command.SetArgs([]string{"--hollow", "--sizes", "2", "--most", "1ns"})
	assert.NilError(t, command.Execute())
	assert.Check(t, strings.Contains(out.String(), "left out: 2 proxies"), out.String())
}
