import { describeIssues } from "../../validation/describeIssues/index.js";
import { parseDocument } from "../../validation/parseDocument/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { Settings } from "../Settings.js";
import { settingsSchema } from "../settingsSchema.js";

/**
 * Parses and validates the settings of a daemon.
 *
 * @param text - TOML text.
 * @param fileName - Name of the file, used in error messages.
 * @returns The settings with defaults applied.
 * @throws FleetError that lists each invalid field with the value found and the values allowed.
 * @example
 * parseSettings(readFileSync("proxy.toml", "utf8"), "proxy.toml").vm.name;
 */
export function parseSettings(text: string, fileName: string): Settings {
    const document = parseDocument(text, fileName, Step.Settings);
    const checked = settingsSchema.safeParse(document);
    if (!checked.success) {
        throw FleetError.create({ step: Step.Settings, peer: fileName }, describeIssues(checked.error, document).join("; "));
    }
    return checked.data;
}
