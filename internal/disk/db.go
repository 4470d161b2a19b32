package disk

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// silentLogger keeps the embedded store's own lines out of the log. Fatalf is for what Disk keeps from the store; should it be
// called all the same, the goroutine blocks and the broker goes on.
type silentLogger struct{ disk *Disk }

// Infof writes nothing.
func (silentLogger) Infof(string, ...any) {}

// Errorf writes nothing.
func (silentLogger) Errorf(string, ...any) {}

// Fatalf keeps the text as the disk's fault, stops the disk and never returns.
func (l silentLogger) Fatalf(format string, args ...any) {
	l.disk.stop(fmt.Sprintf(format, args...))
}

// maxOpenFiles of one embedded store.
const maxOpenFiles = 64

// DB is an open embedded store. A second process that opens it is refused.
type DB struct {
	*pebble.DB
	Disk  *Disk
	cache *pebble.Cache
}

// Open opens a store, or makes one. memoryBytes is the size of its table in memory, and of its cache.
func Open(fs vfs.FS, dir string, memoryBytes int64) (*DB, error) {
	db := &DB{Disk: New(fs), cache: pebble.NewCache(memoryBytes)}
	if err := fs.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	db.DB, err = pebble.Open(dir, &pebble.Options{
		FS:                 db.Disk,
		Cache:              db.cache,
		MemTableSize:       uint64(memoryBytes),
		Logger:             silentLogger{db.Disk},
		FormatMajorVersion: pebble.FormatNewest,
		MaxOpenFiles:       maxOpenFiles,
	})
	if err != nil {
		db.cache.Unref()
		return nil, err
	}
	return db, nil
}

// Close closes the store. After a failed sync it is left as it is: there is nothing that could be made durable.
func (db *DB) Close() error {
	if db.Disk.Stopped.Load() {
		return errors.New("the disk has failed; the store was not closed")
	}
	err := db.DB.Close()
	db.cache.Unref()
	return err
}
