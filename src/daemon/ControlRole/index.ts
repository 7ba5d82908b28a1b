import { ConfigurationController } from "../../controllers/ConfigurationController/index.js";
import { ControlController } from "../../controllers/ControlController/index.js";
import { MembershipController } from "../../controllers/MembershipController/index.js";
import { RosterController } from "../../controllers/RosterController/index.js";
import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { ApplyRequest } from "../../decisions/configuration/ApplyRequest.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { LinkController } from "../../links/LinkController/index.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { FleetError } from "../../model/FleetError.js";
import { MemberRecord } from "../../model/MemberRecord.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { ControlStatus } from "../../operators/ControlStatus.js";
import { FolderDisk } from "../../storage/FolderDisk/index.js";

const APPLY_TIMEOUT_MS = 8_000;

/** The control role of a process: takes part in the quorum, and passes apply requests on to the leader. */
export class ControlRole {
    private membership: MembershipController | undefined;
    private links: LinkController | undefined;
    private roster: RosterController | undefined;

    private constructor(private readonly control: ControlController, private readonly configuration: ConfigurationController) {}

    /**
     * Starts the role on a data folder.
     *
     * @param dataFolder - Path of the data folder.
     * @param vm - Name of the VM.
     * @param configuration - Configuration of this process.
     * @param events - Log.
     * @throws FleetError if the data folder cannot be used or is corrupt.
     */
    static async create(dataFolder: string, vm: string, configuration: ConfigurationController, events: EventLog): Promise<ControlRole> {
        const disk = await FolderDisk.create(dataFolder);
        const started: { role?: ControlRole } = {};
        const control = await ControlController.create(
            disk,
            vm,
            configuration,
            events,
            (to, message) => started.role?.send(to, message),
            () => started.role?.liveControls().map((record) => record.controlIdentity) ?? [],
        );
        started.role = new ControlRole(control, configuration);
        return started.role;
    }

    /** Identity as a control VM. */
    get identity(): string {
        return this.control.quorum.identity;
    }

    /** Connects the role to the rest of the process. */
    attach(membership: MembershipController, links: LinkController): void {
        this.membership = membership;
        this.links = links;
        this.roster = RosterController.create(() => this.configuration.view, membership.directory, (roster) => this.control.setRoster(roster));
    }

    /** Takes a message of another control VM. */
    receive(from: string, message: QuorumMessage): void {
        this.control.quorum.receive(from, message);
    }

    /**
     * Decides an apply request here, or has the leader decide it.
     *
     * @throws FleetError if there is no leader, or it cannot be told whether the change was accepted.
     */
    async apply(request: ApplyRequest): Promise<ApplyDecision> {
        const { quorum } = this.control;
        const leader = this.liveControls().find((record) => record.controlIdentity === quorum.leader);
        if (quorum.isReady || leader === undefined || leader.controlIdentity === quorum.identity) {
            return this.control.apply(request);
        }
        const reply = await this.links?.call(leader.vm, leader.linkAddress, { kind: MessageKind.Apply, request }, APPLY_TIMEOUT_MS);
        if (reply?.kind !== MessageKind.ApplyReply) {
            throw this.error("the leader did not answer; send it again with the same change id");
        }
        if (reply.decision === undefined) {
            throw this.error(reply.problem);
        }
        return reply.decision;
    }

    /** Answers an apply request that another control VM passed on. */
    async answerApply(request: ApplyRequest): Promise<Message> {
        try {
            return { kind: MessageKind.ApplyReply, decision: await this.control.apply(request), problem: "" };
        }
        catch (thrown) {
            return { kind: MessageKind.ApplyReply, decision: undefined, problem: toError(thrown).message };
        }
    }

    /** Describes the control VMs as this one sees them. */
    status(): ControlStatus {
        const { quorum } = this.control;
        return {
            identity: quorum.identity,
            leader: quorum.leader ?? "",
            term: quorum.term,
            voters: quorum.voters,
            others: this.liveControls().map((record) => record.controlIdentity).filter((identity) => !quorum.voters.includes(identity)),
        };
    }

    /** Makes this VM the only voter of a new log. */
    bootstrap(): Promise<void> {
        return this.control.quorum.bootstrap();
    }

    /** Adds a live control VM to the voters, or removes a voter, by identity or by VM name. */
    changeVoters(name: string, add: boolean): Promise<void> {
        const { voters, others } = this.status();
        const allowed = add ? [...others, ...voters] : voters;
        const identity = allowed.find((candidate) => candidate === name || candidate.startsWith(`${name}:`));
        if (identity === undefined) {
            throw this.error(`vm: found "${name}": allowed are ${allowed.join(", ")}`);
        }
        return this.control.quorum.changeVoters(identity, add);
    }

    /** Stops the timers. */
    close(): void {
        this.roster?.close();
        this.control.close();
    }

    private send(to: string, message: QuorumMessage): void {
        const record = this.liveControls().find((candidate) => candidate.controlIdentity === to);
        const { links } = this;
        if (record === undefined || links === undefined) {
            return;
        }
        if (!links.sendTo(record.vm, { kind: MessageKind.Quorum, from: this.identity, message })) {
            void links.connect(record.linkAddress);
        }
    }

    private liveControls(): readonly MemberRecord[] {
        return this.membership?.directory.live().filter((record) => record.controlIdentity !== "") ?? [];
    }

    private error(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.identity }, problem);
    }
}
