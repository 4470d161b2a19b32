package faultrun

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	planted     = flag.Bool("planted", false, "play the planted defects, some minutes")
	plantedOnly = flag.String("planted-only", "", "play those defects alone whose names hold this")
)

// defect is a guard that is taken out of the program, and the test that must find it.
type defect struct {
	point    int // of the operators' letter
	name     string
	file     string // below internal/node
	old, new string
	test     string // "package TestName"; empty: the fault runs
}

const nodePackages = "kestrelspread/internal/node/"

// defects lists the guards by the points of the operators' letter: 1 a machine that is cut off, 2 one number for two changes, 3 a second
// loss, 4 a member that was away, 5 an answer to the wrong caller or a second send.
var defects = []defect{
	{point: 1, name: "messages of other epochs are taken", file: "chain/messages.go",
		old: "	return epoch == currentEpoch && epoch > 0\n", new: "	return currentEpoch > 0\n", test: "chain TestReplicaRejectsOtherEpochs"},
	{point: 1, name: "a proposer does not wedge itself", file: "chain/reconfigure.go",
		old: "		r.wedged = true\n		r.persist(kindWedge", new: "		r.persist(kindWedge", test: "chain TestWedgedMemberForwardsNothing"},
	{point: 1, name: "the age of a confirmation counts from the answer", file: "distribution/poll.go",
		old: "d.confirm(poll.sentAt - time.Duration(reply.AgeMs)*time.Millisecond)", new: "d.confirm(now)"},
	{point: 1, name: "keys are served whatever the age of the confirmation", file: "control/configlease.go",
		old: "confirmed != 0 && now-confirmed < b.Revoke-revocationMargin", new: "confirmed != 0"},
	{point: 1, name: "a confirmation counts for a state that is not held", file: "distribution/poll.go",
		old: "reply.Confirmed && reply.Index <= d.state.Index()", new: "reply.Confirmed", test: "distribution"},
	{point: 1, name: "a head answers reads by itself", file: "chain/commands.go",
		old: "		r.startBarrier(headBarrier{origin: origin, wantsState: true, knownIndex: message.GetKnownIndex()})\n",
		new: "		r.reply(origin, nil, r.snapshot())\n"},
	{point: 1, name: "a head turns changes down by itself", file: "chain/commands.go",
		old: "		r.startBarrier(headBarrier{origin: next.origin, rejection: result, rejectedCommand: &next})\n",
		new: "		r.reply(next.origin, result, nil)\n"},
	{point: 1, name: "a configuration that was never confirmed is served for good", file: "control/configlease.go",
		old: "confirmed == 0 && now >= b.maxUnconfirmed()", new: "now < 0", test: "control TestMayServeNeedsConfirmedConfiguration"},
	{point: 1, name: "no relays", file: "view/paths.go",
		old: "len(d.relays) == 0 ||", new: "true ||", test: "chain TestEvenPartitionIsBridgedByRelays"},

	{point: 2, name: "changes taken are not remembered", file: "config/change.go",
		old: "	s.takenChanges.add(takenChange{digest: change.digest, version: s.document.version, index: s.index})\n", new: ""},
	{point: 2, name: "changes taken are not in snapshots", file: "config/snapshot.go",
		old: "		text = appendBytes(text, fieldTaken, encodeTaken(change))\n", new: "		_ = change\n"},
	{point: 2, name: "the version that a change builds on is not looked at", file: "config/change.go",
		old: "request.GetBaseVersion() != s.document.version", new: "request.GetBaseVersion() > s.document.version+1000"},
	{point: 2, name: "a new head answers before what it inherited is committed", file: "chain/commands.go",
		old: "	r.head.pendingInherited = r.pending != nil\n", new: "	r.head.pendingInherited = false\n"},
	{point: 2, name: "a member takes an entry in the place of the committed one", file: "chain/replication.go",
		old: "	case received.index != r.committed.index+1:\n		return\n", new: "	case received.index < r.committed.index:\n		return\n",
		test: "chain TestEntriesWithAGapAreRejected"},

	{point: 3, name: "a short chain acknowledges", file: "view/view.go",
		old: "	return len(v.GetChain()) >= max(1, int(v.GetMinChainLength()))\n", new: "	return len(v.GetChain()) >= 1\n",
		test: "chain TestShortChainAnswersNothing"},
	{point: 3, name: "voters are dropped down to one", file: "view/nextvoters.go",
		old: "len(voters)-len(removable) < 2*r.Tolerance+1", new: "len(voters)-len(removable) < 1", test: "view TestNextViewFollowsTheRules"},
	{point: 3, name: "who is leaving always leaves the chain", file: "view/nextview.go",
		old: "		if len(others) >= requiredChainLength(len(r.View.GetVoters()), r.Tolerance) {\n			return others\n		}\n		return append(others, r.Self)\n",
		new: "		return others\n", test: "chain TestLeavingHeadOfTwoBecomesTail"},
	{point: 3, name: "a promise is given before it is durable", file: "chain/acceptor.go",
		old:  "	r.persist(kindAcceptor, r.acceptor.Record(), func() { r.sendPromise(from.Address, promise) })\n",
		new:  "	r.sendPromise(from.Address, promise)\n	r.persist(kindAcceptor, r.acceptor.Record(), nil)\n",
		test: "chain TestPromiseIsDurableBeforeItIsGiven"},
	{point: 3, name: "an acceptance is told before it is durable", file: "chain/acceptor.go",
		old:  "	r.persist(kindAcceptor, r.acceptor.Record(), func() { r.sendAccepted(from.Address, accepted) })\n",
		new:  "	r.sendAccepted(from.Address, accepted)\n	r.persist(kindAcceptor, r.acceptor.Record(), nil)\n",
		test: "chain TestAcceptanceIsDurableBeforeItIsSent"},
	{point: 3, name: "a joiner counts before it has the head's newest entry", file: "chain/join.go",
		old: "candidate.caughtUp && r.now-candidate.caughtUpAt <= view.FailureTimeout && candidate.durablePosition == r.lastPosition()",
		new: "candidate.caughtUp && r.now-candidate.caughtUpAt <= view.FailureTimeout"},
	{point: 3, name: "entries are passed on before they are durable", file: "chain/replication.go",
		old: "	if !r.isActiveMember() || !r.viewDurable || r.pending == nil || !r.pendingDurable {\n",
		new: "	if !r.isActiveMember() || !r.viewDurable || r.pending == nil {\n", test: "chain TestSeeds"},

	{point: 4, name: "a joiner never asks for the whole state", file: "chain/catchup.go",
		old: "		r.joining.needsSnapshot = true\n", new: "",
		test: "chain TestJoinerRequestsASnapshotWhereEntriesDoNotSuffice"},
	{point: 4, name: "a joiner is told that it lacks nothing", file: "chain/recent.go",
		old: "	return nil, false\n", new: "	return nil, true\n"},
	{point: 4, name: "a checkpoint leaves the pending entry out", file: "chain/records.go",
		old: "	if r.pending != nil {\n		records = append(records, encode(kindEntry, r.pending))\n	}\n", new: ""},
	{point: 4, name: "a checkpoint leaves the promises out", file: "chain/records.go",
		old: "	if !r.acceptor.Blank() {\n", new: "	if false {\n", test: "chain TestCheckpointKeepsEverything"},
	{point: 4, name: "transfers that are over take room", file: "transfer/incoming.go",
		old: "		if !in.complete {\n			count++\n", new: "		count++\n		if !in.complete {\n"},
	{point: 4, name: "receivers that are gone hold up transfers", file: "transfer/outgoing.go",
		old: "	if now-t.outgoing[slowest].progressAt < stallTimeout {\n		return false\n	}\n", new: "	if now >= 0 {\n		return false\n	}\n",
		test: "transfer TestReceiversThatAreGoneHoldNobodyUp"},
	{point: 4, name: "a write that found no room asks for no checkpoint", file: "journal/journal.go",
		old:  "		j.needsCheckpoint.Store(true)\n		return Full.New",
		new:  "		return Full.New",
		test: "journal TestARecordThatDoesNotFitAsksForACheckpoint"},
	{point: 4, name: "what machines do not hold is taken", file: "config/change.go",
		old: "size > s.sizeLimit {", new: "size < 0 {", test: "config TestChangeOverSizeLimitIsTooLarge"},
	{point: 4, name: "entries with a gap are applied at proxies", file: "distribution/distribution.go",
		old: "	if entry.Index != d.state.Index()+1 {\n		return\n	}\n", new: "	if entry.Index <= d.state.Index() {\n		return\n	}\n",
		test: "distribution"},

	{point: 5, name: "an answer is taken for any call", file: "submit/client.go",
		old: "call.message.GetRequest() != reply.GetRequest() || !isAnswer(call.message, reply)", new: "!isAnswer(call.message, reply)"},
	{point: 5, name: "calls are numbered alike in each life", file: "submit/client.go",
		old: "lastRequest: options.Random.Uint64()}", new: "lastRequest: options.Random.Uint64() % 2}"},
	{point: 5, name: "the id of a broker's answer is not looked at", file: "forward/upstream/answer.go",
		old: "		return ids[0] == id\n", new: "		return true\n", test: "forward"},
	{point: 5, name: "a request that may have run is sent again", file: "routing/retry.go",
		old: "if !outcome.Verdict.MayRepeat(req.idempotent) || req.mayHaveRun() && !req.idempotent {", new: "if false {", test: "routing"},
	{point: 5, name: "a promise is given though the request may have run", file: "routing/retry.go",
		old: "	if req.mayHaveRun() {\n		return Decision{}\n", new: "	if false {\n		return Decision{}\n", test: "routing"},
	{point: 5, name: "a connection is kept after a surplus answer", file: "forward/upstream/answer.go",
		old: "if !a.complete || a.closeAfter || conn.desynchronized {", new: "if !a.complete || a.closeAfter {", test: "forward"},
	{point: 5, name: "an order is sent after its lease", file: "rollout/leaseholder.go",
		old: "	return !p.known || now < p.leaseEnd && (p.allClaimed || p.claims[id])\n", new: "	return false\n", test: "rollout"},
}

