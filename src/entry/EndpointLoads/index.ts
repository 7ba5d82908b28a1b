import { GateRef } from "../../model/GateRef.js";

const REPORT_VALID_MS = 1_000;

interface KnownLoad {
    outstanding: number;
    reported: number;
    reportedAtMs: number;
}

/** What an entry knows of the load of endpoints: its own outstanding attempts and what gates reported last. */
export class EndpointLoads {
    private readonly loads = new Map<string, KnownLoad>();

    private constructor() {}

    /** Creates an empty table. */
    static create(): EndpointLoads {
        return new EndpointLoads();
    }

    /** Counts an attempt that is being sent. */
    begin(gate: GateRef): void {
        this.load(gate).outstanding += 1;
    }

    /** Counts an attempt that has ended. */
    end(gate: GateRef): void {
        this.load(gate).outstanding -= 1;
    }

    /**
     * Takes a gate's report.
     *
     * @param gate - Gate that reported.
     * @param text - `running/queued/slots`.
     * @param nowMs - Current time.
     */
    report(gate: GateRef, text: string, nowMs: number): void {
        const [running, queued] = text.split("/").map(Number);
        const load = this.load(gate);
        load.reported = (running ?? 0) + (queued ?? 0);
        load.reportedAtMs = nowMs;
    }

    /** Requests running, queued and on their way, for each slot. */
    loadPerSlot(gate: GateRef, slots: number, nowMs: number): number {
        const load = this.loads.get(gate.gate);
        if (load === undefined) {
            return 0;
        }
        const reported = nowMs - load.reportedAtMs < REPORT_VALID_MS ? load.reported : 0;
        return Math.max(load.outstanding, reported) / slots;
    }

    /** Forgets gates that are not in use any more. */
    forgetExcept(gates: ReadonlySet<string>): void {
        [...this.loads.keys()].filter((gate) => !gates.has(gate)).forEach((gate) => this.loads.delete(gate));
    }

    private load(gate: GateRef): KnownLoad {
        const known = this.loads.get(gate.gate) ?? { outstanding: 0, reported: 0, reportedAtMs: 0 };
        this.loads.set(gate.gate, known);
        return known;
    }
}
