import { GateRef } from "../../model/GateRef.js";

/** Age from which a load report is ignored, in ms. */
const REPORT_TTL_MS = 1_000;

interface EndpointLoad {
    outstanding: number;
    reported: number;
    reportedAtMs: number;
}

/** Load of endpoints as known to an entry: its own outstanding attempts and the latest report of each gate. */
export class EndpointLoads {
    private readonly loads = new Map<string, EndpointLoad>();

    private constructor() {}

    /** Creates an empty table. */
    static create(): EndpointLoads {
        return new EndpointLoads();
    }

    /** Counts an attempt that starts. */
    recordStart(gate: GateRef): void {
        this.loadOf(gate).outstanding += 1;
    }

    /** Removes an attempt that has ended from the count. */
    recordEnd(gate: GateRef): void {
        this.loadOf(gate).outstanding -= 1;
    }

    /**
     * Records the load report of a gate.
     *
     * @param gate - Gate that reported.
     * @param text - Report as `<running>/<queued>/<slots>`.
     * @param nowMs - Current time, in ms.
     */
    recordReport(gate: GateRef, text: string, nowMs: number): void {
        const [running, queued] = text.split("/").map(Number);
        const load = this.loadOf(gate);
        load.reported = (running ?? 0) + (queued ?? 0);
        load.reportedAtMs = nowMs;
    }

    /** Requests that are running, queued or in transit, per slot. */
    loadPerSlot(gate: GateRef, slots: number, nowMs: number): number {
        const load = this.loads.get(gate.gate);
        if (load === undefined) {
            return 0;
        }
        const reported = nowMs - load.reportedAtMs < REPORT_TTL_MS ? load.reported : 0;
        return Math.max(load.outstanding, reported) / slots;
    }

    /** Removes all gates except the given incarnations. */
    retainOnly(gates: ReadonlySet<string>): void {
        [...this.loads.keys()].filter((gate) => !gates.has(gate)).forEach((gate) => this.loads.delete(gate));
    }

    private loadOf(gate: GateRef): EndpointLoad {
        const endpointLoad = this.loads.get(gate.gate) ?? { outstanding: 0, reported: 0, reportedAtMs: 0 };
        this.loads.set(gate.gate, endpointLoad);
        return endpointLoad;
    }
}
