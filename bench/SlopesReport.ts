import { FleetCosts } from "./slopes/FleetCosts.js";
import { Slope } from "./slopes/Slope.js";

/** How costs grow with size, and the machine on which this was measured. */
export interface SlopesReport {
    readonly machine: {
        readonly processors: number;
        readonly model: string;
        readonly memoryGib: number;
        readonly runtime: string;
    };
    readonly slopes: readonly Slope[];
    /** Costs of the largest fleet measured; undefined if no fleet was measured. */
    readonly spread: FleetCosts | undefined;
}
