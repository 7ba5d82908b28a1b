import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { findFreePorts } from "../../../bench/findFreePorts/index.js";
import { collectGarbage } from "../../../test/fixtures/collectGarbage.js";
import { SocketBudget } from "../../frames/SocketBudget/index.js";
import { RequestKind } from "../../model/RequestKind.js";
import { Frame } from "../Frame.js";
import { FrameKind } from "../FrameKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { TUNNEL_LIMITS } from "../tunnelLimits.js";
import { WorkOffer } from "../WorkOffer.js";
import { TunnelServer } from "./index.js";

const MEGABYTE = 1_024 * 1_024;
const MAX_HELD_MEGABYTES = 40;
const MAX_ROUNDS = 20;
const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

interface Fixture {
    readonly send: (frame: Frame) => void;
    /** Resolves with the reply to an offer that satisfies a condition. */
    readonly waitForReply: (key: string, isWanted: (reply: GateReply) => boolean) => Promise<GateReply>;
    readonly refusals: string[];
}

async function start(t: ExecutionContext, answer: (offer: WorkOffer) => Buffer | undefined): Promise<Fixture> {
    const [port = 0] = await findFreePorts(1);
    const refusals: string[] = [];
    const recordRefusal = (holder: string): unknown => refusals.push(holder);
    const server = await TunnelServer.create({
        host: "127.0.0.1",
        port,
        token: "token",
        gateRun: "run-1",
        failureDomain: "a",
        gate: {
            offer: (offer, onReply) => {
                onReply({ kind: GateReplyKind.Granted });
                const body = answer(offer);
                const confirm = (): void => {
                    onReply({ kind: GateReplyKind.Started });
                    if (body !== undefined) {
                        onReply({ kind: GateReplyKind.Answered, answer: { status: 200, headers: [], body }, load: undefined });
                    }
                };
                return { cancel: () => undefined, confirm };
            },
        },
        budget: SocketBudget.create("tunnels", TUNNEL_LIMITS, recordRefusal),
        recordRefusal,
        onError: (error) => t.fail(error.message),
    });
    t.teardown(() => server.close());
    const socket = new WebSocket(`ws://127.0.0.1:${port}`, { perMessageDeflate: false, headers: { authorization: "token" } });
    t.teardown(() => socket.terminate());
    await once(socket, "open");
    const waitForReply = async (key: string, isWanted: (reply: GateReply) => boolean): Promise<GateReply> => {
        for (;;) {
            const [data] = await once(socket, "message", { signal: AbortSignal.timeout(5_000) }) as [Buffer];
            const frame = unpackr.unpack(data) as Frame;
            if (frame.kind === FrameKind.Reply && frame.key === key && isWanted(frame.reply)) {
                return frame.reply;
            }
        }
    };
    return { send: (frame) => socket.send(packr.pack(frame)), waitForReply, refusals };
}

function createOffer(key: string, bodyBytes: number): Frame {
    return { kind: FrameKind.Offer, offer: { key, requestKind: RequestKind.Once, body: Buffer.alloc(bodyBytes) } as unknown as WorkOffer };
}

// Guards against a process that runs out of memory because it keeps the bodies of uploads, and of their answers, for 30 s.
test("of offers that have ended, neither the bodies nor those of old replies stay in memory", async (t) => {
    const { send, waitForReply } = await start(t, () => Buffer.alloc(MEGABYTE));
    collectGarbage();
    const beforeBytes = process.memoryUsage().arrayBuffers;
    for (let index = 0; index < 60; index += 1) {
        send(createOffer(`${index}`, 2 * MEGABYTE));
        send({ kind: FrameKind.Confirm, key: `${index}` });
        await waitForReply(`${index}`, ({ kind }) => kind === GateReplyKind.Answered);
    }
    const measure = (): number => {
        collectGarbage();
        return (process.memoryUsage().arrayBuffers - beforeBytes) / MEGABYTE;
    };
    // The last replies may still be in the hands of the operating system.
    let heldMegabytes = measure();
    for (let round = 0; round < MAX_ROUNDS && heldMegabytes >= MAX_HELD_MEGABYTES; round += 1) {
        await delay(100);
        heldMegabytes = measure();
    }
    t.log(`${heldMegabytes.toFixed(0)} MB held`);
    t.true(heldMegabytes < MAX_HELD_MEGABYTES, `${heldMegabytes.toFixed(0)} MB held`);
    send({ kind: FrameKind.Resume, key: "0", gateRun: "run-1" });
    t.is((await waitForReply("0", () => true)).kind, GateReplyKind.Broken);
    send({ kind: FrameKind.Resume, key: "59", gateRun: "run-1" });
    t.is((await waitForReply("59", () => true)).kind, GateReplyKind.Answered);
});

// Guards against a process that runs out of memory because one entry offers more than any gate can queue.
test("offers whose bodies are too much together are refused as not executed, and accepted again when others have ended", async (t) => {
    const { send, waitForReply, refusals } = await start(t, () => Buffer.alloc(1));
    for (const key of ["1", "2", "3"]) {
        send(createOffer(key, 30 * MEGABYTE));
        const { kind } = await waitForReply(key, () => true);
        t.is(kind, key === "3" ? GateReplyKind.Refused : GateReplyKind.Granted);
    }
    send({ kind: FrameKind.Confirm, key: "1" });
    await waitForReply("1", ({ kind }) => kind === GateReplyKind.Answered);
    send(createOffer("4", 30 * MEGABYTE));
    t.is((await waitForReply("4", () => true)).kind, GateReplyKind.Granted);
    t.deepEqual(refusals, ["bytes of offers"]);
});
