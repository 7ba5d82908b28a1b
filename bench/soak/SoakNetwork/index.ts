import { FaultRates } from "../FaultRates.js";
import { SoakNode } from "../SoakNode/index.js";
import { VirtualClock } from "../VirtualClock/index.js";

const FAST_MS = 1;
const SLOW_MS = 2_500;

/** Network of a simulated run: delays, loses and duplicates messages, and cuts single directions. */
export class SoakNetwork {
    private readonly cuts = new Set<string>();

    private constructor(
        private readonly clock: VirtualClock,
        private readonly random: () => number,
        private readonly rates: FaultRates,
    ) {}

    /** Creates a network without cuts. */
    static create(clock: VirtualClock, random: () => number, rates: FaultRates): SoakNetwork {
        return new SoakNetwork(clock, random, rates);
    }

    /** Cuts one direction for a time. */
    cut(from: string, to: string, durationMs: number): void {
        const pair = `${from}>${to}`;
        this.cuts.add(pair);
        this.clock.after(durationMs, () => this.cuts.delete(pair));
    }

    /**
     * Sends a message. It arrives at the process that runs on the VM by then, once, twice or never.
     *
     * @param mayRepeat - Whether a duplicate may arrive.
     */
    send(from: SoakNode, to: SoakNode, mayRepeat: boolean, deliver: () => void): void {
        const isLost = this.cuts.has(`${from.vm}>${to.vm}`) || this.random() < this.rates.lostMessage;
        if (isLost && from !== to) {
            return;
        }
        this.arrive(to, deliver);
        if (mayRepeat && this.random() < this.rates.duplicateMessage) {
            this.arrive(to, deliver);
        }
    }

    private arrive(to: SoakNode, deliver: () => void): void {
        const isSlow = this.random() < this.rates.slowMessage;
        const delayMs = FAST_MS + this.random() * (isSlow ? SLOW_MS : FAST_MS);
        this.clock.after(delayMs, () => to.whenAwake(deliver));
    }
}
