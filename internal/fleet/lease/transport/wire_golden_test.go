package transport

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
)

const (
	goldenCalls   = "golden/calls.txt"
	goldenReplies = "golden/replies.txt"
)

// TestCallsKeepTheirBytes freezes methods and messages as they leave a peer.
func TestCallsKeepTheirBytes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var text strings.Builder
	server := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		method, _ := grpc.MethodFromServerStream(stream)
		message := &wrapperspb.BytesValue{}
		if err := stream.RecvMsg(message); err != nil {
			return err
		}
		fmt.Fprintf(&text, "%s %q\n", method, message.Value)
		return stream.SendMsg(wrapperspb.Bytes([]byte("{}")))
	}))
	go server.Serve(listener)
	defer server.Stop()
	peer, err := Dial(listener.Addr().String())
	assert.NilError(t, err)
	defer peer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	encoded, err := EncodeMessage(&raftpb.Message{Type: raftpb.MsgApp, To: 8, From: 7, Term: 3, Index: 4, Entries: []raftpb.Entry{{Term: 3, Index: 5, Data: []byte("command")}}})
	assert.NilError(t, err)
	assert.NilError(t, peer.SendRaft(ctx, 0xabcdef, [][]byte{encoded, encoded}))
	_, err = peer.Hello(ctx, membership.Hello{Name: "v0", VoterID: 7})
	assert.NilError(t, err)
	_, err = peer.Hello(ctx, membership.Hello{Name: "v0", VoterID: 7, GroupID: 9, Founders: map[uint64]string{7: "v0"}})
	assert.NilError(t, err)
	_, err = peer.RequestLeases(ctx, replica.Request{Instance: "a.1", SentAt: 12.5})
	assert.NilError(t, err)
	_, err = peer.RequestLeases(ctx, replica.Request{
		Instance:      "a.1",
		SentAt:        12.5,
		HeldTokens:    map[string]uint64{"close": 3},
		EligibleRoles: []string{"close", "return"},
		WatchedRoles:  []string{"return"},
	})
	assert.NilError(t, err)
	_, err = peer.SubmitCommand(ctx, lease.Command{Kind: lease.CommandRevoke, Role: "close", Token: 3, Target: "b.1"})
	assert.NilError(t, err)
	_, err = peer.Status(ctx)
	assert.NilError(t, err)
	golden.Assert(t, text.String(), goldenCalls)
}

// goldenRole has all fields set.
func goldenRole() lease.Role {
	return lease.Role{
		Name:           "close",
		Holder:         "a.1",
		Token:          4,
		NextHolder:     "b.1",
		Progress:       []byte("data"),
		ProgressToken:  3,
		ProgressIndex:  17,
		ProgressSeq:    5,
		HolderFailures: 2,
		Revoked:        true,
	}
}

// goldenResponse has all fields set.
func goldenResponse() Response {
	response := Response{LeaderName: "v1"}
	response.OK = true
	response.SentAt = 12.5
	response.LeaderID = 8
	response.Grants = []replica.Grant{{Role: "close", Token: 4, ReleaseRequested: true, Progress: []byte("data")}}
	response.LostRoles = map[string]uint64{"return": 9}
	response.ProgressReports = []replica.ProgressReport{{Role: "return", Token: 9, Progress: []byte("data"), AgeMs: 33.5}}
	return response
}

// goldenStatus has all fields set.
func goldenStatus() Status {
	return Status{
		Name:          "v0",
		VoterID:       7,
		GroupID:       9,
		Leader:        "v1",
		IsLeader:      true,
		Confirmed:     true,
		Term:          3,
		AppliedIndex:  17,
		NextToken:     5,
		Voters:        []VoterStatus{{Name: "v0", ID: 7, Learner: true, Leaving: true, MatchIndex: 16, SinceContactMs: -1}},
		Roles:         []RoleStatus{{Role: goldenRole(), LeaseLeftMs: 250}},
		History:       []lease.Event{{Index: 17, Role: "close", Kind: "granted", Instance: "a.1", Token: 4}},
		RequestAgesMs: map[string]float64{"a.1": 12.5},
		DiskFault:     "no space",
		SyncCount:     40,
		MessagesSent:  99,
	}
}

// TestRepliesKeepTheirBytes freezes the messages that voters answer with, and that operators read
// as JSON.
func TestRepliesKeepTheirBytes(t *testing.T) {
	var text strings.Builder
	for _, reply := range []any{
		Response{},
		goldenResponse(),
		CommandResult{},
		CommandResult{OK: true, OutcomeKnown: true, Reason: "why", Role: goldenRole(), LeaderName: "v1"},
		Status{},
		goldenStatus(),
	} {
		encoded, err := json.Marshal(reply)
		assert.NilError(t, err)
		fmt.Fprintf(&text, "%s\n", encoded)
	}
	golden.Assert(t, text.String(), goldenReplies)
}
