package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
)

// Messages that wait go in one call, in order; what is cut short is rejected and does no harm.
func TestMessagesArriveBatchedAndInOrder(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var lock sync.Mutex
	var got []uint64
	stop := Serve(l, Handlers{Raft: func(group uint64, m raftpb.Message) {
		lock.Lock()
		defer lock.Unlock()
		if group == 7 {
			got = append(got, m.Index)
		}
	}, SubmitCommand: func(context.Context, lease.Command) (CommandResult, error) {
		return CommandResult{LeaderName: "other", Reason: "this voter does not lead"}, nil
	}})
	defer stop()
	p, err := Dial(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	ctx, end := context.WithTimeout(context.Background(), 20*time.Second)
	defer end()
	var list [][]byte
	for i := range uint64(300) {
		b, err := EncodeMessage(&raftpb.Message{Type: raftpb.MsgApp, Index: i, Entries: []raftpb.Entry{{Data: make([]byte, i)}}})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, b)
	}
	if err := p.SendRaft(ctx, 7, list); err != nil {
		t.Fatal(err)
	}
	if err := p.SendRaft(ctx, 8, list); err != nil { // another group's: the reader drops them
		t.Fatal(err)
	}
	if len(got) != 300 {
		t.Fatal(len(got))
	}
	for i, n := range got {
		if n != uint64(i) {
			t.Fatal("order", i, n)
		}
	}
	for _, bad := range [][]byte{{0xff}, {5, 1}, {2, 0xff, 0xff}} {
		if err := p.SendRaft(ctx, 7, [][]byte{bad}); err == nil {
			t.Errorf("%v was accepted", bad)
		}
	}
	// A command follows the named leader, and where no voter leads that is an error, not retried for ever.
	d, err := SubmitToLeader(ctx, map[string]*Peer{"a": p}, "", lease.Command{Kind: lease.CommandDefine, Role: "d"})
	if err == nil || d.OK {
		t.Error(d, err)
	}
}
