package diskfault

import (
	"io"
	"math/rand/v2"
	"slices"
)

// inode is the contents of a file.
type inode struct {
	content []byte  // as processes see it
	synced  []byte  // as of the last sync that succeeded
	pending []write // since then, in order
	// uncertain holds writes that a failed sync was to cover. A later sync doesn't cover them
	// either: it decides by chance what is left of them, below the writes that it does cover.
	uncertain []write
}

// write is one write to a file.
type write struct {
	offset int64
	data   []byte
}

// sectorBytes is the unit that a torn write keeps or loses, counted from the write's start.
const sectorBytes = 64

// apply writes into content, and fills a gap with zeros.
func apply(content []byte, w write) []byte {
	if end := int(w.offset) + len(w.data); end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[w.offset:], w.data)
	return content
}

// losePower decides by chance what is left of the writes that no sync covered.
func (f *inode) losePower(random *rand.Rand, loss Loss) {
	if loss == SomeLost {
		f.resolve(random, f.uncertain)
		f.resolve(random, f.pending)
	}
	f.content = slices.Clone(f.synced)
	f.pending, f.uncertain = nil, nil
}

// resolve decides for each write whether it is kept, lost or torn.
func (f *inode) resolve(random *rand.Rand, writes []write) {
	for _, w := range writes {
		switch random.IntN(3) {
		case 0: // missing
		case 1:
			f.synced = apply(f.synced, w)
		case 2:
			f.synced = tear(random, f.synced, w)
		}
	}
}

// sync makes the pending writes durable.
func (f *inode) sync(random *rand.Rand) {
	f.resolve(random, f.uncertain)
	for _, w := range f.pending {
		f.synced = apply(f.synced, w)
	}
	f.pending, f.uncertain = nil, nil
}

// tear keeps a part of a write: its beginning, its end or some sectors.
func tear(random *rand.Rand, content []byte, w write) []byte {
	tornAt := random.IntN(len(w.data) + 1)
	switch random.IntN(3) {
	case 0:
		return apply(content, write{offset: w.offset, data: w.data[:tornAt]})
	case 1:
		return apply(content, write{offset: w.offset + int64(tornAt), data: w.data[tornAt:]})
	}
	for from := 0; from < len(w.data); from += sectorBytes {
		if random.IntN(2) == 0 {
			sector := w.data[from:min(from+sectorBytes, len(w.data))]
			content = apply(content, write{offset: w.offset + int64(from), data: sector})
		}
	}
	return content
}

// handle is an open file.
type handle struct {
	disk  *Disk
	inode *inode
}

// ReadAt reads what processes see.
func (h *handle) ReadAt(b []byte, offset int64) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if h.disk.stopped {
		return 0, ErrStopped
	}
	if offset >= int64(len(h.inode.content)) {
		return 0, io.EOF
	}
	n := copy(b, h.inode.content[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes; a refused write may leave a part of its bytes.
func (h *handle) WriteAt(b []byte, offset int64) (int, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	stops, err := h.disk.countStep()
	n := len(b)
	switch {
	case stops:
		n = h.disk.random.IntN(len(b) + 1)
	case err != nil:
		n = 0
	case h.disk.full:
		n, err = 0, errFull
	case h.disk.failing:
		n, err = h.disk.random.IntN(len(b)+1), errFailing
	}
	if n > 0 {
		written := write{offset: offset, data: slices.Clone(b[:n])}
		h.inode.content = apply(h.inode.content, written)
		h.inode.pending = append(h.inode.pending, written)
	}
	return n, err
}

// Size returns the file's length in bytes.
func (h *handle) Size() (int64, error) {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	if h.disk.stopped {
		return 0, ErrStopped
	}
	return int64(len(h.inode.content)), nil
}

// Sync makes the writes since the last sync durable. After one that fails, it is uncertain for good
// which of them are.
func (h *handle) Sync() error {
	h.disk.mutex.Lock()
	defer h.disk.mutex.Unlock()
	stops, err := h.disk.countStep()
	if err != nil && (!stops || h.disk.random.IntN(2) == 0) {
		return err
	}
	if h.disk.failing || h.disk.syncsFailing {
		h.inode.uncertain = append(h.inode.uncertain, h.inode.pending...)
		h.inode.pending = nil
		return errFailing
	}
	h.inode.sync(h.disk.random)
	return err
}

// Close does nothing.
func (h *handle) Close() error { return nil }
