import type { ServerResponse } from "node:http";
import { BodyStream } from "../../backend/BodyStream.js";

interface StreamCallbacks {
    /** Called with the size of each piece that waits for its caller. */
    readonly onHeld: (bytes: number) => void;
    /** Called with the size of each piece that was handed to the operating system. */
    readonly onTaken: (bytes: number) => void;
    /** Called if the body is not whole. */
    readonly onBroken: (problem: string) => void;
}

/**
 * Writes a body that comes in pieces, as fast as its caller reads. One that breaks off resets the connection: without a length, a
 * caller of HTTP/1.0 would take an orderly end for the end of the body.
 *
 * @param response - Response of the HTTP server, whose head is written.
 * @param body - Body to write.
 * @param callbacks - Functions to call back.
 * @example
 * streamResponse(response, answer.stream, callbacks);
 */
export function streamResponse(response: ServerResponse, body: BodyStream, { onHeld, onTaken, onBroken }: StreamCallbacks): void {
    const { socket } = response.req;
    body.start({
        handleChunk: (chunk) => {
            onHeld(chunk.length);
            response.write(chunk, () => {
                onTaken(chunk.length);
                body.grant(chunk.length);
            });
        },
        handleEnd: (problem) => {
            if (problem === undefined) {
                response.end();
                return;
            }
            onBroken(problem);
            socket.resetAndDestroy();
        },
    });
}
