import { describeIssues } from "../../checks/describeIssues/index.js";
import { parseDocument } from "../../checks/parseDocument/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { MeshSettings } from "../MeshSettings.js";
import { meshSettingsSchema } from "../meshSettingsSchema.js";

/**
 * Reads and checks the settings of a process. Fields that are not known are ignored.
 *
 * @param text - Settings in TOML.
 * @param fileName - Name of the file, for errors.
 * @returns The settings.
 * @throws FleetError that names each field that is missing or wrong.
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
