import { once } from "node:events";
import type { Socket } from "node:net";
import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { computeKeyProof } from "../../../src/links/computeKeyProof/index.js";
import { Envelope } from "../../../src/links/Envelope.js";
import { MessageKind } from "../../../src/links/MessageKind.js";
import { Role } from "../../../src/model/Role.js";

const TIMEOUT_MS = 2_000;

/**
 * Opens a link on a connected socket, as a process that knows the key of the fleet.
 *
 * @param socket - Connecting socket, on which frames may be written afterwards.
 * @param address - `host:port` of the other end.
 * @param vm - Name that the process gives itself.
 * @param fleetKey - Key of the fleet.
 * @returns Resolves when the link is open.
 * @throws Error if the other end opens no link in time.
 * @example
 * await openLink(socket, "127.20.1.1:7600", "odd-1", key);
 */
export async function openLink(socket: Socket, address: string, vm: string, fleetKey: string): Promise<void> {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const webSocket = new WebSocket(`ws://${address}`, { createConnection: () => socket, perMessageDeflate: false });
    webSocket.on("error", () => undefined);
    const [challenge] = await once(webSocket, "message", { signal }) as [Buffer];
    const { message } = new Unpackr({ useRecords: true }).unpack(challenge) as Envelope;
    if (message.kind !== MessageKind.Challenge) {
        throw new Error(`expected a challenge, got "${message.kind}"`);
    }
    const identity = { vm, startedAtMs: Date.now(), failureDomain: "a", roles: [Role.Proxy], linkAddress: "" };
    const hello = { kind: MessageKind.Hello, identity, nonce: vm, proof: computeKeyProof(fleetKey, message.nonce, vm) };
    webSocket.send(new Packr({ useRecords: true }).pack({ message: hello }));
    await once(webSocket, "message", { signal });
}
