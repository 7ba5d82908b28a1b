import { ApplyDecision } from "../ApplyDecision.js";
import { ApplyDecisionKind } from "../ApplyDecisionKind.js";
import { ApplyRequest } from "../ApplyRequest.js";
import { ConfigurationView } from "../ConfigurationView/index.js";
import { differingKeys } from "../differingKeys/index.js";
import { diffManifest } from "../diffManifest/index.js";
import { splitManifest } from "../splitManifest/index.js";

/**
 * Decides an apply request against the configuration in force, by optimistic concurrency control
 * (Kung and Robinson 1981): a change is accepted only on the version that it was based on.
 *
 * @param view - Configuration in force.
 * @param versionsByChangeId - Versions of the retained accepted changes.
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
    const parts = splitManifest(request.manifest);
    const { version } = view.position;
    if (request.basedOnVersion !== version) {
        const winner = [...versionsByChangeId].find(([, accepted]) => accepted === version)?.[0] ?? "";
        return { kind: ApplyDecisionKind.Conflict, version, winner, differing: differingKeys(view.parts, parts) };
    }
    const position = { term, version: version + 1 };
    const delta = diffManifest(view.parts, parts);
    return { kind: ApplyDecisionKind.Accept, change: { position, changeId: request.changeId, delta } };
}
