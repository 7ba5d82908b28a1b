import { nowMs } from "../../clock/nowMs/index.js";
import { Roster } from "../../decisions/claims/Roster.js";
import { WitnessLedger } from "../../decisions/claims/WitnessLedger/index.js";
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

/** Owns the claims that this process witnesses, and gets them back from other witnesses after a restart. */
export class WitnessController {
    private readonly ledger: WitnessLedger;
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
        this.ledger = WitnessLedger.create(vm, incarnation, nowMs());
        this.timer = setInterval(() => void this.tick(), TICK_MS);
    }

    /**
     * Creates the witness of a process.
     *
     * @param vm - VM of the process.
     * @param incarnation - Incarnation of the process.
     * @param view - Configuration in force.
     * @param call - Calls another process.
     * @param events - Log.
     */
    static create(vm: string, incarnation: string, view: () => ConfigurationView, call: CallPeer, events: EventLog): WitnessController {
        return new WitnessController(vm, incarnation, view, call, events);
    }

    /** Number of claims held. */
    get size(): number {
        return this.ledger.size;
    }

    /** Takes a request of a claimant. */
    take(request: WitnessRequest): WitnessReply {
        const { roster, fleet } = this.view();
        if (roster === undefined || fleet === undefined) {
            return { kind: WitnessReplyKind.Abstains };
        }
        return this.ledger.take(request, roster, fleet.witnessCount, fleet.keyRetentionMs, nowMs());
    }

    /** Answers a witness that has lost its memory. */
    giveClaims(): Message {
        const { roster, fleet } = this.view();
        const isKnown = roster !== undefined && fleet !== undefined;
        const entries = isKnown ? this.ledger.giveClaims(roster, fleet.keyRetentionMs, nowMs()) : undefined;
        return { kind: MessageKind.ClaimsCopy, entries };
    }

    /** Stops the timers. */
    close(): void {
        clearInterval(this.timer);
    }

    private async tick(): Promise<void> {
        const { roster, fleet } = this.view();
        this.ledger.expire(nowMs());
        const isWitness = roster?.witnesses.some((witness) => witness.vm === this.vm) === true;
        if (roster === undefined || fleet === undefined || !isWitness || this.isCopying) {
            return;
        }
        const isComplete = this.ledger.isComplete(roster, fleet.keyRetentionMs, nowMs());
        if (isComplete && !this.wasComplete) {
            this.events.record(EventNumber.WitnessComplete, { claims: this.ledger.size, epoch: roster.epoch });
        }
        this.wasComplete = isComplete;
        if (!isComplete && this.ledger.mayCopy(nowMs())) {
            await this.copy(roster);
        }
    }

    private async copy(roster: Roster): Promise<void> {
        this.isCopying = true;
        const others = [...roster.witnesses, ...roster.previous].filter((witness) => witness.vm !== this.vm);
        await Promise.all(others.map(async (witness) => {
            const reply = await this.call(witness.vm, witness.linkAddress, { kind: MessageKind.ClaimsFetch }, COPY_TIMEOUT_MS);
            if (reply?.kind === MessageKind.ClaimsCopy && reply.entries !== undefined) {
                this.ledger.copyClaims(witness.vm, reply.entries, nowMs());
            }
        }));
        this.isCopying = false;
    }
}
