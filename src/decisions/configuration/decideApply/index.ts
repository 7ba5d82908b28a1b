import { ApplyDecision } from "../ApplyDecision.js";
import { ApplyDecisionKind } from "../ApplyDecisionKind.js";
import { ApplyRequest } from "../ApplyRequest.js";
import { ConfigurationView } from "../ConfigurationView/index.js";
import { differingKeys } from "../differingKeys/index.js";
import { diffManifest } from "../diffManifest/index.js";
import { ManifestParts } from "../ManifestParts.js";
import { partKey } from "../partKey/index.js";
import { PartKind } from "../PartKind.js";
import { splitManifest } from "../splitManifest/index.js";

/**
 * Decides an apply request against the configuration in force, by optimistic concurrency control
 * (Kung and Robinson 1981): a change is accepted only on the version that it was based on.
 *
 * @param view - Configuration in force.
 * @param versionsByChangeId - Manifest versions of the retained accepted changes.
 * @param request - The operator's request.
 * @param term - Term of the deciding leader.
 * @returns Accept with the change to log; Repeat for a change accepted before; Conflict if the base is not in force.
 * @example
 * decideApply(view, new Map(), request, 1).kind; // ApplyDecisionKind.Accept
 */
export function decideApply(
    view: ConfigurationView,
    versionsByChangeId: ReadonlyMap<string, number>,
    request: ApplyRequest,
    term: number,
): ApplyDecision {
    const repeated = versionsByChangeId.get(request.changeId);
    if (repeated !== undefined) {
        return { kind: ApplyDecisionKind.Repeat, version: repeated };
    }
    const parts = keepRoster(splitManifest(request.manifest), view);
    const { version, manifestVersion } = view.position;
    if (request.basedOnVersion !== manifestVersion) {
        const winner = [...versionsByChangeId].find(([, accepted]) => accepted === manifestVersion)?.[0] ?? "";
        return { kind: ApplyDecisionKind.Conflict, version: manifestVersion, winner, differing: differingKeys(view.parts, parts) };
    }
    const position = { term, version: version + 1, manifestVersion: manifestVersion + 1 };
    const delta = diffManifest(view.parts, parts);
    return { kind: ApplyDecisionKind.Accept, change: { position, changeId: request.changeId, delta } };
}

function keepRoster(parts: ManifestParts, view: ConfigurationView): ManifestParts {
    const { roster } = view;
    if (roster === undefined) {
        return parts;
    }
    const part = { kind: PartKind.Roster as const, value: roster };
    return new Map([...parts, [partKey(part), part]]);
}
