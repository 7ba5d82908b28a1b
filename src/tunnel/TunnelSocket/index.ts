import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { toError } from "../../model/toError/index.js";
import { Frame } from "../Frame.js";

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** One WebSocket that carries frames. */
export class TunnelSocket {
    private constructor(private readonly socket: WebSocket) {}

    /**
     * Wraps a socket.
     *
     * @param socket - Socket, open or opening.
     * @param onFrame - Told of each frame.
     * @param onClose - Told once that the socket is gone, and why.
     */
    static create(socket: WebSocket, onFrame: (frame: Frame) => void, onClose: (problem: string) => void): TunnelSocket {
        const tunnel = new TunnelSocket(socket);
        let problem = "the connection was closed";
        socket.on("message", (data: Buffer) => {
            try {
                onFrame(unpackr.unpack(data) as Frame);
            }
            catch (thrown) {
                problem = `bad frame: ${toError(thrown).message}`;
                socket.terminate();
            }
        });
        socket.on("error", (error) => {
            problem = error.message;
        });
        socket.once("close", () => onClose(problem));
        return tunnel;
    }

    /** True while frames can be sent. */
    get isOpen(): boolean {
        return this.socket.readyState === WebSocket.OPEN;
    }

    /** Sends a frame; lost if the socket is not open. */
    send(frame: Frame): void {
        if (this.isOpen) {
            this.socket.send(packr.pack(frame));
        }
    }

    /** Closes the socket at once. */
    close(): void {
        this.socket.terminate();
    }
}
