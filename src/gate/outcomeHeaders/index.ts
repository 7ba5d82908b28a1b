import { GateLoad } from "../../decisions/gate/GateLoad.js";
import { HeaderName } from "../../http/HeaderName.js";
import { Outcome } from "../../model/Outcome.js";

/**
 * Header fields by which a gate tells an entry what became of an attempt, and how loaded the endpoint is.
 *
 * @param outcome - What the entry may conclude.
 * @param load - Load of the endpoint.
 * @param server - `<vm>/<endpoint>`.
 * @returns Header fields by name.
 * @example
 * outcomeHeaders(Outcome.Ran, ledger.load, "vm-1/lookup-1");
 */
export function outcomeHeaders(outcome: Outcome, load: GateLoad, server: string): Record<string, string | string[]> {
    return {
        [HeaderName.Outcome]: outcome,
        [HeaderName.Load]: `${load.running}/${load.queued}/${load.slots}`,
        [HeaderName.Server]: server,
    };
}
