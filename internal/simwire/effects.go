package simwire

import (
	"encoding/binary"
	"math"
)

// selectInstance appends a From record, unless the last one in the reply selected the same instance.
func (h *host) selectInstance(in *instance) {
	if h.selectedInstance != int(in.number) {
		h.selectedInstance = int(in.number)
		h.appendRecord(decisionFrom)
		h.reply = binary.LittleEndian.AppendUint16(h.reply, in.number)
	}
}

// appendRecord begins a record of the reply; the caller appends its fields.
func (h *host) appendRecord(code uint16) {
	h.records++
	h.reply = binary.LittleEndian.AppendUint16(h.reply, code)
}

// appendText appends a record with one text, which is cut off at 65,535 bytes.
func (h *host) appendText(code uint16, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	h.appendRecord(code)
	h.reply = binary.LittleEndian.AppendUint16(h.reply, uint16(len(s)))
	h.reply = append(h.reply, s...)
}

// beginRecord begins a record of this instance; the caller appends its fields.
func (in *instance) beginRecord(code uint16) {
	in.host.selectInstance(in)
	in.host.appendRecord(code)
}

// appendU64 appends a field to the reply.
func (in *instance) appendU64(v uint64) {
	in.host.reply = binary.LittleEndian.AppendUint64(in.host.reply, v)
}

// appendF64 appends a field to the reply.
func (in *instance) appendF64(v float64) { in.appendU64(math.Float64bits(v)) }

// Send implements policy.Executor. It tells the simulator to send another attempt of a shard request to a server.
func (in *instance) Send(request, server int, timeout, _ float64) {
	in.beginRecord(decisionRelay)
	in.appendU64(in.idOf[request])
	in.appendF64(timeout)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// Cancel implements policy.Executor. It tells the simulator to cancel an attempt.
func (in *instance) Cancel(request, attempt int) {
	in.beginRecord(decisionCancel)
	in.appendU64(in.idOf[request])
	in.host.reply = binary.LittleEndian.AppendUint16(in.host.reply, uint16(attempt))
}

// Answer implements policy.Executor. It tells the simulator to answer a search.
func (in *instance) Answer(search int, complete bool) {
	in.beginRecord(decisionMerge)
	in.appendU64(in.idOf[search])
	flag := byte(0)
	if complete {
		flag = 1
	}
	in.host.reply = append(in.host.reply, flag)
}

// Shed implements policy.Executor. It tells the simulator to refuse a search.
func (in *instance) Shed(search int, retryAfter float64) {
	in.beginRecord(decisionPushBack)
	in.appendU64(in.idOf[search])
	in.appendF64(retryAfter)
}

// Fail implements policy.Executor. It tells the simulator that a search failed.
func (in *instance) Fail(search int) {
	in.beginRecord(decisionReportFailure)
	in.appendU64(in.idOf[search])
}

// Probe implements policy.Executor. It tells the simulator to check the health of a server.
func (in *instance) Probe(server int) {
	in.beginRecord(decisionSoundOut)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// CloseIdleConnections implements policy.Executor. It tells the simulator to close the idle connections to a server.
func (in *instance) CloseIdleConnections(server int) {
	in.beginRecord(decisionLetGo)
	in.host.reply = append(in.host.reply, in.serverIDs[server][:]...)
}

// SubscribeToServers implements policy.Executor. It tells the simulator to keep sending changes of the server list.
func (in *instance) SubscribeToServers() {
	in.beginRecord(decisionKeepInformed)
	in.host.reply = append(in.host.reply, 1)
}

// ScheduleWakeUp implements policy.Executor. It tells the simulator to send a Bell record after delay milliseconds.
func (in *instance) ScheduleWakeUp(delay float64) {
	in.beginRecord(decisionRemind)
	in.appendF64(delay)
	in.appendU64(0)
}

// Log implements policy.Executor. It passes a log line to the simulator.
func (in *instance) Log(text string) {
	in.host.selectInstance(in)
	in.host.appendText(decisionTrace, text)
}

// ReleaseSearch implements policy.Executor. It releases the indices of a search and of its shard requests. The job number
// is released only if no later search has taken it over.
func (in *instance) ReleaseSearch(search int) {
	for _, index := range append(in.requestsOf[search], search) {
		delete(in.indexOf, in.idOf[index])
		in.freeIndices = append(in.freeIndices, index)
	}
	delete(in.requestsOf, search)
	if job := in.jobOfSearch[search]; in.searchOfJob[job] == search {
		delete(in.searchOfJob, job)
	}
	delete(in.jobOfSearch, search)
}
