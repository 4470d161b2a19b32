package scale

// RealFits are lines through what real nodes took: by their messages, and by the heartbeats of brokers. The bases are what a node
// takes without any.
func RealFits(results []RealResult) []Fit {
	var messages, processor, beats, ofBeats []float64
	for _, r := range results {
		if r.Brokers == 0 {
			messages = append(messages, r.Proxy.Messages, r.Core.Messages)
			processor = append(processor, r.Proxy.CPUPercent, r.Core.CPUPercent)
		}
		if r.Nodes == heartbeatNodes && !r.Models {
			beats = append(beats, float64(r.Brokers)/Heartbeat.Seconds())
			ofBeats = append(ofBeats, r.Core.CPUPercent*float64(r.Disks)+r.Proxy.CPUPercent*float64(r.Nodes-r.Disks))
		}
	}
	var fits []Fit
	const messagesOfAProxy = 100 // about what one hears and sends in a second at the target with events of kept parts
	if fit, ok := fitLine("real node: processor, by messages a second", "% of a core", messages, processor, messagesOfAProxy, 0); ok {
		fits = append(fits, fit)
	}
	if fit, ok := fitLine("8 real nodes: processor together, by heartbeats a second", "% of a core", beats, ofBeats, beatsAtTarget, 0); ok {
		fits = append(fits, fit)
	}
	return fits
}

// heartbeatNodes is the number of nodes of the cases with different numbers of brokers.
const heartbeatNodes = 8

// beatsAtTarget is the heartbeats a second of all model brokers of the target.
var beatsAtTarget = float64(TwoYears.ModelBrokers) / Heartbeat.Seconds()
