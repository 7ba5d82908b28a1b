import { ConfigurationController } from "../../controllers/ConfigurationController/index.js";
import { ControlController } from "../../controllers/ControlController/index.js";
import { MembershipController } from "../../controllers/MembershipController/index.js";
import { RosterController } from "../../controllers/RosterController/index.js";
import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { ApplyRequest } from "../../decisions/configuration/ApplyRequest.js";
import { assessVoters } from "../../decisions/quorum/assessVoters/index.js";
import { explainReplacements } from "../../decisions/quorum/explainReplacements/index.js";
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

/** Timeout of an apply request that is forwarded to the leader, in ms. */
const APPLY_TIMEOUT_MS = 8_000;

/** Control role of a process: participates in the quorum and forwards apply requests to the leader. */
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
     * @param configuration - Configuration controller of this process.
     * @param events - Event log.
     * @throws FleetError if the data folder cannot be used or is corrupt.
     */
    static async create(dataFolder: string, vm: string, configuration: ConfigurationController, events: EventLog): Promise<ControlRole> {
        const disk = await FolderDisk.create(dataFolder);
        const roleRef: { role?: ControlRole } = {};
        const control = await ControlController.create(
            disk,
            vm,
            configuration,
            events,
            (to, message) => roleRef.role?.send(to, message),
            () => roleRef.role?.liveControlMembers().map((record) => record.controlIdentity) ?? [],
        );
        roleRef.role = new ControlRole(control, configuration);
        return roleRef.role;
    }

    /** Identity of this VM in the quorum. */
    get identity(): string {
        return this.control.quorum.identity;
    }

    /** Sets the membership and the links of the process, which are created after this role. */
    attach(membership: MembershipController, links: LinkController): void {
        this.membership = membership;
        this.links = links;
        this.roster = RosterController.create(() => this.configuration.view, membership.directory, (roster) => this.control.setRoster(roster));
    }

    /** Handles a quorum message from another control VM. */
    handleMessage(from: string, message: QuorumMessage): void {
        this.control.quorum.handleMessage(from, message);
    }

    /**
     * Decides an apply request on this VM, or forwards it to the leader.
     *
     * @throws FleetError if there is no leader or the outcome of the change is unknown.
     */
    async apply(request: ApplyRequest): Promise<ApplyDecision> {
        const { quorum } = this.control;
        const leader = this.liveControlMembers().find((record) => record.controlIdentity === quorum.leader);
        if (quorum.isReady || leader === undefined || leader.controlIdentity === quorum.identity) {
            return this.control.apply(request);
        }
        const reply = await this.links?.call(leader.vm, leader.linkAddress, { kind: MessageKind.Apply, request }, APPLY_TIMEOUT_MS);
        if (reply?.kind !== MessageKind.ApplyReply) {
            throw this.createError("the leader did not answer; retry with the same change id");
        }
        if (reply.decision === undefined) {
            throw this.createError(reply.problem);
        }
        return reply.decision;
    }

    /** Handles an apply request that another control VM forwarded. */
    async handleApply(request: ApplyRequest): Promise<Message> {
        try {
            return { kind: MessageKind.ApplyReply, decision: await this.control.apply(request), problem: "" };
        }
        catch (thrown) {
            return { kind: MessageKind.ApplyReply, decision: undefined, problem: toError(thrown).message };
        }
    }

    /** Returns the state of the quorum and the live control VMs, as known to this VM. */
    status(): ControlStatus {
        const { quorum } = this.control;
        const assessment = quorum.isReady ? assessVoters(quorum.voters, quorum.contacts) : undefined;
        return {
            identity: quorum.identity,
            leader: quorum.leader ?? "",
            term: quorum.term,
            voters: quorum.voters,
            toleratedLosses: assessment?.toleratedLosses,
            replacements: assessment === undefined ? undefined : explainReplacements(assessment, undefined),
            others: this.liveControlMembers().map((record) => record.controlIdentity).filter((identity) => !quorum.voters.includes(identity)),
        };
    }

    /** Starts a new log with this VM as its only voter. */
    bootstrap(): Promise<void> {
        return this.control.quorum.bootstrap();
    }

    /**
     * Adds a live control VM to the voters or removes a voter.
     *
     * @param name - Identity or VM name.
     * @param shouldAdd - True to add, false to remove.
     * @throws FleetError if no such control VM is live or votes.
     */
    changeVoters(name: string, shouldAdd: boolean): Promise<void> {
        const { voters, others } = this.status();
        const allowed = shouldAdd ? [...others, ...voters] : voters;
        const identity = allowed.find((candidate) => candidate === name || candidate.startsWith(`${name}:`));
        if (identity === undefined) {
            throw this.createError(`vm: found "${name}": allowed are ${allowed.join(", ")}`);
        }
        return this.control.quorum.changeVoters(identity, shouldAdd);
    }

    /** Stops all timers of the role. */
    close(): void {
        this.roster?.close();
        void this.control.close();
    }

    private send(to: string, message: QuorumMessage): void {
        const record = this.liveControlMembers().find((candidate) => candidate.controlIdentity === to);
        const { links } = this;
        if (record === undefined || links === undefined) {
            return;
        }
        if (!links.sendTo(record.vm, { kind: MessageKind.Quorum, from: this.identity, message })) {
            void links.connect(record.linkAddress);
        }
    }

    private liveControlMembers(): readonly MemberRecord[] {
        return this.membership?.directory.live().filter((record) => record.controlIdentity !== "") ?? [];
    }

    private createError(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.identity }, problem);
    }
}
