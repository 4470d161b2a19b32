package scale

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLinesThroughRealNodes(t *testing.T) {
	node := func(messages float64) RealNode { return RealNode{Messages: messages, CPUPercent: 0.1 + 0.01*messages} }
	var results []RealResult
	for _, c := range RealCases {
		result := RealResult{RealCase: c, Proxy: node(12), Core: node(40)}
		result.Proxy.CPUPercent += float64(c.Brokers) / Heartbeat.Seconds() * 0.03 / float64(c.Nodes)
		result.Core.CPUPercent += float64(c.Brokers) / Heartbeat.Seconds() * 0.03 / float64(c.Nodes)
		results = append(results, result)
	}
	fits := RealFits(results)
	assert.Equal(t, len(fits), 2)
	assert.Check(t, fits[0].Slope > 0.0099 && fits[0].Slope < 0.0101, "%+v", fits[0])
	assert.Check(t, fits[1].Slope > 0.029 && fits[1].Slope < 0.031, "%+v", fits[1])
}
