import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { parseManifest } from "../../decisions/configuration/parseManifest/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ControlRole } from "../ControlRole/index.js";
import { toError } from "../../model/toError/index.js";

/**
 * Checks a manifest that an operator sent and has control decide on it.
 *
 * @param control - Control role of the process.
 * @param events - Log.
 * @param text - Manifest text.
 * @param fileName - File name; its ending selects the format.
 * @param basedOnVersion - Version on which the operator based it.
 * @param changeId - Identity of the change.
 * @returns What control decided.
 * @throws FleetError if the manifest is not valid or cannot be made durable.
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
