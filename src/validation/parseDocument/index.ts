import { parse } from "smol-toml";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";

/**
 * Parses a TOML or JSON document; the extension of the file name selects the format.
 *
 * @param text - Document text.
 * @param fileName - Name of the file; `.json` selects JSON, any other extension TOML.
 * @param step - Step reported in errors.
 * @returns The parsed value, not yet validated.
 * @throws FleetError if the text cannot be parsed.
 * @example
 * parseDocument("a = 1", "x.toml", Step.Settings); // { a: 1 }
 */
export function parseDocument(text: string, fileName: string, step: Step): unknown {
    try {
        return fileName.endsWith(".json") ? JSON.parse(text) : parse(text);
    }
    catch (thrown) {
        const cause = toError(thrown);
        const firstLine = cause.message.split("\n", 1)[0] ?? "";
        throw FleetError.create({ step, peer: fileName }, `cannot be parsed: ${firstLine}`);
    }
}
