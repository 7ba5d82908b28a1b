import { QuorumNotice } from "../../decisions/quorum/QuorumNotice.js";
import { QuorumNoticeKind } from "../../decisions/quorum/QuorumNoticeKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ThrottledLog } from "../../logs/ThrottledLog/index.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { assertNever } from "../../model/assertNever/index.js";

/** Logs and counts the elections of a control VM, so that an operator sees why there is no leader. */
export class ElectionLog {
    private readonly throttledLog: ThrottledLog;
    private startedCount = 0;
    private lostCount = 0;
    private latestLoss = "";
    private latestStepDown = "";

    private constructor(events: EventLog) {
        this.throttledLog = ThrottledLog.create(events);
    }

    /**
     * Creates a log without elections.
     *
     * @param events - Event log that receives the lines.
     */
    static create(events: EventLog): ElectionLog {
        return new ElectionLog(events);
    }

    /** What the latest election lacked. */
    get lossReason(): string {
        return this.latestLoss === "" ? "no election has been lost" : this.latestLoss;
    }

    /** Why this VM has stopped leading, with the voters that were silent. */
    get stepDownReason(): string {
        return this.latestStepDown;
    }

    /** Gauges of the elections. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "election_rounds", help: "Rounds of pre-votes and elections that this VM has started", read: () => this.startedCount },
            { name: "election_rounds_lost", help: "Rounds of pre-votes and elections that ended without a majority", read: () => this.lostCount },
        ];
    }

    /** Records that this VM leads. */
    recordLeadership(): void {
        this.latestLoss = "";
    }

    /** Records a step of an election. */
    record(notice: QuorumNotice): void {
        const { term } = notice;
        switch (notice.kind) {
            case QuorumNoticeKind.RoundStarted:
                this.startedCount += 1;
                this.throttledLog.record(EventNumber.ElectionStarted, { term, isPreVote: notice.isPreVote });
                return;
            case QuorumNoticeKind.RoundLost: {
                const { isPreVote, granted, missing } = notice;
                this.lostCount += 1;
                this.latestLoss = `the ${isPreVote ? "pre-vote" : "election"} for term ${term} got no vote of ${missing.join(", ")}`;
                this.throttledLog.record(EventNumber.ElectionLost, { term, isPreVote, granted, missing });
                return;
            }
            case QuorumNoticeKind.VoteRefused: {
                const { isPreVote, candidate, reason } = notice;
                this.throttledLog.record(EventNumber.VoteRefused, { term, isPreVote, candidate, reason });
                return;
            }
            case QuorumNoticeKind.SteppedDown:
                this.latestStepDown = [notice.reason, ...notice.silent].join(" ");
                return;
            default:
                assertNever(notice);
        }
    }
}
