import { assertNever } from "../../../model/assertNever/index.js";
import { ManifestPart } from "../ManifestPart.js";
import { PartKind } from "../PartKind.js";

const FLEET_KEY = "fleet";
const ROSTER_KEY = "roster";

/**
 * Returns the key of a manifest part. Parts with equal keys are versions of the same part.
 *
 * @param part - Part of a manifest.
 * @returns Key such as `service/lookup-front` or `route/* /lookup`.
 * @example
 * partKey({ kind: PartKind.Fleet, value: fleet }); // "fleet"
 */
export function partKey(part: ManifestPart): string {
    switch (part.kind) {
        case PartKind.Fleet:
            return FLEET_KEY;
        case PartKind.Service:
            return `service/${part.value.name}`;
        case PartKind.Route:
            return `route/${part.value.host} ${part.value.pathPrefix}`;
        case PartKind.Customer:
            return `customer/${part.value.name}`;
        case PartKind.Roster:
            return ROSTER_KEY;
        default:
            return assertNever(part);
    }
}
