import { GateAttempt } from "../../decisions/gate/GateAttempt.js";
import { HeaderFields } from "../../http/HeaderFields.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { findEnumValue } from "../../model/findEnumValue/index.js";
import { FleetError } from "../../model/FleetError.js";
import { ServiceClass } from "../../model/ServiceClass.js";
import { Step } from "../../model/Step.js";
import { ReceivedAttempt } from "../ReceivedAttempt.js";

/**
 * Reads an attempt from the header fields set by its entry.
 *
 * @param headers - Header fields of the request.
 * @param nowMs - Time of arrival on the gate's clock, in ms.
 * @returns The attempt with its deadline on the gate's clock.
 * @throws FleetError that names a missing or invalid field.
 * @example
 * readAttempt(request.headers, nowMs()).attempt.id;
 */
export function readAttempt(headers: HeaderFields, nowMs: number): ReceivedAttempt {
    const [entry, sequence] = readText(headers, HeaderName.Attempt).split("#");
    const attempt: GateAttempt = {
        id: { entry: entry ?? "", sequence: parseCount(sequence, HeaderName.Attempt) },
        lowWater: readCount(headers, HeaderName.LowWater),
        gate: readText(headers, HeaderName.Gate),
        customer: decodeURIComponent(readText(headers, HeaderName.Customer)),
        serviceClass: readClass(headers),
        isIdempotent: readText(headers, HeaderName.Idempotent) === "1",
        keyed: readText(headers, HeaderName.Keyed) === "1",
        deadlineAtMs: nowMs + readCount(headers, HeaderName.DeadlineMs),
    };
    return {
        attempt,
        endpointId: readText(headers, HeaderName.Endpoint),
        requestId: readText(headers, HeaderName.RequestId),
        fingerprint: readText(headers, HeaderName.Fingerprint),
    };
}

function readText(headers: HeaderFields, name: HeaderName): string {
    const value = headerValue(headers, name);
    if (value === undefined || value === "") {
        throw FleetError.create({ step: Step.Attempt, peer: name }, "missing header field");
    }
    return value;
}

function readCount(headers: HeaderFields, name: HeaderName): number {
    return parseCount(readText(headers, name), name);
}

function parseCount(text: string | undefined, name: HeaderName): number {
    const value = Number(text);
    if (!Number.isSafeInteger(value) || value < 0) {
        throw FleetError.create({ step: Step.Attempt, peer: name }, `found "${text}": not a whole number of at least 0`);
    }
    return value;
}

function readClass(headers: HeaderFields): ServiceClass {
    const text = readText(headers, HeaderName.Class);
    const found = findEnumValue(ServiceClass, text);
    if (found === undefined) {
        throw FleetError.create({ step: Step.Attempt, peer: HeaderName.Class }, `found "${text}": no such class`);
    }
    return found;
}
