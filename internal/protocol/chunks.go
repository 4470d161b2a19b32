package protocol

// maxChunkSizeDigits limits the hex digits of a chunk size.
const maxChunkSizeDigits = 7

// parseChunkFraming parses one byte of a chunked body that is not chunk data: of a chunk-size line, of
// the line break after a chunk, or of the trailers. The texts of its errors are sent to clients as
// response bodies and therefore stay as they are.
func (m *Message) parseChunkFraming(c byte) error {
	if m.framingLength++; m.framingLength > maxChunkFraming {
		return newRequestError(400, "a chunk's line is too long")
	}
	if m.afterCR && c != '\n' || !m.afterCR && c == '\n' || m.state == inChunkDataEnd && !m.afterCR && c != '\r' {
		return newRequestError(400, "a broken chunk")
	}
	if c == '\r' {
		m.afterCR = true
		return nil
	}
	ended := m.afterCR
	m.afterCR = false
	switch m.state {
	case inChunkSize, inChunkExtension:
		if ended {
			if m.lineDigits == 0 {
				return newRequestError(400, "a chunk without a size")
			}
			if m.BodySink == nil && len(m.buf)-m.headLength+m.remaining > MaxBody {
				return newRequestError(413, "the body is too long")
			}
			m.state, m.framingLength = inChunkData, 0
			if m.remaining == 0 {
				m.state, m.lineDigits = inTrailers, 0
			}
			return nil
		}
		if d := hexDigit(c); m.state == inChunkSize && d >= 0 {
			if m.lineDigits++; m.lineDigits > maxChunkSizeDigits {
				return newRequestError(413, "a chunk is too long")
			}
			m.remaining = m.remaining<<4 | d
		} else if c == ';' || c == ' ' || c == '\t' {
			m.state = inChunkExtension
		} else if m.state == inChunkSize {
			return newRequestError(400, "a chunk's size is no number")
		}
	case inChunkDataEnd:
		m.state, m.remaining, m.lineDigits, m.framingLength = inChunkSize, 0, 0, 0
	case inTrailers:
		if !ended {
			m.lineDigits++ // a byte of this trailer line
		} else if m.lineDigits == 0 {
			m.state = messageComplete
		} else {
			m.lineDigits = 0
		}
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, or -1.
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
