package forward

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the least time between two lines with the same message.
const logInterval = time.Second

// limitedLog writes warnings that clients can cause at will: one line of each message in logInterval, with the number of those that
// were left out since the last. It is safe for concurrent use.
type limitedLog struct {
	log *slog.Logger
	now func() time.Time

	mutex    sync.Mutex
	messages map[string]*loggedMessage
}

// loggedMessage is what is known of the lines with one message.
type loggedMessage struct {
	lastAt  time.Time
	leftOut int
}

func newLimitedLog(log *slog.Logger) *limitedLog {
	return &limitedLog{log: log, now: time.Now, messages: map[string]*loggedMessage{}}
}

// warn writes a line, or counts it as left out. message is one of a few constants.
func (l *limitedLog) warn(message string, attributes ...any) {
	if leftOut, due := l.admit(message); due {
		l.log.Warn(message, append(attributes, "left_out", leftOut)...)
	}
}

// admit reports whether a line is due, and how many were left out before it.
func (l *limitedLog) admit(message string) (leftOut int, due bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now, logged := l.now(), l.messages[message]
	if logged == nil {
		logged = &loggedMessage{}
		l.messages[message] = logged
	}
	if !logged.lastAt.IsZero() && now.Sub(logged.lastAt) < logInterval {
		logged.leftOut++
		return 0, false
	}
	leftOut, logged.lastAt, logged.leftOut = logged.leftOut, now, 0
	return leftOut, true
}
