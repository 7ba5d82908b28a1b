import { describeIssues } from "../../validation/describeIssues/index.js";
import { parseDocument } from "../../validation/parseDocument/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { MeshSettings } from "../MeshSettings.js";
import { meshSettingsSchema } from "../meshSettingsSchema.js";

/**
 * Parses and validates the settings of a process. Unknown fields are ignored.
 *
 * @param text - Settings in TOML.
 * @param fileName - Name of the file, used in error messages.
 * @returns The validated settings.
 * @throws FleetError that names each missing or invalid field.
 * @example
 * parseMeshSettings(readFileSync(path, "utf8"), path).vm.name;
 */
export function parseMeshSettings(text: string, fileName: string): MeshSettings {
    const document = parseDocument(text, fileName, Step.Settings);
    const checked = meshSettingsSchema.safeParse(document);
    if (!checked.success) {
        throw FleetError.create({ step: Step.Settings, peer: fileName }, describeIssues(checked.error, document).join("; "));
    }
    return checked.data;
}
