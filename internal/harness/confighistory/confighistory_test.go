package confighistory

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// made is a change that was answered.
func made(id string, base, version uint64, calledAt, returnedAt time.Duration, status int) Change {
	return Change{OrderID: id, BaseVersion: base, Version: version, CalledAt: calledAt, ReturnedAt: returnedAt, Status: status}
}

func TestHistories(t *testing.T) {
	const conflict = http.StatusPreconditionFailed
	first := made("a", 0, 1, 0, 10, http.StatusOK)
	for _, c := range []struct {
		name    string
		changes []Change
		reads   []Read
		want    Verdict
	}{
		{"empty", nil, nil, Linearizable},
		{"a change is read", []Change{first}, []Read{{Document{1, "a"}, 11, 12}}, Linearizable},
		{"a change is read before its answer", []Change{first}, []Read{{Document{1, "a"}, 5, 6}}, Linearizable},
		{"an older state is read", []Change{first}, []Read{{Document{}, 11, 12}}, NotLinearizable},
		{"a lost change", []Change{first, made("b", 1, 2, 11, 12, http.StatusOK)}, []Read{{Document{1, "a"}, 13, 14}}, NotLinearizable},
		{"two changes on one version", []Change{first, made("b", 1, 2, 11, 15, http.StatusOK), made("c", 1, 3, 11, 15, http.StatusOK)}, nil, NotLinearizable},
		{"one of two on a version", []Change{first, made("b", 1, 2, 11, 15, http.StatusOK), made("c", 1, 3, 11, 15, conflict)}, nil, Linearizable},
		{"a conflict with nothing", []Change{first, made("b", 1, 2, 11, 12, conflict)}, nil, NotLinearizable},
		{"without an answer, taken", []Change{first, made("b", 1, 2, 11, 0, 0)}, []Read{{Document{2, "b"}, 500, 501}}, Linearizable},
		{"without an answer, not taken", []Change{first, made("b", 1, 2, 11, 0, 0)}, []Read{{Document{1, "a"}, 500, 501}}, Linearizable},
		{"without an answer, taken and lost", []Change{first, made("b", 1, 2, 11, 0, 0)},
			[]Read{{Document{2, "b"}, 500, 501}, {Document{1, "a"}, 502, 503}}, NotLinearizable},
		{"rejected and read", []Change{first, made("b", 1, 2, 11, 12, http.StatusBadRequest)}, []Read{{Document{2, "b"}, 13, 14}}, NotLinearizable},
	} {
		history := &History{}
		for _, change := range c.changes {
			history.AddChange(change)
		}
		for _, read := range c.reads {
			history.AddRead(read)
		}
		assert.Equal(t, history.Len(), len(c.changes)+len(c.reads))
		assert.Equal(t, history.Check(time.Minute), c.want, c.name)
	}
}
