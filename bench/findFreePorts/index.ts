import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/**
 * Finds ports on the loopback address that are free now.
 *
 * @param count - How many.
 * @returns Distinct ports.
 * @example
 * const [port] = await findFreePorts(1);
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createServer().listen(0, "127.0.0.1");
        await once(server, "listening");
        return server;
    }));
    const ports = servers.map((server) => (server.address() as AddressInfo).port);
    await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
    return ports;
}
