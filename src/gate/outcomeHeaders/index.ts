import { GateLoad } from "../../decisions/gate/GateLoad.js";
import { HeaderName } from "../../http/HeaderName.js";
import { Outcome } from "../../model/Outcome.js";

/**
 * Creates the header fields by which a gate reports the outcome of an attempt and the load of the endpoint to an entry.
 *
 * @param outcome - Outcome of the attempt.
 * @param load - Current load of the endpoint.
 * @param server - Name of the endpoint as `<vm>/<endpoint>`.
 * @returns Header fields by name.
 * @example
 * outcomeHeaders(Outcome.Ran, machine.load, "vm-1/lookup-1");
 */
export function outcomeHeaders(outcome: Outcome, load: GateLoad, server: string): Record<string, string | string[]> {
    return {
        [HeaderName.Outcome]: outcome,
        [HeaderName.Load]: `${load.running}/${load.queued}/${load.slots}`,
        [HeaderName.Server]: server,
    };
}
