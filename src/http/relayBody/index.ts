import type { Readable, Writable } from "node:stream";
import { AnswerVerifier } from "../AnswerVerifier/index.js";

/**
 * Relays a body with back-pressure and keeps its last piece back until the whole is verified, so that a receiver
 * never sees a clean end of a body that is not whole.
 *
 * @param source - Body to read.
 * @param sink - Where to write; not ended.
 * @param verifier - Checks what is written; may have taken earlier pieces already.
 * @returns True if the body is whole; false if it is not, its last piece then being withheld.
 * @throws Error if the source or the sink breaks.
 * @example
 * if (await relayBody(answer.body, response, verifier)) { response.end(); }
 */
export async function relayBody(source: Readable, sink: Writable, verifier: AnswerVerifier): Promise<boolean> {
    let held: Buffer | undefined;
    for await (const chunk of source as AsyncIterable<Buffer>) {
        if (held !== undefined) {
            verifier.update(held);
            await write(sink, held);
        }
        held = chunk;
    }
    if (held !== undefined) {
        verifier.update(held);
    }
    if (!verifier.matches()) {
        return false;
    }
    if (held !== undefined) {
        await write(sink, held);
    }
    return true;
}

function write(sink: Writable, chunk: Buffer): Promise<void> {
    if (sink.destroyed) {
        return Promise.reject(new Error("the receiver is gone"));
    }
    if (sink.write(chunk)) {
        return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
        const finish = (): void => {
            sink.off("drain", finish);
            sink.off("close", finish);
            if (sink.destroyed) {
                reject(new Error("the receiver is gone"));
            }
            else {
                resolve();
            }
        };
        sink.on("drain", finish);
        sink.on("close", finish);
    });
}
