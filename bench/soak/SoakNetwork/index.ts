import { FaultRates } from "../FaultRates.js";
import { SoakNode } from "../SoakNode/index.js";
import { VirtualClock } from "../VirtualClock/index.js";

const NORMAL_DELAY_MS = 1;
const SLOW_DELAY_MS = 2_500;

/** Network of a simulated run: delays, loses and duplicates messages, and blocks single directions between two VMs. */
export class SoakNetwork {
    private readonly cuts = new Set<string>();

    private constructor(
        private readonly clock: VirtualClock,
        private readonly random: () => number,
        private readonly rates: FaultRates,
    ) {}

    /** Creates a network in which no direction is blocked. */
    static create(clock: VirtualClock, random: () => number, rates: FaultRates): SoakNetwork {
        return new SoakNetwork(clock, random, rates);
    }

    /** Blocks one direction between two VMs for a time. */
    cut(from: string, to: string, durationMs: number): void {
        const pair = `${from}>${to}`;
        this.cuts.add(pair);
        this.clock.after(durationMs, () => this.cuts.delete(pair));
    }

    /**
     * Sends a message. It is delivered never, once or twice, to the process that runs on the VM at the time of delivery.
     *
     * @param mayRepeat - Whether the message may be delivered twice.
     */
    send(from: SoakNode, to: SoakNode, mayRepeat: boolean, deliver: () => void): void {
        const isLost = this.cuts.has(`${from.vm}>${to.vm}`) || this.random() < this.rates.lostMessage;
        if (isLost && from !== to) {
            return;
        }
        this.scheduleDelivery(to, deliver);
        if (mayRepeat && this.random() < this.rates.duplicateMessage) {
            this.scheduleDelivery(to, deliver);
        }
    }

    private scheduleDelivery(to: SoakNode, deliver: () => void): void {
        const isSlow = this.random() < this.rates.slowMessage;
        const delayMs = NORMAL_DELAY_MS + this.random() * (isSlow ? SLOW_DELAY_MS : NORMAL_DELAY_MS);
        this.clock.after(delayMs, () => to.runWhenNotFrozen(deliver));
    }
}
