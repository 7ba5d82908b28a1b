import { nowMs } from "../../clock/nowMs/index.js";
import { QuarantineTracker } from "../../decisions/quarantine/QuarantineTracker/index.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { LinkNetwork } from "../LinkNetwork.js";

/** Decides which requests are quarantined because they crash backend servers, and shares the strikes with the fleet. */
export class QuarantineController {
    private readonly tracker = QuarantineTracker.create();

    private constructor(private readonly network: LinkNetwork, private readonly events: EventLog) {}

    /**
     * Creates a controller.
     *
     * @param network - Links of the process.
     * @param events - Event log.
     */
    static create(network: LinkNetwork, events: EventLog): QuarantineController {
        return new QuarantineController(network, events);
    }

    /**
     * Records a strike, that is, the loss of a backend server with a request in flight, and forwards it if it is new.
     *
     * @param fingerprint - Fingerprint of the request.
     * @param loss - Identity of the loss.
     * @param fromVm - VM of the peer that reported the strike; undefined if it was observed here.
     */
    recordStrike(fingerprint: string, loss: string, fromVm?: string): void {
        if (!this.tracker.recordStrike(fingerprint, loss, nowMs())) {
            return;
        }
        this.network.broadcast({ kind: MessageKind.Strike, fingerprint, loss }, fromVm);
        if (this.isQuarantined(fingerprint)) {
            this.events.record(EventNumber.RequestQuarantined, { fingerprint, loss });
        }
    }

    /** Clears the strikes of a request that was answered; forwards this if there were any. */
    clearStrikes(fingerprint: string, fromVm?: string): void {
        if (this.tracker.clearStrikes(fingerprint, nowMs())) {
            this.network.broadcast({ kind: MessageKind.StrikesCleared, fingerprint }, fromVm);
        }
    }

    /** Returns true if a request must not be run. */
    isQuarantined(fingerprint: string): boolean {
        return this.tracker.isQuarantined(fingerprint, nowMs());
    }
}
