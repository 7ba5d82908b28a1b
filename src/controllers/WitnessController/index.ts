import { nowMs } from "../../clock/nowMs/index.js";
import { Roster } from "../../decisions/claims/Roster.js";
import { ClaimTable } from "../../decisions/claims/ClaimTable/index.js";
import { WitnessReply } from "../../decisions/claims/WitnessReply.js";
import { WitnessReplyKind } from "../../decisions/claims/WitnessReplyKind.js";
import { WitnessRequest } from "../../decisions/claims/WitnessRequest.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { CallPeer } from "../CallPeer.js";

const TICK_MS = 500;
const COPY_TIMEOUT_MS = 5_000;

/** Holds the claims that this process stores as a witness, and copies them from other witnesses after a restart. */
export class WitnessController {
    private readonly claimTable: ClaimTable;
    private readonly timer: NodeJS.Timeout;
    private isCopying = false;
    private wasComplete = false;

    private constructor(
        private readonly vm: string,
        incarnation: string,
        private readonly view: () => ConfigurationView,
        private readonly call: CallPeer,
        private readonly events: EventLog,
    ) {
        this.claimTable = ClaimTable.create(vm, incarnation, nowMs());
        this.timer = setInterval(() => void this.tick(), TICK_MS);
    }

    /**
     * Creates the witness controller of a process.
     *
     * @param vm - VM of the process.
     * @param incarnation - Incarnation of the process.
     * @param view - Returns the current configuration.
     * @param call - Calls another process.
     * @param events - Event log.
     */
    static create(vm: string, incarnation: string, view: () => ConfigurationView, call: CallPeer, events: EventLog): WitnessController {
        return new WitnessController(vm, incarnation, view, call, events);
    }

    /** Number of stored claims. */
    get size(): number {
        return this.claimTable.size;
    }

    /** Handles a request from a claimant. */
    handleRequest(request: WitnessRequest): WitnessReply {
        const { roster, fleet } = this.view();
        if (roster === undefined || fleet === undefined) {
            return { kind: WitnessReplyKind.Abstains };
        }
        return this.claimTable.handleRequest(request, roster, fleet.witnessCount, fleet.keyRetentionMs, nowMs());
    }

    /** Returns a copy of all claims for a witness that lost its own. */
    handleClaimsFetch(): Message {
        const { roster, fleet } = this.view();
        const isConfigured = roster !== undefined && fleet !== undefined;
        const entries = isConfigured ? this.claimTable.exportClaims(roster, fleet.keyRetentionMs, nowMs()) : undefined;
        return { kind: MessageKind.ClaimsCopy, entries };
    }

    /** Stops the timers. */
    close(): void {
        clearInterval(this.timer);
    }

    private async tick(): Promise<void> {
        const { roster, fleet } = this.view();
        this.claimTable.removeExpired(nowMs());
        const isWitness = roster?.witnesses.some((witness) => witness.vm === this.vm) === true;
        if (roster === undefined || fleet === undefined || !isWitness || this.isCopying) {
            return;
        }
        const isComplete = this.claimTable.isComplete(roster, fleet.keyRetentionMs, nowMs());
        if (isComplete && !this.wasComplete) {
            this.events.record(EventNumber.WitnessComplete, { claims: this.claimTable.size, epoch: roster.epoch });
        }
        this.wasComplete = isComplete;
        if (!isComplete && this.claimTable.canCopyClaims(nowMs())) {
            await this.copyClaims(roster);
        }
    }

    private async copyClaims(roster: Roster): Promise<void> {
        this.isCopying = true;
        const others = [...roster.witnesses, ...roster.previous].filter((witness) => witness.vm !== this.vm);
        await Promise.all(others.map(async (witness) => {
            const reply = await this.call(witness.vm, witness.linkAddress, { kind: MessageKind.ClaimsFetch }, COPY_TIMEOUT_MS);
            if (reply?.kind === MessageKind.ClaimsCopy && reply.entries !== undefined) {
                this.claimTable.importClaims(witness.vm, reply.entries, nowMs());
            }
        }));
        this.isCopying = false;
    }
}
