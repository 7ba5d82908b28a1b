import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";

/**
 * Tells whether a gate has finished with an offer.
 *
 * @param reply - What the gate said.
 * @returns True if nothing more follows.
 * @example
 * isFinalReply({ kind: GateReplyKind.Queued }); // false
 */
export function isFinalReply(reply: GateReply): boolean {
    return reply.kind === GateReplyKind.Refused || reply.kind === GateReplyKind.Answered || reply.kind === GateReplyKind.Broken;
}
