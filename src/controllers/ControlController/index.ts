import { Packr, Unpackr } from "msgpackr";
import { AcceptedChange } from "../../decisions/configuration/AcceptedChange.js";
import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { ApplyDecisionKind } from "../../decisions/configuration/ApplyDecisionKind.js";
import { ApplyRequest } from "../../decisions/configuration/ApplyRequest.js";
import { Roster } from "../../decisions/claims/Roster.js";
import { PartKind } from "../../decisions/configuration/PartKind.js";
import { decideApply } from "../../decisions/configuration/decideApply/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { Disk } from "../../storage/Disk.js";
import { RecordLog } from "../../storage/RecordLog/index.js";
import { ConfigurationController } from "../ConfigurationController/index.js";

const LOG_NAME = "configuration.log";
const SINGLE_CONTROL_TERM = 1;
const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** Accepts manifests: a change is accepted once it is synced in the data folder, and only then put in force. */
export class ControlController {
    private readonly versionsByChangeId = new Map<string, number>();
    private queue: Promise<unknown> = Promise.resolve();

    private constructor(
        private readonly log: RecordLog,
        private readonly configuration: ConfigurationController,
        private readonly events: EventLog,
    ) {}

    /**
     * Opens the data folder and puts the accepted configuration in force.
     *
     * @param disk - Data folder.
     * @param configuration - Configuration of this process.
     * @param events - Log.
     * @throws FleetError if the data folder cannot be used or is corrupt.
     */
    static async create(disk: Disk, configuration: ConfigurationController, events: EventLog): Promise<ControlController> {
        const log = await RecordLog.create(disk, LOG_NAME);
        if (log.droppedBytes > 0) {
            events.record(EventNumber.LogTailDropped, { file: LOG_NAME, droppedBytes: log.droppedBytes });
        }
        const control = new ControlController(log, configuration, events);
        const changes = log.recovered.map((payload) => unpackr.unpack(payload) as AcceptedChange);
        changes.forEach((change) => control.versionsByChangeId.set(change.changeId, change.position.manifestVersion));
        configuration.installChanges(changes);
        return control;
    }

    /** Decides an operator's request; requests are decided one after the other. */
    apply(request: ApplyRequest): Promise<ApplyDecision> {
        const decision = this.queue.then(() => this.decide(request));
        this.queue = decision.catch(() => undefined);
        return decision;
    }

    /** Puts a roster of witnesses in force, unless another one has been put in force meanwhile. */
    setRoster(roster: Roster): Promise<void> {
        const done = this.queue.then(async () => {
            const { position, roster: current } = this.configuration.view;
            if (roster.epoch === (current?.epoch ?? 0) + 1) {
                await this.accept({
                    position: { ...position, term: SINGLE_CONTROL_TERM, version: position.version + 1 },
                    changeId: `roster-${roster.epoch}`,
                    delta: { set: [{ kind: PartKind.Roster, value: roster }], removed: [] },
                });
            }
        });
        this.queue = done.catch(() => undefined);
        return done;
    }

    private async accept(change: AcceptedChange): Promise<void> {
        await this.log.append([packr.pack(change)]);
        const { term, version, manifestVersion } = change.position;
        this.versionsByChangeId.set(change.changeId, manifestVersion);
        this.events.record(EventNumber.ConfigurationAccepted, { term, version, manifestVersion, changeId: change.changeId });
        this.configuration.installChanges([change]);
    }

    private async decide(request: ApplyRequest): Promise<ApplyDecision> {
        const decision = decideApply(this.configuration.view, this.versionsByChangeId, request, SINGLE_CONTROL_TERM);
        if (decision.kind === ApplyDecisionKind.Accept) {
            await this.accept(decision.change);
        }
        if (decision.kind === ApplyDecisionKind.Conflict) {
            const { version, winner, differing } = decision;
            this.events.record(EventNumber.ConfigurationRefused, { version, winner, differing, changeId: request.changeId });
        }
        return decision;
    }
}
