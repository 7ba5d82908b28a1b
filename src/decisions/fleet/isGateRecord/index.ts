import { isShortText } from "../../../model/isShortText/index.js";
import { EndpointPhase } from "../EndpointPhase.js";
import { GateRecord } from "../GateRecord.js";

/**
 * Checks a gate record that another process has sent. One that is not as it should be must not keep the process from using the
 * others.
 *
 * @param value - What was received.
 * @returns True if it can be used as a gate record.
 * @example
 * isGateRecord({ vm: "vm-1" }); // false
 */
export function isGateRecord(value: unknown): value is GateRecord {
    if (!isObject(value)) {
        return false;
    }
    const { vm, failureDomain, gateAddress, run, sequence, isOpen, endpoint, limitPerSecond } = value;
    return [vm, failureDomain, gateAddress].every(isShortText)
        && [run, sequence].every(Number.isSafeInteger)
        && typeof isOpen === "boolean"
        && (endpoint === undefined || isEndpointReport(endpoint))
        && (limitPerSecond === undefined || Number.isFinite(limitPerSecond));
}

function isEndpointReport(value: unknown): boolean {
    if (!isObject(value)) {
        return false;
    }
    const { id, service, phase, bornAtMs, sequence, slots, coldRemainingMs } = value;
    return [id, service].every(isShortText)
        && Object.values<unknown>(EndpointPhase).includes(phase)
        && [bornAtMs, sequence, slots, coldRemainingMs].every(Number.isFinite);
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null;
}
