import { VoterAssessment } from "../../decisions/quorum/VoterAssessment.js";
import { VoterReplacement } from "../../decisions/quorum/VoterReplacement.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";

/** What an operator sees of the voters. */
interface VoterStatus {
    readonly toleratedLosses: number;
    readonly replacements: readonly VoterReplacement[];
}

/** Logs on the leader how many losses the voters bear and which of them wait to be replaced. */
export class VoterLog {
    private latest: VoterStatus | undefined;
    private latestLine = "";

    private constructor(private readonly events: EventLog) {}

    /**
     * Creates a log that knows no voters yet.
     *
     * @param events - Event log that receives the lines.
     */
    static create(events: EventLog): VoterLog {
        return new VoterLog(events);
    }

    /** Gauges of the voters; 0 on a VM that does not lead. */
    get gauges(): readonly GaugeSource[] {
        return [
            {
                name: "voter_losses_tolerated",
                help: "On the leader, voters that may be lost now with a majority left",
                read: () => this.latest?.toleratedLosses ?? 0,
            },
            { name: "voters_to_replace", help: "On the leader, voters that do not reply", read: () => this.latest?.replacements.length ?? 0 },
        ];
    }

    /** What was recorded last; undefined on a VM that does not lead. */
    get status(): VoterStatus | undefined {
        return this.latest;
    }

    /** Records the state of the voters; writes a line if it has changed. */
    record({ toleratedLosses, voters }: VoterAssessment, replacements: readonly VoterReplacement[]): void {
        this.latest = { toleratedLosses, replacements };
        const fields = {
            toleratedLosses,
            voters: voters.map(({ identity }) => identity),
            replacing: replacements.map(({ identity, state, waitsFor }) => `${identity} ${state}, waits for ${waitsFor}`),
        };
        const line = JSON.stringify(fields);
        if (line !== this.latestLine) {
            this.latestLine = line;
            this.events.record(EventNumber.VoterLossesTolerated, fields);
        }
    }

    /** Forgets the voters, as this VM does not lead. */
    clear(): void {
        this.latest = undefined;
        this.latestLine = "";
    }
}