// TestGuardsStandInTheProgram holds that each guard is found where the list says, as the program is renamed and moved more often
// than the defects are planted.
func TestGuardsStandInTheProgram(t *testing.T) {
	for _, d := range defects {
		t.Run(d.name, func(t *testing.T) {
			_, text := d.source(t)
			assert.Assert(t, strings.Contains(text, d.old), "%s lacks: %s", d.file, d.old)
		})
	}
}

// TestPlantedDefects takes out each guard and holds that its test, or the fault runs, find it.
func TestPlantedDefects(t *testing.T) {
	if !*planted {
		t.Skip("by hand, with -args -planted: it builds the program some forty times")
	}
	found, played := 0, 0
	for _, d := range defects {
		if !strings.Contains(d.name, *plantedOnly) {
			continue
		}
		played++
		output, failed := playDefect(t, d)
		if failed {
			found++
			t.Logf("point %d: %s: found by %s: %s", d.point, d.name, d.finder(), firstBreach(output))
			continue
		}
		t.Errorf("point %d: %s: not found by %s:\n%s", d.point, d.name, d.finder(), output)
	}
	fmt.Printf("%d of %d found\n", found, played)
}

func (d *defect) finder() string {
	if d.test == "" {
		return "the fault runs"
	}
	return d.test
}

