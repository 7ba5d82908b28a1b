import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";

/**
 * Unpacks a heartbeat that `packHeartbeat` has packed.
 *
 * @param numbers - What was received.
 * @param peer - Sender, for errors.
 * @returns The heartbeat.
 * @throws FleetError if it is not a packed heartbeat.
 * @example
 * unpackHeartbeat([7, 6, 0, 12, 0], "vm-1"); // { kind: MessageKind.Heartbeat, sequence: 7, heard: 6, … }
 */
export function unpackHeartbeat(numbers: readonly unknown[], peer: string): Message {
    const [sequence, heard, term, version, manifestVersion] = numbers.filter((value): value is number => Number.isFinite(value));
    if (sequence === undefined || heard === undefined || term === undefined || version === undefined || manifestVersion === undefined) {
        throw FleetError.create({ step: Step.Link, peer }, "not a heartbeat");
    }
    return { kind: MessageKind.Heartbeat, sequence, heard, position: { term, version, manifestVersion } };
}
