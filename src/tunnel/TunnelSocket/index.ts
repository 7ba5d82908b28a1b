import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { SocketBudget } from "../../frames/SocketBudget/index.js";
import { toError } from "../../model/toError/index.js";
import { Frame } from "../Frame.js";

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** WebSocket that carries frames, encoded as MessagePack. */
export class TunnelSocket {
    private constructor(
        private readonly socket: WebSocket,
        private readonly budget: SocketBudget,
        private readonly onSent: ((lengthBytes: number) => void) | undefined,
    ) {}

    /**
     * Wraps a WebSocket.
     *
     * @param socket - WebSocket that is open or connecting; watched by the budget.
     * @param budget - Bounds what the tunnels of this process hold.
     * @param onFrame - Called with each frame.
     * @param onClose - Called once with the reason when the socket is closed.
     * @param onError - Called with the error if a frame cannot be handled; the socket stays open for the others.
     * @param onSent - Called with the size of each frame that is sent.
     */
    static create(
        socket: WebSocket,
        budget: SocketBudget,
        onFrame: (frame: Frame) => void,
        onClose: (problem: string) => void,
        onError: (error: Error) => void,
        onSent?: (lengthBytes: number) => void,
    ): TunnelSocket {
        const tunnelSocket = new TunnelSocket(socket, budget, onSent);
        let problem = "the connection was closed";
        socket.on("message", (data: Buffer) => {
            let frame: Frame;
            try {
                budget.checkDecodedSize(data);
                frame = unpackr.unpack(data) as Frame;
            }
            catch (thrown) {
                problem = `invalid frame: ${toError(thrown).message}`;
                socket.terminate();
                return;
            }
            try {
                onFrame(frame);
            }
            catch (thrown) {
                onError(toError(thrown));
            }
        });
        socket.on("error", (error) => {
            problem = error.message;
        });
        socket.once("close", () => onClose(problem));
        return tunnelSocket;
    }

    /** True while frames can be sent. */
    get isOpen(): boolean {
        return this.socket.readyState === WebSocket.OPEN;
    }

    /** Sends a frame. Drops it if the socket is not open; closes the socket if its peer does not read. */
    send(frame: Frame): void {
        if (this.isOpen) {
            const data = packr.pack(frame);
            this.onSent?.(data.length);
            this.budget.send(this.socket, data);
        }
    }

    /** Closes the socket immediately. */
    close(): void {
        this.socket.terminate();
    }
}
