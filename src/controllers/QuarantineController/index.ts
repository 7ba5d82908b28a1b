import { nowMs } from "../../clock/nowMs/index.js";
import { QuarantineLedger } from "../../decisions/quarantine/QuarantineLedger/index.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { LinkNetwork } from "../LinkNetwork.js";

/** Owns what this process knows of requests that crash backend servers, and shares it with the fleet. */
export class QuarantineController {
    private readonly ledger = QuarantineLedger.create();

    private constructor(private readonly network: LinkNetwork, private readonly events: EventLog) {}

    /**
     * Creates a controller.
     *
     * @param network - Links of the process.
     * @param events - Log.
     */
    static create(network: LinkNetwork, events: EventLog): QuarantineController {
        return new QuarantineController(network, events);
    }

    /** Takes a strike, from this process or from a peer, and passes it on if it is news. */
    strike(fingerprint: string, loss: string, fromVm?: string): void {
        if (!this.ledger.strike(fingerprint, loss, nowMs())) {
            return;
        }
        this.network.broadcast({ kind: MessageKind.Strike, fingerprint, loss }, fromVm);
        if (this.isQuarantined(fingerprint)) {
            this.events.record(EventNumber.RequestQuarantined, { fingerprint, loss });
        }
    }

    /** Takes note that a request was answered, and tells the fleet if it had been struck. */
    acquit(fingerprint: string, fromVm?: string): void {
        if (this.ledger.acquit(fingerprint, nowMs())) {
            this.network.broadcast({ kind: MessageKind.Acquittal, fingerprint }, fromVm);
        }
    }

    /** Tells whether a request must not be run. */
    isQuarantined(fingerprint: string): boolean {
        return this.ledger.isQuarantined(fingerprint, nowMs());
    }
}
