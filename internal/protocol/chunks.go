package protocol

// maxSizeDigits limits the hex digits of a chunk size.
const maxSizeDigits = 7

// readChunkFraming parses one byte of a chunked body that is not chunk data: of a chunk-size line, of
// the line break after a chunk, or of the trailers.
func (m *Message) readChunkFraming(c byte) error {
	if m.lineLength++; m.lineLength > maxChunk {
		return newError(400, "chunk-size line or trailers exceed the limit")
	}
	if m.afterCR && c != '\n' || !m.afterCR && c == '\n' || m.state == inDataEnd && !m.afterCR && c != '\r' {
		return newError(400, "invalid line break in a chunked body")
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
				return newError(400, "chunk without a size")
			}
			if m.Stream == nil && len(m.buf)-m.headLength+m.remaining > MaxBody {
				return newError(413, "body exceeds the limit")
			}
			m.state, m.lineLength = inData, 0
			if m.remaining == 0 {
				m.state, m.digits = inTrailer, 0
			}
			return nil
		}
		if d := hexDigit(c); m.state == inSize && d >= 0 {
			if m.digits++; m.digits > maxSizeDigits {
				return newError(413, "chunk size has too many digits")
			}
			m.remaining = m.remaining<<4 | d
		} else if c == ';' || c == ' ' || c == '\t' {
			m.state = inExtension
		} else if m.state == inSize {
			return newError(400, "chunk size is not a hexadecimal number")
		}
	case inDataEnd:
		m.state, m.remaining, m.digits, m.lineLength = inSize, 0, 0, 0
	case inTrailer:
		if !ended {
			m.digits++ // a byte of this trailer line
		} else if m.digits == 0 {
			m.state = complete
		} else {
			m.digits = 0
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
