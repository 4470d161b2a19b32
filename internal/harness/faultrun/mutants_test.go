package faultrun

import (
	"flag"
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	mutation "kestrelspread/internal/harness/mutant"
)

var (
	runMutants   = flag.Bool("planted", false, "run the mutants, some minutes")
	mutantFilter = flag.String("planted-only", "", "run the mutants alone whose names contain this")
)

// mutant is the program without one of its guards, and the test that must detect it.
type mutant struct {
	point              int // of the operators' fault list
	name               string
	file               string // below internal/node
	original, mutation string
	test               string // "package TestName"; empty: the seeded runs of this package
}

const nodePackages = "kestrelspread/internal/node/"

// mutants lists the guards by the points of the operators' fault list: 1 an isolated machine, 2 one version for two changes, 3 a second
// loss, 4 a member that was absent, 5 an answer to the wrong caller or a duplicate request.
var mutants = []mutant{
	{point: 1, name: "messages of other epochs are taken", file: "chain/messages.go",
		original: "	return epoch == currentEpoch && epoch > 0\n", mutation: "	return currentEpoch > 0\n", test: "chain TestReplicaRejectsOtherEpochs"},
	{point: 1, name: "a proposer does not wedge itself", file: "chain/reconfigure.go",
		original: "		r.wedged = true\n		r.persist(kindWedge", mutation: "		r.persist(kindWedge", test: "chain TestWedgedMemberForwardsNothing"},
	{point: 1, name: "the age of a confirmation counts from the answer", file: "distribution/poll.go",
		original: "d.confirm(poll.sentAt - time.Duration(reply.AgeMs)*time.Millisecond)", mutation: "d.confirm(now)"},
	{point: 1, name: "keys are served whatever the age of the confirmation", file: "control/configlease.go",
		original: "confirmed != 0 && now-confirmed < b.Revoke-revocationMargin", mutation: "confirmed != 0"},
	{point: 1, name: "a confirmation counts for a state that the proxy lacks", file: "distribution/poll.go",
		original: "reply.Confirmed && reply.Index <= d.state.Index()", mutation: "reply.Confirmed", test: "distribution"},
	{point: 1, name: "a head answers reads by itself", file: "chain/commands.go",
		original: "		r.startBarrier(headBarrier{origin: origin, wantsState: true, knownIndex: message.GetKnownIndex()})\n",
		mutation: "		r.reply(origin, nil, r.snapshot())\n"},
	{point: 1, name: "a head rejects changes by itself", file: "chain/commands.go",
		original: "		r.startBarrier(headBarrier{origin: next.origin, rejection: result, rejectedCommand: &next})\n",
		mutation: "		r.reply(next.origin, result, nil)\n"},
	{point: 1, name: "a configuration that was never confirmed is served for good", file: "control/configlease.go",
		original: "confirmed == 0 && now >= b.maxUnconfirmed()", mutation: "now < 0", test: "control TestMayServeNeedsConfirmedConfiguration"},
	{point: 1, name: "no relays", file: "view/paths.go",
		original: "len(d.relays) == 0 ||", mutation: "true ||", test: "chain TestEvenPartitionIsBridgedByRelays"},

	{point: 2, name: "accepted changes are not recorded", file: "config/change.go",
		original: "	s.takenChanges.add(takenChange{digest: change.digest, version: s.document.version, index: s.index})\n", mutation: ""},
	{point: 2, name: "accepted changes are not in snapshots", file: "config/snapshot.go",
		original: "		text = appendBytes(text, fieldTaken, encodeTaken(change))\n", mutation: "		_ = change\n"},
	{point: 2, name: "the version that a change builds on is not looked at", file: "config/change.go",
		original: "request.GetBaseVersion() != s.document.version", mutation: "request.GetBaseVersion() > s.document.version+1000"},
	{point: 2, name: "a new head answers before what it inherited is committed", file: "chain/commands.go",
		original: "	r.head.pendingInherited = r.pending != nil\n", mutation: "	r.head.pendingInherited = false\n"},
	{point: 2, name: "a member takes an entry in the place of the committed one", file: "chain/replication.go",
		original: "	case received.index != r.committed.index+1:\n		return\n", mutation: "	case received.index < r.committed.index:\n		return\n",
		test: "chain TestEntriesWithAGapAreRejected"},

	{point: 3, name: "a short chain acknowledges", file: "view/view.go",
		original: "	return len(v.GetChain()) >= max(1, int(v.GetMinChainLength()))\n", mutation: "	return len(v.GetChain()) >= 1\n",
		test: "chain TestShortChainAnswersNothing"},
	{point: 3, name: "voters are dropped down to one", file: "view/nextvoters.go",
		original: "len(voters)-len(removable) < 2*r.Tolerance+1", mutation: "len(voters)-len(removable) < 1", test: "view TestNextViewFollowsTheRules"},
	{point: 3, name: "who is leaving always leaves the chain", file: "view/nextview.go",
		original: "		if len(others) >= requiredChainLength(len(r.View.GetVoters()), r.Tolerance) {\n			return others\n		}\n		return append(others, r.Self)\n",
		mutation: "		return others\n", test: "chain TestLeavingHeadOfTwoBecomesTail"},
	{point: 3, name: "a promise is sent before it is durable", file: "chain/voting.go",
		original: "	r.persist(kindAcceptor, r.acceptor.Record(), func() { r.sendPromise(from.Address, promise) })\n",
		mutation: "	r.sendPromise(from.Address, promise)\n	r.persist(kindAcceptor, r.acceptor.Record(), nil)\n",
		test:     "chain TestPromiseIsDurableBeforeItIsGiven"},
	{point: 3, name: "an acceptance is sent before it is durable", file: "chain/voting.go",
		original: "	r.persist(kindAcceptor, r.acceptor.Record(), func() { r.sendAccepted(from.Address, accepted) })\n",
		mutation: "	r.sendAccepted(from.Address, accepted)\n	r.persist(kindAcceptor, r.acceptor.Record(), nil)\n",
		test:     "chain TestAcceptanceIsDurableBeforeItIsSent"},
	{point: 3, name: "a joiner counts before it has the head's newest entry", file: "chain/join.go",
		original: "candidate.caughtUp && r.now-candidate.caughtUpAt <= view.FailureTimeout && candidate.durablePosition == r.lastPosition()",
		mutation: "candidate.caughtUp && r.now-candidate.caughtUpAt <= view.FailureTimeout"},
	{point: 3, name: "entries are passed on before they are durable", file: "chain/replication.go",
		original: "	if !r.isActiveMember() || !r.viewDurable || r.pending == nil || !r.pendingDurable {\n",
		mutation: "	if !r.isActiveMember() || !r.viewDurable || r.pending == nil {\n", test: "chain TestSeeds"},

	{point: 4, name: "a joiner acknowledges a state that it could not reach", file: "chain/catchup.go",
		original: "	return r.committed.index >= committed.index\n", mutation: "	return true\n",
		test: "chain TestJoinerRequestsASnapshotWhereEntriesDoNotSuffice"},
	{point: 4, name: "a joiner gets no missing entries", file: "chain/recent.go",
		original: "	return nil, false\n", mutation: "	return nil, true\n"},
	{point: 4, name: "a checkpoint leaves the pending entry out", file: "chain/records.go",
		original: "	if r.pending != nil {\n		records = append(records, encode(kindEntry, r.pending))\n	}\n", mutation: ""},
	{point: 4, name: "a checkpoint leaves the promises out", file: "chain/records.go",
		original: "	if !r.acceptor.IsEmpty() {\n", mutation: "	if false {\n", test: "chain TestCheckpointKeepsEverything"},
	{point: 4, name: "finished transfers take capacity", file: "transfer/incoming.go",
		original: "		if !in.complete {\n			count++\n", mutation: "		count++\n		if !in.complete {\n"},
	{point: 3, name: "leaving: acknowledged in memory alone", file: "registry/broadcast.go",
		original: "	selfHas, addresses := r.persisted(b.message.GetInstanceUpdate().Instances), b.persistedAddresses\n",
		mutation: "	selfHas, addresses := true, r.voterAddresses\n", test: "registry TestLeavingIsAcknowledgedOnceAMajorityHasWritten"},
	{point: 3, name: "leaving: acknowledged without a view", file: "registry/broadcast.go",
		original: "	if len(r.voterAddresses) == 0 {\n		return false\n", mutation: "	if len(r.voterAddresses) == 0 {\n		return true\n",
		test: "registry TestStartedNodeAcknowledgesNoLeaving"},
	{point: 3, name: "leaving: not restored from the disk", file: "registry/persistence.go",
		original: "		rec, _ := r.merge(now, restored, ignoreLiveness)\n", mutation: "		rec := r.records[restored.Id]\n"},
	{point: 3, name: "leaving: other nodes are not told what was restored", file: "registry/persistence.go",
		original: "	if len(r.leavingIDs) == 0 {\n", mutation: "	if now >= 0 {\n",
		test: "registry TestRestoredLeavingIsSentToNodesThatJoin"},
	{point: 4, name: "absent receivers block transfers", file: "transfer/outgoing.go",
		original: "	if now-t.outgoing[slowest].progressAt < stallTimeout {\n		return false\n	}\n", mutation: "	if now >= 0 {\n		return false\n	}\n",
		test: "transfer TestReceiversThatAreGoneHoldNobodyUp"},
	{point: 4, name: "a write without space left requests no checkpoint", file: "journal/journal.go",
		original: "		j.needsCheckpoint.Store(true)\n		return fmt.Errorf(\"%w: append: %d bytes",
		mutation: "		return fmt.Errorf(\"%w: append: %d bytes",
		test:     "journal TestOversizedRecordRequestsCheckpoint"},
	{point: 4, name: "a change over the size limit is accepted", file: "config/change.go",
		original: "size > s.sizeLimit {", mutation: "size < 0 {", test: "config TestChangeOverSizeLimitIsTooLarge"},
	{point: 4, name: "entries with a gap are applied at proxies", file: "distribution/distribution.go",
		original: "	if entry.Index != d.state.Index()+1 {\n		return\n	}\n", mutation: "	if entry.Index <= d.state.Index() {\n		return\n	}\n",
		test: "distribution"},

	{point: 5, name: "an answer is taken for any call", file: "submit/client.go",
		original: "call.message.GetRequest() != reply.GetRequest() || !isAnswer(call.message, reply)", mutation: "!isAnswer(call.message, reply)"},
	{point: 5, name: "calls are numbered alike in each incarnation", file: "submit/client.go",
		original: "lastRequest: options.Random.Uint64()}", mutation: "lastRequest: options.Random.Uint64() % 2}",
		test: "submit TestCallNumbersDifferBetweenIncarnations"},
	{point: 5, name: "the id of a broker's answer is not looked at", file: "forward/upstream/answer.go",
		original: "		return ids[0] == id\n", mutation: "		return true\n", test: "forward"},
	{point: 5, name: "a request that may have run is sent again", file: "routing/retry.go",
		original: "if !outcome.Verdict.MayRetry(req.Idempotent) || req.MayHaveRun() && !req.Idempotent {", mutation: "if false {", test: "routing"},
	{point: 5, name: "a promise is given though the request may have run", file: "routing/retry.go",
		original: "	if req.MayHaveRun() {\n		return Decision{}\n", mutation: "	if false {\n		return Decision{}\n", test: "routing"},
	{point: 5, name: "a connection is kept after a surplus answer", file: "forward/upstream/answer.go",
		original: "if !a.complete || a.closeAfter || conn.desynchronized {", mutation: "if !a.complete || a.closeAfter {", test: "forward"},
	{point: 5, name: "an order is sent after its lease", file: "rollout/leaseholder.go",
		original: "	return !p.known || now < p.leaseEnd && (p.allClaimed || p.claims[id])\n", mutation: "	return false\n", test: "rollout"},
}

