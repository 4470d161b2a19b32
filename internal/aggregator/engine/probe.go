package engine

// Probe implements policy.Executor. It sends a health check to an ejected server over a new connection.
func (e *Engine) Probe(server int) {
	conn := e.connectServer(server) // an open connection may be the one that does not respond
	sentAt := e.now
	if conn == nil {
		e.probeEnded(server, false, sentAt, nil)
		return
	}
	e.Counters.Probes++
	conn.probeSentAt = sentAt
	e.afterFunc(e.config.connectTimeout, func(e *Engine) {
		if conn.probeSentAt == sentAt && !conn.closed {
			conn.probeSentAt = 0
			if conn.inFlight == 0 {
				e.dropServerConn(conn)
			}
			e.probeEnded(server, false, sentAt, nil)
		}
	})
}

// probeEnded stores the result of a health check until it is delivered to the policy.
func (e *Engine) probeEnded(server int, ok bool, sentAt float64, report []float64) {
	if !ok {
		e.Counters.ProbesFailed++
	}
	e.probeResults = append(e.probeResults, probeResult{server, ok, sentAt, report})
}
