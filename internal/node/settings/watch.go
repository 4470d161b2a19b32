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
	path     string
	interval time.Duration
	changed  func(*Settings)
	poked    chan struct{}

	current *Settings
	seen    fs.FileInfo // of the file that current was read from; nil: read it again at the next look
	told    string      // the last error that was logged
}

// NewWatcher returns a watcher of the file at path, from which current was read. changed is called on the goroutine of
// Run with each new version of the settings; while the file is malformed, the former settings stay in force.
func NewWatcher(path string, current *Settings, interval time.Duration, changed func(*Settings)) *Watcher {
	return &Watcher{path: path, interval: interval, changed: changed, poked: make(chan struct{}, 1), current: current}
}

// Poke has the file read soon. It does not block.
func (w *Watcher) Poke() {
	select {
	case w.poked <- struct{}{}:
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
		case <-w.poked:
			w.reload()
		}
	}
}

// fileChanged compares the file's attributes with those at the last successful reading.
func (w *Watcher) fileChanged() bool {
	found, err := os.Stat(w.path)
	if err != nil {
		w.report(err)
		return false
	}
	return w.seen == nil || !os.SameFile(found, w.seen) ||
		found.Size() != w.seen.Size() || !found.ModTime().Equal(w.seen.ModTime())
}

// reload reads the file. Its attributes are taken first: a change in between is found at the next look.
func (w *Watcher) reload() {
	w.seen = nil
	found, err := os.Stat(w.path)
	if err != nil {
		w.report(err)
		return
	}
	settings, err := Load(w.path)
	if err != nil {
		w.report(err)
		return
	}
	w.seen, w.told = found, ""
	if reflect.DeepEqual(settings, w.current) {
		return
	}
	w.current = settings
	w.changed(settings)
}

// report logs an error, once for as long as it stays the same.
func (w *Watcher) report(err error) {
	text := err.Error()
	if text == w.told {
		return
	}
	w.told = text
	slog.Warn("the former settings stay in force", "missing", errors.Is(err, fs.ErrNotExist), "error", text)
}
