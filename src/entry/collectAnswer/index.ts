import { BodyVerifier } from "../../http/BodyVerifier/index.js";
import { collectBody } from "../../http/collectBody/index.js";
import { PooledResponse } from "../../http/PooledResponse.js";
import { Outcome } from "../../model/Outcome.js";
import { CollectedAnswer } from "../CollectedAnswer.js";

/**
 * Reads an answer into memory and checks it.
 *
 * @param answer - Answer whose body is not longer than the limit.
 * @param outcome - What the gate said of the attempt.
 * @param bodiless - Whether the answer has no body whatever its header says.
 * @param maxBytes - Most bytes to take.
 * @returns The answer and whether it is sound, or undefined if its body broke off.
 * @example
 * const collected = await collectAnswer(answer, Outcome.Ran, false, 65_536);
 */
export async function collectAnswer(
    answer: PooledResponse,
    outcome: Outcome,
    bodiless: boolean,
    maxBytes: number,
): Promise<CollectedAnswer | undefined> {
    let body: Buffer | undefined;
    try {
        body = await collectBody(answer.body, maxBytes);
    }
    catch {
        return undefined;
    }
    const whole = body ?? Buffer.alloc(0);
    const verifier = BodyVerifier.create(answer.headers);
    verifier.update(whole);
    const { status, headers } = answer;
    return { answer: { status, headers, outcome, body: whole }, isSound: bodiless || verifier.matches() };
}
