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

// Watcher reports changes of the settings file: it reads the file at RequestReload (SIGHUP), and polls
// its attributes, as the file may also change without a signal (PROTOCOL.md, "The operator's API").
type Watcher struct {
	path            string
	interval        time.Duration
	changed         func(*Settings)
	reloadRequested chan struct{}

	current         *Settings
	lastRead        fs.FileInfo // of the file that current was read from; nil: read it again at the next poll
	lastLoggedError string      // until the next successful read
}

// NewWatcher returns a watcher of the file at path, from which current was read. changed is called on
// the goroutine of Run with each new version of the settings; while the file is malformed or missing,
// the previous settings stay in force.
func NewWatcher(path string, current *Settings, interval time.Duration, changed func(*Settings)) *Watcher {
	return &Watcher{path: path, interval: interval, changed: changed, reloadRequested: make(chan struct{}, 1), current: current}
}

// RequestReload makes Run read the file soon. It doesn't block.
func (w *Watcher) RequestReload() {
	select {
	case w.reloadRequested <- struct{}{}:
	default: // one is requested already
	}
}

// Run watches the file until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	w.watch(ctx, ticker.C)
}

// watch polls the file at each tick and reads it at each request, until ctx ends.
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

// fileChanged compares the file's attributes with those at the last successful read.
func (w *Watcher) fileChanged() bool {
	found, err := os.Stat(w.path)
	if err != nil {
		w.logError(err)
		return false
	}
	return w.lastRead == nil || !os.SameFile(found, w.lastRead) ||
		found.Size() != w.lastRead.Size() || !found.ModTime().Equal(w.lastRead.ModTime())
}

// reload reads the file. Its attributes are taken first, so that a change in between is found at the
// next poll.
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

// logError logs an error, unless it is the same as the one logged last.
func (w *Watcher) logError(err error) {
	text := err.Error()
	if text == w.lastLoggedError {
		return
	}
	w.lastLoggedError = text
	slog.Warn("settings: file not applied, previous settings stay in force", "missing", errors.Is(err, fs.ErrNotExist), "error", text)
}
