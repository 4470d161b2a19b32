package protocol

// readChunkFraming reads one byte between the chunks of a body: of a size line, the end of a chunk,
// or trailers.
func (m *Message) readChunkFraming(c byte) error {
	if m.lineLength++; m.lineLength > maxChunk {
		return newError(400, "a chunk's line is too long")
	}
	if m.afterCR && c != '\n' || !m.afterCR && c == '\n' || m.state == inDataEnd && !m.afterCR && c != '\r' {
		return newError(400, "a broken chunk")
	}
	if c == '\r' {
		m.afterCR = true
		return nil
	}
	ended := m.afterCR
	m.afterCR = false
	switch m.state {
	case inSize, inExtension:
		if ended {
			if m.digits == 0 {
				return newError(400, "a chunk without a size")
			}
			if m.Stream == nil && len(m.buf)-m.headLength+m.remaining > MaxBody {
				return newError(413, "the body is too long")
			}
			m.state, m.lineLength = inData, 0
			if m.remaining == 0 {
				m.state, m.digits = inTrailer, 0
			}
			return nil
		}
		if d := hexDigit(c); m.state == inSize && d >= 0 {
			if m.digits++; m.digits > 7 {
				return newError(413, "a chunk is too long")
			}
			m.remaining = m.remaining<<4 | d
		} else if c == ';' || c == ' ' || c == '\t' {
			m.state = inExtension
		} else if m.state == inSize {
			return newError(400, "a chunk's size is no number")
		}
	case inDataEnd:
		m.state, m.remaining, m.digits, m.lineLength = inSize, 0, 0, 0
	case inTrailer:
		if !ended {
			m.digits++ // of this line
		} else if m.digits == 0 {
			m.state = complete
		} else {
			m.digits = 0
		}
	}
	return nil
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