// source is the path and the text of the file that holds the guard.
func (d *defect) source(t *testing.T) (path, text string) {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("../../node", d.file))
	assert.NilError(t, err)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	return path, string(content)
}

// playDefect runs the test on the program without the guard. failed: the test found it, and the program could be built.
func playDefect(t *testing.T, d defect) (output string, failed bool) {
	t.Helper()
	path, text := d.source(t)
	assert.Assert(t, strings.Contains(text, d.old), "%s: the guard has moved", d.name)
	dir := t.TempDir()
	without := filepath.Join(dir, filepath.Base(path))
	assert.NilError(t, os.WriteFile(without, []byte(strings.ReplaceAll(text, d.old, d.new)), 0o600))
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: without}})
	assert.NilError(t, err)
	overlayPath := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(overlayPath, overlay, 0o600))

	arguments := []string{"test", "-vet=off", "-overlay", overlayPath}
	name, run, _ := strings.Cut(d.test, " ")
	if d.test == "" {
		arguments = append(arguments, "kestrelspread/internal/rig/faultrun", "-run", "TestSeeds", "-args", "-seeds", "400", "-only-first")
	} else {
		arguments = append(arguments, "-run", run, nodePackages+name)
		if name == "forward" {
			arguments = append(arguments, nodePackages+name+"/...")
		}
	}
	result, err := exec.Command("go", arguments...).CombinedOutput()
	output = string(result)
	assert.Assert(t, !strings.Contains(output, "[build failed]") && !strings.Contains(output, "[setup failed]"), "%s:\n%s", d.name, output)
	return output, err != nil
}

// firstBreach is the line that says what was found.
func firstBreach(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
