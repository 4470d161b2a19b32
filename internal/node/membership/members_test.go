package membership_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

func sameText(a, b *nodepb.Envelope) bool { return proto.Equal(a, b) }

func TestMembersAreSortedAndIncludeSelf(t *testing.T) {
	w := newWorld(t, 1)
	w.startConverged(10)
	for _, node := range w.alive() {
		ids := make([]string, 0, 10)
		for _, member := range node.list.Members() {
			ids = append(ids, member.NodeId)
		}
		assert.Assert(t, slices.IsSorted(ids))
		assert.Assert(t, slices.Contains(ids, node.id))
	}
}

func TestReturnedMembersAreImmutable(t *testing.T) {
	w := newWorld(t, 1)
	w.startConverged(10)
	snapshot := w.node(0).list.Members()
	before := make([]*nodepb.Member, 0, len(snapshot))
	for _, member := range snapshot {
		before = append(before, proto.CloneOf(member))
	}
	w.node(5).kill()
	w.expect(deathBound, "the death", w.converged())
	assert.Equal(t, len(snapshot), 10)
	for i := range snapshot {
		assert.Assert(t, proto.Equal(snapshot[i], before[i]))
	}
}

func TestRevisionIgnoresSuspicions(t *testing.T) {
	w := newWorld(t, 1)
	w.startConverged(10)
	observer, victim := w.node(0), w.node(5)
	calm := observer.list.Revision()
	assert.Assert(t, calm > 0)
	w.run(time.Minute)
	assert.Equal(t, observer.list.Revision(), calm)

	victim.freeze()
	w.expect(deathBound, "the suspicion", func() bool { return observer.list.Suspected(victim.id) })
	assert.Equal(t, observer.list.Revision(), calm)
	suspected := slices.ContainsFunc(observer.list.Members(), func(m *nodepb.Member) bool {
		return m.NodeId == victim.id && m.State == nodepb.MemberState_SUSPECT
	})
	assert.Assert(t, suspected)
	victim.thaw()
	w.expect(deathBound, "the refutation", func() bool { return !observer.list.Suspected(victim.id) })
	assert.Equal(t, observer.list.Revision(), calm)

	victim.kill()
	w.expect(deathBound, "the death", w.converged())
	assert.Equal(t, observer.list.Revision(), calm+1)
	assert.Assert(t, !observer.list.Suspected(victim.id))
}

func TestUpdateSelfReachesAllMembers(t *testing.T) {
	w := newWorld(t, 1)
	w.startConverged(60)
	changed := w.node(9)
	before := w.node(30).list.Revision()
	changed.carryOut(changed.list.UpdateSelf(changed.clock(), func(self *nodepb.Member) {
		self.DiskId = "disk-9"
		self.NodeId = "not mine to change"
	}))
	changed.arm()
	w.expect(time.Second, "the disk id", func() bool {
		return !slices.ContainsFunc(w.alive(), func(node *virtualNode) bool {
			return !slices.ContainsFunc(node.list.Members(), func(m *nodepb.Member) bool {
				return m.NodeId == changed.id && m.DiskId == "disk-9"
			})
		})
	})
	assert.Equal(t, w.node(30).list.Revision(), before+1)
	assert.Assert(t, agree(w.alive()))
}
