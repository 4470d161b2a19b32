package engine

// Probe implements policy.Out: a health check of an ejected server, over a connection of its own.
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
			conn.probeSentAt = 0
			if conn.inFlight == 0 {
				e.dropServerConn(conn)
			}
			e.probeEnded(server, false, sent, nil)
		}
	})
}

// probeEnded keeps a result for the policy.
func (e *Engine) probeEnded(server int, ok bool, sent float64, report []float64) {
	if !ok {
		e.Count.ProbesFailed++
	}
	e.probeResults = append(e.probeResults, probeResult{server, ok, sent, report})
}
