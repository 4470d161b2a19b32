package simwire

import (
	"encoding/binary"
	"math"
)

func (h *host) selectInstance(in *instance) {
	if h.speaker != int(in.number) {
		h.speaker = int(in.number)
		h.appendRecord(1070)
		h.reply = binary.LittleEndian.AppendUint16(h.reply, in.number)
	}
}

func (h *host) appendRecord(code uint16) {
	h.records++
	h.reply = binary.LittleEndian.AppendUint16(h.reply, code)
}

func (h *host) appendText(code uint16, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	h.appendRecord(code)
	h.reply = binary.LittleEndian.AppendUint16(h.reply, uint16(len(s)))
	h.reply = append(h.reply, s...)
}

func (in *instance) beginRecord(code uint16) {
	in.host.selectInstance(in)
	in.host.appendRecord(code)
}

func (in *instance) u64(v uint64)  { in.host.reply = binary.LittleEndian.AppendUint64(in.host.reply, v) }
func (in *instance) f64(v float64) { in.u64(math.Float64bits(v)) }

// Send implements policy.Executor: one more attempt goes to a server, by a frame to the simulator.
func (in *instance) Send(part, server int, within, _ float64) {
	in.beginRecord(1130)
	in.u64(in.idOf[part])
	in.f64(within)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// Cancel implements policy.Executor: an attempt is cancelled, by a frame to the simulator.
func (in *instance) Cancel(part, try int) {
	in.beginRecord(1100)
	in.u64(in.idOf[part])
	in.host.reply = binary.LittleEndian.AppendUint16(in.host.reply, uint16(try))
}

// Answer implements policy.Executor: a search is answered, by a frame to the simulator.
func (in *instance) Answer(search int, complete bool) {
	in.beginRecord(1080)
	in.u64(in.idOf[search])
	mark := byte(0)
	if complete {
		mark = 1
	}
	in.host.reply = append(in.host.reply, mark)
}

// Shed implements policy.Executor: a search is refused, by a frame to the simulator.
func (in *instance) Shed(search int, comeBack float64) {
	in.beginRecord(1010)
	in.u64(in.idOf[search])
	in.f64(comeBack)
}

// Fail implements policy.Executor: a search ends in error, by a frame to the simulator.
func (in *instance) Fail(search int) {
	in.beginRecord(1060)
	in.u64(in.idOf[search])
}

// Probe implements policy.Executor: a server is probed, by a frame to the simulator.
func (in *instance) Probe(server int) {
	in.beginRecord(1050)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// CloseIdleConnections implements policy.Executor: idle connections to a server are closed, by a frame to the simulator.
func (in *instance) CloseIdleConnections(server int) {
	in.beginRecord(1000)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// SubscribeToServers implements policy.Executor: the list is subscribed to, by a frame to the simulator.
func (in *instance) SubscribeToServers() {
	in.beginRecord(1110)
	in.host.reply = append(in.host.reply, 1)
}

// ScheduleWakeUp implements policy.Executor: the policy wants a round after so many milliseconds, by a frame to the simulator.
func (in *instance) ScheduleWakeUp(delay float64) {
	in.beginRecord(1020)
	in.f64(delay)
	in.u64(0)
}

// Log implements policy.Executor: the policy has a line for the log.
func (in *instance) Log(text string) {
	in.host.selectInstance(in)
	in.host.appendText(1120, text)
}

// ReleaseSearch implements policy.Executor: the indices of a search may be used again.
func (in *instance) ReleaseSearch(search int) {
	for _, at := range append(in.requestsOf[search], search) {
		delete(in.indexOf, in.idOf[at])
		in.freeIndices = append(in.freeIndices, at)
	}
	delete(in.requestsOf, search)
	if job := in.jobOfSearch[search]; in.searchOfJob[job] == search {
		delete(in.searchOfJob, job)
	}
	delete(in.jobOfSearch, search)
}
