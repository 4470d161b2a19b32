package settings

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"reflect"
	"time"
)

// Watcher tells of changes of the settings file: at Poke (SIGHUP), and by looking at the file's attributes now and
// then, as the file may also change without any signal (PROTOCOL.md, "The operator's API").
type Watcher struct {
	path            string
	interval        time.Duration
	changed         func(*Settings)
	reloadRequested chan struct{}

	current         *Settings
	lastRead        fs.FileInfo // of the file that current was read from; nil: read it again at the next look
	lastLoggedError string      // the last error that was logged
}

// NewWatcher returns a watcher of the file at path, from which current was read. changed is called on the goroutine of
// Run with each new version of the settings; while the file is malformed, the former settings stay in force.
func NewWatcher(path string, current *Settings, interval time.Duration, changed func(*Settings)) *Watcher {
	return &Watcher{path: path, interval: interval, changed: changed, reloadRequested: make(chan struct{}, 1), current: current}
}

// RequestReload has the file read soon. It does not block.
func (w *Watcher) RequestReload() {
	select {
	case w.reloadRequested <- struct{}{}:
	default: // one is due already
	}
}

// Run watches the file until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	w.watch(ctx, ticker.C)
}

func (w *Watcher) watch(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if w.fileChanged() {
				w.reload()
			}
		case <-w.reloadRequested:
			w.reload()
		}
	}
}

// fileChanged compares the file's attributes with those at the last successful reading.
func (w *Watcher) fileChanged() bool {
	found, err := os.Stat(w.path)
	if err != nil {
		w.logError(err)
		return false
	}
	return w.lastRead == nil || !os.SameFile(found, w.lastRead) ||
		found.Size() != w.lastRead.Size() || !found.ModTime().Equal(w.lastRead.ModTime())
}

// reload reads the file. Its attributes are taken first: a change in between is found at the next look.
func (w *Watcher) reload() {
	w.lastRead = nil
	found, err := os.Stat(w.path)
	if err != nil {
		w.logError(err)
		return
	}
	settings, err := Load(w.path)
	if err != nil {
		w.logError(err)
		return
	}
	w.lastRead, w.lastLoggedError = found, ""
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.changed(settings)
}

// logError logs an error, once for as long as it stays the same.
func (w *Watcher) logError(err error) {
	text := err.Error()
	if text == w.lastLoggedError {
		return
	}
	w.lastLoggedError = text
	slog.Warn("the former settings stay in force", "missing", errors.Is(err, fs.ErrNotExist), "error", text)
}
