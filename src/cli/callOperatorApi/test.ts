import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import test from "ava";
import { UNREADABLE_STATUSES } from "../../../test/fixtures/unreadableStatuses.js";
import { CommandError } from "../CommandError.js";
import { ExitCode } from "../ExitCode.js";
import { callOperatorApi } from "./index.js";

/** Starts a server that answers each request with a status line and an empty object. */
async function startServer(statusAndReason: string): Promise<{ readonly server: Server; readonly address: string }> {
    const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => socket.end(`HTTP/1.1 ${statusAndReason}\r\ncontent-length: 2\r\n\r\n{}`));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** Returns the exit code with which a call fails. */
async function findExitCode(address: string): Promise<ExitCode | undefined> {
    try {
        await callOperatorApi({ address, method: "GET", path: "/status" });
        return undefined;
    }
    catch (thrown) {
        return thrown instanceof CommandError ? thrown.exitCode : undefined;
    }
}

// Guards against a command that takes an answer without a valid status for a success, or for a refusal by the process.
UNREADABLE_STATUSES.forEach((status) => {
    test(`a process that answers with the status ${JSON.stringify(status)} counts as unreachable`, async (t) => {
        const { server, address } = await startServer(status);
        t.is(await findExitCode(address), ExitCode.Unreachable);
        server.close();
    });
});

test("a success is returned, and an error status is a refusal", async (t) => {
    const success = await startServer("200 OK");
    t.deepEqual(await callOperatorApi({ address: success.address, method: "GET", path: "/status" }), {});
    success.server.close();
    const refusal = await startServer("409 Conflict");
    t.is(await findExitCode(refusal.address), ExitCode.Refused);
    refusal.server.close();
});
