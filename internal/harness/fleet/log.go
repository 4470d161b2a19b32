package fleet

import "sync"

// maxLogBytes bounds the retained log of a node.
const maxLogBytes = 1 << 20

// logBuffer retains the newest output of a node, of all its incarnations. It is in memory, so that a slow disk of this machine
// does not block a node that logs.
type logBuffer struct {
	mutex   sync.Mutex
	text    []byte
	written int64 // bytes, of which text is the end
}

// Write implements io.Writer.
func (l *logBuffer) Write(text []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.written += int64(len(text))
	l.text = append(l.text, text...)
	if len(l.text) > maxLogBytes {
		l.text = append([]byte(nil), l.text[len(l.text)-maxLogBytes/2:]...)
	}
	return len(text), nil
}

// String returns what is retained.
func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return string(l.text)
}

// writtenBytes is how much was ever written.
func (l *logBuffer) writtenBytes() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.written
}
