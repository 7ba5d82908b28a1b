import type { Readable, Writable } from "node:stream";
import { BodyVerifier } from "../BodyVerifier/index.js";

/**
 * Relays a body with backpressure. Withholds the last chunk until the body is verified, so that the receiver never sees
 * a clean end of an incomplete body.
 *
 * @param source - Body to read.
 * @param sink - Stream to write to; it is not ended.
 * @param verifier - Verifies the body; may already have received earlier chunks.
 * @returns True if the body is complete and matches its header; if false, its last chunk was not written.
 * @throws Error if the source or the sink fails.
 * @example
 * if (await relayBody(backendResponse.body, response, verifier)) { response.end(); }
 */
export async function relayBody(source: Readable, sink: Writable, verifier: BodyVerifier): Promise<boolean> {
    let pendingChunk: Buffer | undefined;
    for await (const chunk of source as AsyncIterable<Buffer>) {
        if (pendingChunk !== undefined) {
            verifier.update(pendingChunk);
            await write(sink, pendingChunk);
        }
        pendingChunk = chunk;
    }
    if (pendingChunk !== undefined) {
        verifier.update(pendingChunk);
    }
    if (!verifier.matches()) {
        return false;
    }
    if (pendingChunk !== undefined) {
        await write(sink, pendingChunk);
    }
    return true;
}

function write(sink: Writable, chunk: Buffer): Promise<void> {
    if (sink.destroyed) {
        return Promise.reject(new Error("the receiver closed the connection"));
    }
    if (sink.write(chunk)) {
        return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
        const finish = (): void => {
            sink.off("drain", finish);
            sink.off("close", finish);
            if (sink.destroyed) {
                reject(new Error("the receiver closed the connection"));
            }
            else {
                resolve();
            }
        };
        sink.on("drain", finish);
        sink.on("close", finish);
    });
}
