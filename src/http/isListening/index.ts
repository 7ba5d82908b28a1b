import { connect } from "node:net";

const CONNECT_TIMEOUT_MS = 500;

/**
 * Returns whether a server accepts connections at an address.
 *
 * @param address - `host:port`.
 * @returns False if the connection is refused or times out.
 * @example
 * await isListening("127.0.0.1:8080");
 */
export function isListening(address: string): Promise<boolean> {
    const [host = "", port = ""] = address.split(":");
    return new Promise((resolve) => {
        const socket = connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
        const finish = (result: boolean): void => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => finish(true));
        socket.once("error", () => finish(false));
        socket.once("timeout", () => finish(false));
    });
}
