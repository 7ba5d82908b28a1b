import { BodyVerifier } from "../../http/BodyVerifier/index.js";
import { collectBody } from "../../http/collectBody/index.js";
import { PooledResponse } from "../../http/PooledResponse.js";
import { Outcome } from "../../model/Outcome.js";
import { CollectedAnswer } from "../CollectedAnswer.js";

/**
 * Reads an answer into memory and verifies its length and digest.
 *
 * @param answer - Answer whose body does not exceed the limit.
 * @param outcome - Outcome of the attempt, as reported by the gate.
 * @param hasNoBody - Whether the answer has no body regardless of its header fields.
 * @param maxBytes - Maximum length of the body, in bytes.
 * @returns The answer and whether it is intact, or undefined if its body was interrupted.
 * @example
 * const collected = await collectAnswer(answer, Outcome.Ran, false, 65_536);
 */
export async function collectAnswer(
    answer: PooledResponse,
    outcome: Outcome,
    hasNoBody: boolean,
    maxBytes: number,
): Promise<CollectedAnswer | undefined> {
    let body: Buffer | undefined;
    try {
        body = await collectBody(answer.body, maxBytes);
    }
    catch {
        return undefined;
    }
    const content = body ?? Buffer.alloc(0);
    const verifier = BodyVerifier.create(answer.headers);
    verifier.update(content);
    const { status, headers } = answer;
    return { answer: { status, headers, outcome, body: content }, isIntact: hasNoBody || verifier.matches() };
}
