import { assertNever } from "../../../model/assertNever/index.js";
import { CallerKind } from "../CallerKind.js";
import { DispatchPlan } from "../DispatchPlan.js";

/** Expected queue wait that is accepted even if the latency target is missed, in ms: about the time until the next slot is free. */
const TOLERATED_LATE_QUEUE_MS = 150;
/** Share of the time left until the deadline that a call of a running request may wait: its refusal would waste the work of that request. */
const CALL_QUEUE_SHARE = 0.5;

/**
 * Chooses the longest expected wait in a queue that a request accepts. Without organisations and for their requests it is the time with
 * which the latency target is met, or a short one; a call of a running request may take half of its time.
 *
 * @param plan - Properties of the request.
 * @param nowMs - Current time.
 * @param serviceMs - Mean service time.
 * @returns The wait, in ms.
 * @example
 * chooseMaxQueueMs({ callerKind: CallerKind.Unknown, targetAtMs: 1_500, deadlineAtMs: 4_000 }, 0, 300); // 1_200
 */
export function chooseMaxQueueMs(
    { callerKind, targetAtMs, deadlineAtMs }: Pick<DispatchPlan, "callerKind" | "targetAtMs" | "deadlineAtMs">,
    nowMs: number,
    serviceMs: number,
): number {
    const timelyMs = Math.max(TOLERATED_LATE_QUEUE_MS, targetAtMs - nowMs - serviceMs);
    switch (callerKind) {
        case CallerKind.Unknown:
        case CallerKind.Organisation:
            return timelyMs;
        case CallerKind.RunningRequest:
            return Math.max(timelyMs, CALL_QUEUE_SHARE * (deadlineAtMs - nowMs - serviceMs));
        default:
            return assertNever(callerKind);
    }
}
