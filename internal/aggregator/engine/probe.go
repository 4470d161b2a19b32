package engine

// Probe implements policy.Out: a server that is set aside is probed over a connection of its own.
func (e *Engine) Probe(server int) {
	conn := e.connectServer(server) // what is open may be what does not answer
	sent := e.now
	if conn == nil {
		e.probeEnded(server, false, sent, nil)
		return
	}
	e.Count.Probes++
	conn.probeSentAt = sent
	e.after(e.config.connectTimeout, func(e *Engine) {
		if conn.probeSentAt == sent && !conn.closed {
			if conn.probeSentAt = 0; conn.inFlight == 0 {
				e.dropServerConn(conn)
			}
			e.probeEnded(server, false, sent, nil)
		}
	})
}

func (e *Engine) probeEnded(server int, ok bool, sent float64, report []float64) {
	if !ok {
		e.Count.ProbesFailed++
	}
	e.probeResults = append(e.probeResults, probeResult{server, ok, sent, report})
}
