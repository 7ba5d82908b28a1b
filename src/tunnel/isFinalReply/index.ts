import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";

/**
 * Returns whether a reply is the last one to an offer.
 *
 * @param reply - Reply of the gate.
 * @returns True if no further reply follows.
 * @example
 * isFinalReply({ kind: GateReplyKind.Queued }); // false
 */
export function isFinalReply(reply: GateReply): boolean {
    return reply.kind === GateReplyKind.Refused || reply.kind === GateReplyKind.Answered || reply.kind === GateReplyKind.Broken;
}
