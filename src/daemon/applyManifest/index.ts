import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { parseManifest } from "../../decisions/configuration/parseManifest/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ControlRole } from "../ControlRole/index.js";
import { toError } from "../../model/toError/index.js";

/**
 * Validates a manifest sent by an operator and submits it to the control role.
 *
 * @param control - Control role of the process.
 * @param events - Event log.
 * @param text - Manifest text.
 * @param fileName - File name; its extension selects the format.
 * @param basedOnVersion - Manifest version that the operator started from.
 * @param changeId - Identity of the change.
 * @returns The decision of the control role.
 * @throws FleetError if the manifest is invalid or cannot be persisted.
 * @example
 * await applyManifest(control, events, text, "manifest.toml", 0, "change-1");
 */
export async function applyManifest(
    control: ControlRole,
    events: EventLog,
    text: string,
    fileName: string,
    basedOnVersion: number,
    changeId: string,
): Promise<ApplyDecision> {
    try {
        const manifest = parseManifest(text, fileName);
        return await control.apply({ manifest, basedOnVersion, changeId });
    }
    catch (thrown) {
        const error = toError(thrown);
        events.record(EventNumber.ConfigurationRefused, { changeId, problem: error.message });
        throw error;
    }
}