// TestMutantsMatchTheSource checks that each guard is found where the list says: the program is renamed and moved more often than the
// mutants are run.
func TestMutantsMatchTheSource(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			m.mutated().RequireInSource(t)
		})
	}
}

// TestPlantedMutantsAreDetected removes each guard and checks that its test, or the seeded runs, detect that.
func TestPlantedMutantsAreDetected(t *testing.T) {
	if !*runMutants {
		t.Skip("by hand, with -args -planted: it builds the program some forty times")
	}
	found, played := 0, 0
	for _, m := range mutants {
		if !strings.Contains(m.name, *mutantFilter) {
			continue
		}
		played++
		output, failed := runMutant(t, m)
		if failed {
			found++
			t.Logf("point %d: %s: found by %s: %s", m.point, m.name, m.detectedBy(), firstFailure(output))
			continue
		}
		t.Errorf("point %d: %s: not found by %s:\n%s", m.point, m.name, m.detectedBy(), output)
	}
	fmt.Printf("%d of %d found\n", found, played)
}

// detectedBy names what must detect the mutant.
func (m *mutant) detectedBy() string {
	if m.test == "" {
		return "the fault runs"
	}
	return m.test
}

// mutated is the change of the source.
func (m *mutant) mutated() *mutation.Mutation {
	return &mutation.Mutation{File: m.file, Original: m.original, Mutated: m.mutation}
}

// runMutant runs the test on the program without the guard. It fails t if the mutant does not build; failed reports that the test
// detected it.
func runMutant(t *testing.T, m mutant) (output string, failed bool) {
	t.Helper()
	arguments := []string{"test", "-vet=off", "-overlay", m.mutated().Overlay(t)}
	name, run, _ := strings.Cut(m.test, " ")
	if m.test == "" {
		arguments = append(arguments, "kestrelspread/internal/harness/faultrun", "-run", "TestSeeds", "-args", "-seeds", "400", "-only-first")
	} else {
		arguments = append(arguments, "-run", run, nodePackages+name)
		if name == "forward" {
			arguments = append(arguments, nodePackages+name+"/...")
		}
	}
	result, err := exec.Command("go", arguments...).CombinedOutput()
	output = string(result)
	assert.Assert(t, !strings.Contains(output, "[build failed]") && !strings.Contains(output, "[setup failed]"), "%s:\n%s", m.name, output)
	return output, err != nil
}

// firstFailure is the line that says what was detected.
func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
