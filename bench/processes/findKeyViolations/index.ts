import { maxCountIn } from "../../fleetModel/maxCountIn/index.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { RunRecord } from "../RunRecord.js";
import { SoakOrganisation } from "../SoakOrganisation.js";
import { SOAK_ORGANISATIONS } from "../soakOrganisations.js";
import { UNKNOWN_KEY } from "../unknownKey.js";

const WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;
/** Default excess over a quota that the product permits. */
const OVERSHOOT = 0.1;
const SLACK = 20;
const STATUS_UNAUTHORIZED = 401;
const STATUS_TOO_MANY = 429;
/** Statuses with which a proxy refuses a request before it looks at its key. */
const EARLY_STATUSES = [408, 502, 503];

/**
 * Finds requests whose key was passed on, was taken for another one, or did not count for the quota of its organisation.
 *
 * @param attempts - Requests of callers.
 * @param runs - Runs at endpoints.
 * @returns One line for each violation.
 * @example
 * findKeyViolations(attempts, runs); // ["TENANT a-1 ran for org-unlimited"]
 */
export function findKeyViolations(attempts: readonly AttemptRecord[], runs: readonly RunRecord[]): readonly string[] {
    const organisations = Object.values(SOAK_ORGANISATIONS);
    const runsById = new Map<string, RunRecord[]>();
    runs.forEach((run) => runsById.set(run.attemptId, [...runsById.get(run.attemptId) ?? [], run]));
    const lines = attempts.flatMap(({ id, apiKey, status }) => {
        const own = runsById.get(id) ?? [];
        const organisation = organisations.find((candidate) => candidate.apiKey === apiKey);
        const wrongRuns = own.filter(({ tenant, hasKey }) => hasKey === true || tenant !== organisation?.name);
        const isDenied = status === STATUS_UNAUTHORIZED;
        return [
            ...wrongRuns.map(({ tenant, hasKey }) => `TENANT ${id} ran for ${tenant ?? "nobody"}${hasKey === true ? " with its key" : ""}`),
            ...apiKey === UNKNOWN_KEY && own.length > 0 ? [`KEY ${id} ran with an unknown key`] : [],
            ...apiKey === UNKNOWN_KEY && status !== undefined && !isDenied && !EARLY_STATUSES.includes(status) ? [`KEY ${id} got ${status}`] : [],
            ...apiKey !== UNKNOWN_KEY && isDenied ? [`KEY ${id} of ${organisation?.name ?? "nobody"} got ${status}`] : [],
            ...status === STATUS_TOO_MANY && organisation?.ratePerSecond === 0 ? [`QUOTA ${id} of ${organisation.name} has no limit`] : [],
        ];
    });
    const limited = organisations.filter(({ ratePerSecond }) => ratePerSecond > 0);
    return [...lines, ...limited.flatMap((organisation) => findExcess(organisation, attempts, runsById))];
}

function findExcess(
    { name, apiKey, ratePerSecond, burst }: SoakOrganisation,
    attempts: readonly AttemptRecord[],
    runsById: ReadonlyMap<string, readonly RunRecord[]>,
): readonly string[] {
    const bound = (ratePerSecond * WINDOW_MS / MS_PER_SECOND + burst) * (1 + OVERSHOOT) + SLACK;
    const times = attempts.filter((attempt) => attempt.apiKey === apiKey && runsById.has(attempt.id)).map(({ sentAtMs }) => sentAtMs);
    const highest = maxCountIn(times.sort((left, right) => left - right), WINDOW_MS, 0);
    return highest > bound ? [`QUOTA ${name} ran ${highest} requests of a window, ${bound} are permitted`] : [];
}
