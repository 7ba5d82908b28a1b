import { once } from "node:events";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { EndlessStream } from "../EndlessStream.js";
import { Tempo } from "../Tempo.js";

/** Size of the buffers in which pieces are sent at full speed. */
const FULL_BYTES = 65_536;
/** Bytes of pieces in each interval at a steady rate. */
const STEADY_BYTES = 6_000;
const INTERVAL_MS = 100;
/** Time between two buffers at full speed, in ms, so that the soak's own callers get their turns. */
const FULL_DELAY_MS = 4;

/**
 * Sends a stream on a socket until the socket closes or a signal ends it.
 *
 * @param socket - Open socket; it is not closed.
 * @param stream - What to send.
 * @param tempo - How fast.
 * @param signal - Ends the stream.
 * @returns Resolves when nothing more is sent.
 * @example
 * await sendEndlessly(socket, stream, Tempo.Full, AbortSignal.timeout(2_000));
 */
export async function sendEndlessly(socket: Socket, stream: EndlessStream, tempo: Tempo, signal: AbortSignal): Promise<void> {
    const { prefix, piece } = stream;
    const ends = new AbortController();
    const stop = (): void => ends.abort();
    signal.addEventListener("abort", stop, { once: true });
    socket.once("close", stop);
    socket.once("error", stop);
    if (signal.aborted || socket.destroyed) {
        return;
    }
    const pieces = repeat(piece, tempo);
    try {
        socket.write(prefix);
        while (!ends.signal.aborted && pieces.length > 0) {
            if (!socket.write(pieces)) {
                await once(socket, "drain", { signal: ends.signal });
            }
            await delay(tempo === Tempo.Full ? FULL_DELAY_MS : INTERVAL_MS, undefined, { signal: ends.signal });
        }
        if (!ends.signal.aborted) {
            await once(ends.signal, "abort");
        }
    }
    catch (thrown) {
        if (!ends.signal.aborted) {
            throw thrown;
        }
    }
    finally {
        signal.removeEventListener("abort", stop);
        socket.off("close", stop);
        socket.off("error", stop);
    }
}

function repeat(piece: Buffer, tempo: Tempo): Buffer {
    if (piece.length === 0) {
        return piece;
    }
    switch (tempo) {
        case Tempo.Full:
            return Buffer.concat(Array.from({ length: Math.ceil(FULL_BYTES / piece.length) }, () => piece));
        case Tempo.Steady:
            return Buffer.concat(Array.from({ length: Math.ceil(STEADY_BYTES / piece.length) }, () => piece));
        case Tempo.Trickle:
            return piece;
    }
}
