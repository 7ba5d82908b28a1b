import { ModelService } from "./ModelService.js";

/** Fleet and load of a `FleetModel`. */
export interface FleetModelOptions {
    readonly services: readonly ModelService[];
    readonly failureDomainCount: number;
    readonly controlCount: number;
    /** Time that a message takes between two VMs. */
    readonly oneWayDelayMs: number;
    /** Seed of all random choices. */
    readonly seed: number;
    /** Seed of the requests, so that they are the same whatever the fleet does; undefined to draw them with all other choices. */
    readonly arrivalSeed?: number;
}
