/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { once } from "node:events";
import { createServer } from "node:net";

const MAX_TRIES = 50;
/** Ports of a machine; the metrics port is fixed by the settings template. */
const PORTS = { control: 8620, inbound: 8624, ready: 8625, app: 8628, outbound: 8629, internal: 7600, gate: 7601, metrics: 9464 };

/**
 * Chooses a block of loopback addresses on which all ports of the machines are free.
 *
 * @param machineCount - Number of machines, each with an address of its own.
 * @returns The ports, and a function from the number of a machine to its address.
 */
export async function chooseNetwork(machineCount) {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
        const block = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const addressOf = (machine) => `${block}.${machine + 1}`;
        if (await isBlockFree(machineCount, addressOf)) {
            return { ports: PORTS, addressOf };
        }
    }
    throw new Error("no free block of loopback addresses");
}

async function isBlockFree(machineCount, addressOf) {
    for (let machine = 0; machine < machineCount; machine += 1) {
        for (const port of Object.values(PORTS)) {
            if (!await isFree(addressOf(machine), port)) {
                return false;
            }
        }
    }
    return true;
}

async function isFree(host, port) {
    const server = createServer();
    server.listen(port, host);
    try {
        await once(server, "listening");
    }
    catch {
        return false;
    }
    server.close();
    await once(server, "close");
    return true;
}
