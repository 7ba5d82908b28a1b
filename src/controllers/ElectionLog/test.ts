import test from "ava";
import { QuorumNoticeKind } from "../../decisions/quorum/QuorumNoticeKind.js";
import { StepDownReason } from "../../decisions/quorum/StepDownReason.js";
import { VoteRefusal } from "../../decisions/quorum/VoteRefusal.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { ElectionLog } from "./index.js";

test("rounds are counted and logged, and the latest loss is the reason for want of a leader until there is one", (t) => {
    const lines: string[] = [];
    const log = ElectionLog.create(EventLog.createUnfiltered("control-1", (line) => lines.push(line), () => undefined));
    t.is(log.lossReason, "no election has been lost");
    log.record({ kind: QuorumNoticeKind.RoundStarted, term: 2, isPreVote: true });
    log.record({ kind: QuorumNoticeKind.RoundLost, term: 2, isPreVote: true, granted: ["a"], missing: ["b", "c"] });
    log.record({ kind: QuorumNoticeKind.VoteRefused, term: 2, isPreVote: false, candidate: "b", reason: VoteRefusal.OutdatedLog });
    t.is(log.lossReason, "the pre-vote for term 2 got no vote of b, c");
    t.deepEqual(log.gauges.map(({ read }) => read()), [1, 1]);
    t.deepEqual(lines.map((line) => (JSON.parse(line) as { readonly name: string }).name), ["ElectionStarted", "ElectionLost", "VoteRefused"]);
    log.recordLeadership();
    t.is(log.lossReason, "no election has been lost");
    log.record({ kind: QuorumNoticeKind.SteppedDown, term: 3, reason: StepDownReason.SilentMajority, silent: ["b", "c"] });
    t.is(log.stepDownReason, "silent-majority b c");
});
