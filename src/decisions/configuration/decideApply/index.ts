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
 * Decides an apply request by optimistic concurrency control (Kung and Robinson 1981): a manifest is accepted only if the
 * version on which it is based is still the current one.
 *
 * @param view - Current configuration.
 * @param versionsByChangeId - Manifest versions of the latest accepted changes, by change ID.
 * @param request - The operator's request.
 * @param term - Term of the leader that decides.
 * @returns Accept with the change to commit; Repeat for a change that is already accepted; Conflict if the base version is not
 * the current one.
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
