import { describeIssues } from "../../../validation/describeIssues/index.js";
import { parseDocument } from "../../../validation/parseDocument/index.js";
import { FleetError } from "../../../model/FleetError.js";
import { Step } from "../../../model/Step.js";
import { findManifestProblems } from "../findManifestProblems/index.js";
import { Manifest } from "../Manifest.js";
import { manifestSchema } from "../manifestSchema.js";

/**
 * Parses and validates a manifest.
 *
 * @param text - Manifest text, TOML or JSON.
 * @param fileName - Name of the file; its extension selects the format.
 * @returns The manifest with defaults filled in.
 * @throws FleetError that lists each invalid field, the value found and the values allowed.
 * @example
 * parseManifest(readFileSync("manifest.toml", "utf8"), "manifest.toml").fleet.name;
 */
export function parseManifest(text: string, fileName: string): Manifest {
    const document = parseDocument(text, fileName, Step.Manifest);
    const checked = manifestSchema.safeParse(document);
    const problems = checked.success ? findManifestProblems(checked.data) : describeIssues(checked.error, document);
    if (!checked.success || problems.length > 0) {
        throw FleetError.create({ step: Step.Manifest, peer: fileName }, problems.join("; "));
    }
    return checked.data;
}
