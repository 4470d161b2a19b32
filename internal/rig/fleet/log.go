package fleet

import "sync"

// maxLogBytes bounds what is kept of what a node writes.
const maxLogBytes = 1 << 20

// logBuffer keeps the newest of what a node writes, in all its lives. It is kept in memory, so that a slow disk of this
// machine does not hold a node up that logs.
type logBuffer struct {
	mutex sync.Mutex
	text  []byte
}

// Write implements io.Writer.
func (l *logBuffer) Write(text []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.text = append(l.text, text...)
	if len(l.text) > maxLogBytes {
		l.text = append([]byte(nil), l.text[len(l.text)-maxLogBytes/2:]...)
	}
	return len(text), nil
}

// String gives what was written so far.
func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return string(l.text)
}
