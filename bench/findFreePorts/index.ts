import { once } from "node:events";
import { createServer } from "node:net";

// Ports 10000 to 29999: below the range from which Linux by default takes the ports of outgoing connections.
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
// Processes with neighboring ids start their search this far apart, so that they rarely try the same port.
const PROCESS_STRIDE = 997;

let nextOffset = process.pid * PROCESS_STRIDE % PORT_COUNT;

/**
 * Finds ports on the loopback address that are free now and lie outside the range the system uses for outgoing
 * connections. Another process may still take a port before the caller listens on it.
 *
 * @param count - Number of ports.
 * @returns Free ports; a process gets the same port again only after its search has wrapped around the range.
 * @example
 * const [port] = await findFreePorts(1);
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = FIRST_PORT + nextOffset;
        nextOffset = (nextOffset + 1) % PORT_COUNT;
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
