// Package fencedir is a receiver of effects that is a folder, perhaps on a disk that several machines share: numbered versions,
// each made by a link that fails where the number is taken. So the check of a token and the effect are one step, whoever else
// writes: who read the versions, slept and wrote finds its number taken, reads again, and learns that its token is old.
package fencedir

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"kestrelspread/internal/fleet/lease/fence"
)

// Version is one file: an effect, or, without a key that is new, only a token that has been seen.
type Version struct {
	Role      string          `json:"duty"`
	Token     uint64          `json:"token"`
	Key       string          `json:"key"`
	TokenOnly bool            `json:"seen,omitempty"` // the effect was there already; the token is newer
	Body      json.RawMessage `json:"body,omitempty"`
}

// Receiver is one.
type Receiver struct {
	dir         string
	lastVersion uint64
	fenceState  fence.State
	// beforeWrite is called between the check and the act, for tests that have others write there.
	beforeWrite func()
}

// Open reads a folder, or makes it.
func Open(dir string) (*Receiver, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f := &Receiver{dir: dir}
	return f, f.read()
}

func (f *Receiver) path(no uint64) string {
	return filepath.Join(f.dir, fmt.Sprintf("v%012d.json", no))
}

// read takes up the versions that came since.
func (f *Receiver) read() error {
	for {
		text, err := os.ReadFile(f.path(f.lastVersion + 1))
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		} else if err != nil {
			return err
		}
		var v Version
		if err := json.Unmarshal(text, &v); err != nil {
			return fmt.Errorf("%s: %w", f.path(f.lastVersion+1), err)
		}
		if _, err := f.fenceState.Admit(fence.Effect{Role: v.Role, Token: v.Token, Key: v.Key}); err != nil {
			return fmt.Errorf("%s: %w", f.path(f.lastVersion+1), err)
		}
		f.lastVersion++
	}
}

// Apply does an effect once (fence.Receiver). Bodies are JSON.
func (f *Receiver) Apply(e fence.Effect) (done bool, err error) {
	if len(e.Body) > 0 && !json.Valid(e.Body) {
		return false, errors.New("the effect's body is no JSON")
	}
	for {
		if err := f.read(); err != nil {
			return false, err
		}
		had, newer, err := f.fenceState.Check(e)
		if err != nil {
			return false, err
		}
		if had && !newer {
			return true, nil
		}
		if f.beforeWrite != nil {
			f.beforeWrite()
		}
		v := Version{Role: e.Role, Token: e.Token, Key: e.Key, TokenOnly: had}
		if !had {
			v.Body = e.Body
		}
		taken, err := f.write(f.lastVersion+1, v)
		if err != nil {
			return false, err
		}
		if !taken {
			return had, f.read()
		}
	}
}

// write makes a version durable whole, or finds its number taken.
func (f *Receiver) write(no uint64, v Version) (taken bool, err error) {
	text, err := json.Marshal(v)
	if err != nil {
		return false, err
	}
	t, err := os.CreateTemp(f.dir, "new-*.tmp")
	if err != nil {
		return false, err
	}
	defer os.Remove(t.Name())
	_, err = t.Write(append(text, '\n'))
	if err == nil {
		err = t.Sync()
	}
	if err := errors.Join(err, t.Close()); err != nil {
		return false, err
	}
	if err := os.Link(t.Name(), f.path(no)); errors.Is(err, fs.ErrExist) {
		return true, nil
	} else if err != nil {
		return false, err
	}
	d, err := os.Open(f.dir)
	if err != nil {
		return false, err
	}
	return false, errors.Join(d.Sync(), d.Close())
}

// ReadVersions gives all that a folder holds, in order.
func ReadVersions(dir string) (list []Version, err error) {
	for no := uint64(1); ; no++ {
		text, err := os.ReadFile((&Receiver{dir: dir}).path(no))
		if errors.Is(err, fs.ErrNotExist) {
			return list, nil
		} else if err != nil {
			return list, err
		}
		var v Version
		if err := json.Unmarshal(text, &v); err != nil {
			return list, err
		}
		list = append(list, v)
	}
}

var _ fence.Receiver = (*Receiver)(nil)
