package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// watcherFixture is a settings file with a watcher that polls at the test's ticks.
type watcherFixture struct {
	path     string
	watcher  *Watcher
	ticks    chan time.Time
	changes  chan *Settings
	runEnded chan struct{}
	cancel   context.CancelFunc
}

func watchFile(t *testing.T) *watcherFixture {
	t.Helper()
	w := &watcherFixture{
		path:     filepath.Join(t.TempDir(), "settings.json"),
		ticks:    make(chan time.Time),
		changes:  make(chan *Settings, 10),
		runEnded: make(chan struct{}),
	}
	write(t, w.path, example)
	current, err := Load(w.path)
	assert.NilError(t, err)
	w.watcher = NewWatcher(w.path, current, time.Hour, func(s *Settings) { w.changes <- s })
	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = cancel
	go func() {
		defer close(w.runEnded)
		w.watcher.watch(ctx, w.ticks)
	}()
	t.Cleanup(w.stop)
	return w
}

func (w *watcherFixture) stop() {
	w.cancel()
	<-w.runEnded
}

// tick makes the watcher poll, and returns when it has: the second tick is taken only after the work for
// the first.
func (w *watcherFixture) tick() {
	w.ticks <- time.Time{}
	w.ticks <- time.Time{}
}

func (w *watcherFixture) rewrite(t *testing.T, from, to string) {
	t.Helper()
	content, err := os.ReadFile(w.path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), from))
	write(t, w.path, strings.Replace(string(content), from, to, 1))
}

func TestWatcherDetectsChangeWithoutSignal(t *testing.T) {
	w := watchFile(t)
	w.tick()
	w.rewrite(t, `"heartbeatMs": 1500`, `"heartbeatMs": 17000`)
	w.tick()
	assert.Equal(t, len(w.changes), 1)
	assert.Equal(t, (<-w.changes).Heartbeat(), 17*time.Second)
	w.tick()
	assert.Equal(t, len(w.changes), 0)
}

func TestWatcherDetectsReplacedFileOfSameSizeAndTime(t *testing.T) {
	w := watchFile(t)
	w.tick()
	before, err := os.Stat(w.path)
	assert.NilError(t, err)
	content := strings.Replace(example, `"heartbeatMs": 1500`, `"heartbeatMs": 1700`, 1)
	write(t, w.path+".new", content)
	assert.NilError(t, os.Chtimes(w.path+".new", before.ModTime(), before.ModTime()))
	assert.NilError(t, os.Rename(w.path+".new", w.path))
	w.tick()
	assert.Equal(t, (<-w.changes).Heartbeat(), 1700*time.Millisecond)
}

func TestRequestReloadReadsAtOnce(t *testing.T) {
	w := watchFile(t)
	w.rewrite(t, `"heartbeatMs": 1500`, `"heartbeatMs": 1700`)
	w.watcher.RequestReload()
	assert.Equal(t, (<-w.changes).Heartbeat(), 1700*time.Millisecond)
}

func TestRequestReloadDoesNotBlock(t *testing.T) {
	w := NewWatcher("/nowhere", &Settings{}, time.Hour, func(*Settings) {})
	for range 10 {
		w.RequestReload()
	}
	assert.Equal(t, len(w.reloadRequested), 1)
}

func TestWatcherKeepsSettingsWhileFileIsMalformed(t *testing.T) {
	w := watchFile(t)
	for _, broken := range []string{`{"nodeName": `, `{}`, ``} {
		write(t, w.path, broken)
		w.tick()
		assert.Equal(t, len(w.changes), 0)
	}
	write(t, w.path, example)
	w.tick()
	assert.Equal(t, len(w.changes), 0, "the same settings as before are no change")
	w.rewrite(t, `"bootstrap": true`, `"bootstrap": false`)
	w.tick()
	assert.Assert(t, !(<-w.changes).Bootstrap)
}

func TestWatcherKeepsSettingsWhileFileIsMissing(t *testing.T) {
	w := watchFile(t)
	w.tick()
	assert.NilError(t, os.Remove(w.path))
	w.tick()
	w.watcher.RequestReload()
	w.tick()
	assert.Equal(t, len(w.changes), 0)
	write(t, w.path, strings.Replace(example, `"zone": "b"`, `"zone": "a"`, 1))
	w.tick()
	assert.Equal(t, (<-w.changes).Zone, "a")
}

func TestWatcherStopsWithContext(t *testing.T) {
	w := NewWatcher("/nowhere", &Settings{}, time.Hour, func(*Settings) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.Run(ctx)
}
