import { once } from "node:events";
import { Agent, type IncomingHttpHeaders, request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { startFleet, type StartedFleet } from "./fixtures/startFleet.js";
import { UNREADABLE_STATUSES } from "./fixtures/unreadableStatuses.js";

const GRACE_MS = 6_000;
const REQUEST_ID = /attempt-id: (\S+)/i;

interface CallerResult {
    /** Status of the answer, or undefined if the connection ended without a complete one. */
    readonly status: number | undefined;
    readonly body: string;
    readonly headers: IncomingHttpHeaders;
}

interface Fixture extends StartedFleet {
    /** Ids of the requests that the backend server has got, in their order. */
    readonly arrivals: string[];
    readonly call: (kind: string, id: string, agent?: Agent) => Promise<CallerResult>;
}

/** Runs a fleet in front of a backend server whose handler gets the id of the request, and its number on its connection. */
async function withFleet(
    onRequest: (socket: Socket, id: string, number: number) => void,
    run: (fixture: Fixture) => Promise<void>,
    hasSecondGate = false,
): Promise<void> {
    const arrivals: string[] = [];
    const server = createServer({ allowHalfOpen: false }, (socket) => {
        let count = 0;
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            const id = REQUEST_ID.exec(chunk.toString())?.[1] ?? "";
            count += 1;
            arrivals.push(id);
            onRequest(socket, id, count);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const fleet = await startFleet((server.address() as AddressInfo).port, GRACE_MS, { hasSecondGate });
    try {
        await run({ ...fleet, arrivals, call: (kind, id, agent) => call(fleet.callerAddress, kind, id, agent) });
    }
    finally {
        server.close();
        await fleet.close();
    }
}

function call(address: StartedFleet["callerAddress"], kind: string, id: string, agent?: Agent): Promise<CallerResult> {
    return new Promise((resolve) => {
        const fail = (): void => resolve({ status: undefined, body: "", headers: {} });
        const sent = request({
            ...address,
            agent: agent ?? false,
            path: "/p",
            headers: { "Host": `${kind}.example`, "Attempt-Id": id, "Deadline-Ms": "2500" },
        }, (response) => {
            let body = "";
            response.on("data", (chunk: Buffer) => {
                body += chunk.toString();
            });
            const { headers } = response;
            response.on("end", () => resolve({ status: response.complete ? response.statusCode : undefined, body, headers }));
            response.on("error", fail);
        });
        sent.on("error", fail);
        sent.end();
    });
}

function success(id: string, body: string): string {
    return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function refusal(...ids: readonly string[]): string {
    const fields = ids.map((id) => `Attempt-Id: ${id}\r\n`).join("");
    return `HTTP/1.1 503 Busy\r\n${fields}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;
}

for (const [description, copy] of [["with its id", refusal("1")], ["without an id", refusal()]] as const) {
    test.serial(`a refusal that comes once more ${description} on a kept connection does not make the next request "not run"`, async (t) => {
        await withFleet((socket, id, number) => {
            if (id === "1") {
                socket.write(refusal(id));
                return;
            }
            if (number > 1) {
                socket.write(copy);
            }
            setTimeout(() => socket.write(success(id, "it ran")), 50);
        }, async ({ arrivals, call: send }) => {
            t.is((await send("once", "1")).status, 503);
            const result = await send("once", "2");
            t.true(result.status === 502 || (result.status === 200 && result.body === "it ran"), JSON.stringify(result));
            t.deepEqual(arrivals, ["1", "2"]);
        });
    });
}

test.serial("a response that is cut anywhere in its head never reaches a caller as a success", async (t) => {
    const head = "HTTP/1.1 200 OK\r\nAttempt-Id: 00\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n";
    const results: (CallerResult & { readonly id: string })[] = [];
    await withFleet((socket, id) => {
        const [kind, cut] = id.split("-");
        if (kind === "whole") {
            socket.write(success(id, "whole"));
            return;
        }
        socket.write(head.replace("Attempt-Id: 00", `Attempt-Id: ${id}`).slice(0, Number(cut)));
        if (kind === "reset") {
            socket.resetAndDestroy();
        }
        else {
            socket.end();
        }
    }, async ({ call: send }) => {
        for (let cut = 0; cut < head.length; cut += 1) {
            for (const kind of ["end", "reset"]) {
                t.is((await send("repeatable", `whole-${cut}`)).body, "whole");
                const id = `${kind}-${cut}`;
                results.push({ id, ...await send("once", id) });
            }
        }
    });
    t.deepEqual(results.filter(({ status = 200 }) => status < 500), []);
});

const UNREADABLE_LENGTHS = ["1x", "+18", "-18", "", "1e1", "18, 18", "0x12"];

// Guards against a success without its body: an unreadable length was taken for a length of zero.
test.serial("a response with an unreadable length never reaches a caller as a success", async (t) => {
    const results: { readonly length: string; readonly status: number | undefined; readonly body: string }[] = [];
    await withFleet((socket, id) => {
        const [kind, index] = id.split("-");
        const text = success(id, "eighteen bytes: ok");
        socket.write(kind === "whole" ? text : text.replace("Content-Length: 18", `Content-Length: ${UNREADABLE_LENGTHS[Number(index)]}`));
    }, async ({ call: send }) => {
        for (const [index, length] of UNREADABLE_LENGTHS.entries()) {
            const { status, body } = await send("once", `spoiled-${index}`);
            results.push({ length, status, body });
            t.is((await send("repeatable", `whole-${index}`)).body, "eighteen bytes: ok");
        }
    });
    t.deepEqual(results, UNREADABLE_LENGTHS.map((length) => ({ length, status: 502, body: "" })));
});

/** A response whose status line has a given text in place of its status and its reason. */
function misstated(id: string, statusIndex: number): string {
    return success(id, "done").replace("200 OK", UNREADABLE_STATUSES[statusIndex] ?? "");
}

// Guards against a success that no endpoint stated, and against callers that wait until their deadline of 2.5 s for the rest of a
// response that is wrong already.
test.serial("a response with an unreadable status gets its caller 502 at once", async (t) => {
    await withFleet((socket, id) => {
        const [kind, index, pieces] = id.split("-");
        const text = kind === "whole" ? success(id, "done") : misstated(id, Number(index));
        if (pieces === "2") {
            // The first piece ends within the status.
            socket.write(text.slice(0, 11));
            setTimeout(() => socket.write(text.slice(11)), 20);
            return;
        }
        socket.write(text);
    }, async ({ arrivals, call: send }) => {
        for (const [index, status] of UNREADABLE_STATUSES.entries()) {
            for (const pieces of [1, 2]) {
                const id = `misstated-${index}-${pieces}`;
                const startedAtMs = Date.now();
                const result = await send("once", id);
                t.deepEqual({ status: result.status, body: result.body }, { status: 502, body: "" }, status);
                t.true(Date.now() - startedAtMs < 2_000, status);
                t.is(arrivals.filter((arrival) => arrival === id).length, 1);
                t.is((await send("repeatable", `whole-${index}`)).body, "done");
            }
        }
    });
});

test.serial("a request that may be repeated is sent to another endpoint after a response with an unreadable status", async (t) => {
    const seen = new Set<string>();
    await withFleet((socket, id) => {
        const isFirst = !seen.has(id);
        seen.add(id);
        socket.write(isFirst && id.startsWith("misstated") ? misstated(id, Number(id.split("-")[1])) : success(id, "done"));
    }, async ({ arrivals, call: send }) => {
        for (const [index, status] of UNREADABLE_STATUSES.entries()) {
            const id = `misstated-${index}`;
            const result = await send("repeatable", id);
            t.deepEqual({ status: result.status, body: result.body }, { status: 200, body: "done" }, status);
            t.is(arrivals.filter((arrival) => arrival === id).length, 2, status);
            // A response of each endpoint that is right, so that neither is taken for faulty.
            await Promise.all([1, 2, 3, 4].map((number) => send("repeatable", `whole-${index}-${number}`)));
        }
    }, true);
});

const UNWRITABLE_FIELDS = ["X-Node: a\x01b", "X-Node: a\x00b", "X(Node): a"];

// Guards against callers that get no answer until they give up: Node.js refuses to write such a field.
test.serial("a response with a header field that cannot be written ends as a failure at once, and others on the tunnel go on", async (t) => {
    await withFleet((socket, id) => {
        const text = success(id, "done");
        if (id.startsWith("slow")) {
            setTimeout(() => socket.write(text), 500);
            return;
        }
        socket.write(text.replace("Response-Signature", `${UNWRITABLE_FIELDS[Number(id)]}\r\nResponse-Signature`), "latin1");
    }, async ({ arrivals, call: send }) => {
        const slow = [1, 2].map((number) => send("once", `slow-${number}`));
        while (arrivals.length < slow.length) {
            await delay(10);
        }
        for (const index of UNWRITABLE_FIELDS.keys()) {
            const startedAtMs = Date.now();
            t.is((await send("once", String(index))).status, 502);
            t.true(Date.now() - startedAtMs < 1_000);
        }
        t.deepEqual((await Promise.all(slow)).map(({ body }) => body), ["done", "done"]);
    });
});

test.serial("a header field in UTF-8 reaches the caller byte for byte", async (t) => {
    const author = Buffer.from("MU\u00d1OZ", "utf8");
    await withFleet((socket, id) => {
        const [head, tail] = success(id, "done").split("Response-Signature");
        socket.write(Buffer.concat([Buffer.from(`${head}X-Author: `), author, Buffer.from(`\r\nResponse-Signature${tail}`)]));
    }, async ({ call: send }) => {
        const { status, headers } = await send("once", "1");
        t.is(status, 200);
        t.is(headers["x-author"], author.toString("latin1"));
    });
});

test.serial("in a planned stop of an entry every request that has reached the endpoint gets a complete answer", async (t) => {
    const results: { readonly id: string; readonly status: number | undefined; readonly sentAtMs: number }[] = [];
    await withFleet((socket, id) => {
        setTimeout(() => socket.write(success(id, "done")), 400);
    }, async ({ entry, arrivals, call: send }) => {
        const agent = new Agent({ keepAlive: true, maxSockets: 20 });
        const calls: Promise<void>[] = [];
        const sendAt = async (id: string, sentAtMs: number, used?: Agent): Promise<void> => {
            const { status } = await send("once", id, used);
            results.push({ id, status, sentAtMs });
        };
        await Promise.all([1, 2, 3].map((number) => sendAt(`warm-${number}`, 0, agent)));
        const stopped = entry.stop();
        for (let atMs = 0; atMs < GRACE_MS; atMs += 50) {
            calls.push(sendAt(`kept-${atMs}`, atMs, agent), sendAt(`new-${atMs}`, atMs));
            await delay(50);
        }
        await Promise.all(calls);
        await stopped;
        agent.destroy();
        const unanswered = results.filter(({ id, status }) => arrivals.includes(id) && status !== 200);
        t.log(`${results.length} requests, ${arrivals.length} reached the endpoint, ${results.filter(({ status }) => status === 503).length} refused`);
        t.deepEqual(unanswered, []);
        t.is(new Set(arrivals).size, arrivals.length);
    });
});
