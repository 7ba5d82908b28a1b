import { once } from "node:events";
import { createServer } from "node:net";

const FIRST_PORT = 10_000;
const PORTS = 20_000;
const PORTS_PER_PROCESS = 997;

let next = process.pid * PORTS_PER_PROCESS % PORTS;

/**
 * Finds ports on the loopback address that are free now and that the system does not give to outgoing connections.
 *
 * @param count - How many.
 * @returns Ports that this process has not been given before.
 * @example
 * const [port] = await findFreePorts(1);
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FIRST_PORT + next;
        next = (next + 1) % PORTS;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
}

async function isFree(port: number): Promise<boolean> {
    const server = createServer();
    try {
        server.listen(port, "127.0.0.1");
        await once(server, "listening");
        return true;
    }
    catch {
        return false;
    }
    finally {
        server.close();
    }
}
