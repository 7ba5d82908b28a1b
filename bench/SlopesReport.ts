import { FleetCosts } from "./slopes/FleetCosts.js";
import { Slope } from "./slopes/Slope.js";

/** Measured slopes and the machine they were measured on. */
export interface SlopesReport {
    readonly machine: {
        readonly processors: number;
        readonly model: string;
        readonly memoryGib: number;
        readonly runtime: string;
    };
    readonly slopes: readonly Slope[];
    /** Costs of the largest fleet. */
    readonly spread: FleetCosts | undefined;
}
