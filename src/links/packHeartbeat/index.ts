import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";

/**
 * Packs a heartbeat into a list of numbers. Heartbeats pass over every link each second, most of them between failure
 * domains, and the names of the fields take six times as many bytes as the values.
 *
 * @param heartbeat - The heartbeat.
 * @returns Its numbers, to be read with `unpackHeartbeat`.
 * @example
 * packHeartbeat({ kind: MessageKind.Heartbeat, sequence: 7, heard: 6, position }); // [7, 6, 0, 12, 0]
 */
export function packHeartbeat({ sequence, heard, position }: Extract<Message, { kind: MessageKind.Heartbeat }>): readonly number[] {
    return [sequence, heard, position.term, position.version, position.manifestVersion];
}
