import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import test from "ava";
import { isServerLost } from "./index.js";

async function listen(): Promise<{ readonly server: Server; readonly address: string }> {
    const server = createServer((socket) => socket.destroy());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

test("a server that closes its port a moment after a connection is lost", async (t) => {
    const { server, address } = await listen();
    let looks = 0;
    server.on("connection", () => {
        looks += 1;
        server.close();
    });
    t.true(await isServerLost(address));
    t.is(looks, 1);
});

test("a server that takes the next connection is not lost", async (t) => {
    const { server, address } = await listen();
    t.false(await isServerLost(address));
    server.close();
});
