import { once } from "node:events";
import { closeSync, constants, mkdirSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { execFileSync } from "node:child_process";
import { connect, createServer, type Server } from "node:net";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { isListening } from "../src/http/isListening/index.js";
import { reserveBlock } from "./fixtures/reserveBlock.js";
import { TEST_PORTS } from "./fixtures/testPorts.js";
import { TestProcess } from "./fixtures/TestProcess.js";
import { TestSettings } from "./fixtures/TestSettings.js";

const IP = `${await reserveBlock("127.224.1")}.1`;
/** Number of descriptors of a process that is short of them. */
const MAX_FDS = 40;
const LISTENING_PORTS = {
    proxy: ["link", "tunnel", "control", "outbound", "ready", "metrics"],
    control: ["link", "control", "metrics"],
} as const;

async function hold(ip: string, port: number): Promise<Server> {
    const server = createServer((socket) => socket.destroy());
    server.listen(port, ip);
    await once(server, "listening");
    return server;
}

// Guards against a process that ends, and is started again and again, while an earlier process still closes its ports.
for (const role of ["proxy", "control"] as const) {
    for (const port of LISTENING_PORTS[role]) {
        test.serial(`a ${role} whose ${port} port is held at its start waits for it, says so, and starts once it is free`, async (t) => {
            const settings = TestSettings.create(role, IP);
            const holder = await hold(IP, TEST_PORTS[port]);
            const started = TestProcess.start(role, settings.path);
            t.teardown(async () => {
                await started.kill();
                holder.close();
                settings.remove();
            });
            t.true(await started.waitFor("StartDelayed"), started.text);
            t.regex(String(started.find("StartDelayed")[0]?.what), new RegExp(`:${TEST_PORTS[port]}$`));
            await delay(500);
            t.is(started.find("StartDelayed").length, 1);
            t.is(started.exit, undefined);
            // The role doesn't depend on the metrics.
            t.is(started.find("DaemonStarted").length, port === "metrics" ? 1 : 0);
            holder.close();
            t.true(await started.waitFor("DaemonStarted"), started.text);
            t.true(await started.waitUntil(() => isListening(`${IP}:${TEST_PORTS[port]}`)));
        });
    }
}

for (const role of ["proxy", "control"] as const) {
    test.serial(`a SIGTERM ends a ${role} that waits for a port, with code 0 and without a wait`, async (t) => {
        const settings = TestSettings.create(role, IP);
        const holder = await hold(IP, TEST_PORTS.link);
        const started = TestProcess.start(role, settings.path);
        t.teardown(async () => {
            await started.kill();
            holder.close();
            settings.remove();
        });
        t.true(await started.waitFor("StartDelayed"), started.text);
        started.child.kill("SIGTERM");
        t.deepEqual(await started.waitForExit(1_500), { code: 0, signal: null }, started.text);
    });

    test.serial(`a SIGTERM in the middle of the start of a ${role} stops it as later ones do`, async (t) => {
        const settings = TestSettings.create(role, IP);
        const started = TestProcess.start(role, settings.path);
        t.teardown(async () => {
            await started.kill();
            settings.remove();
        });
        await started.waitUntil(() => isListening(`${IP}:${TEST_PORTS.link}`));
        started.child.kill("SIGTERM");
        t.deepEqual(await started.waitForExit(), { code: 0, signal: null }, started.text);
    });
}

/** Returns a descriptor for writing to a pipe that is full and that nobody reads. */
function openFullPipe(path: string): { readonly fd: number; readonly close: () => void } {
    execFileSync("mkfifo", [path]);
    const reader = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
    try {
        for (;;) {
            writeSync(reader, Buffer.alloc(4_096, "z"));
        }
    }
    catch {
        const fd = openSync(path, "w");
        return {
            fd,
            close: () => {
                closeSync(fd);
                closeSync(reader);
            },
        };
    }
}

// Guards against a process that stays after its stop: its exit waits for the thread that writes the log.
for (const role of ["proxy", "control"] as const) {
    test.serial(`a ${role} whose log nobody reads starts, and is gone soon after it has stopped`, async (t) => {
        const settings = TestSettings.create(role, IP);
        const pipe = openFullPipe(join(settings.folder, "stdout"));
        const started = TestProcess.start(role, settings.path, ["ignore", pipe.fd, "ignore"]);
        t.teardown(async () => {
            await started.kill();
            pipe.close();
            settings.remove();
        });
        t.true(await started.waitUntil(() => isListening(`${IP}:${TEST_PORTS.control}`)));
        await delay(500);
        started.child.kill("SIGTERM");
        t.not(await started.waitForExit(6_000), undefined);
    });

    test.serial(`a ${role} whose log has lost its reader starts and stops`, async (t) => {
        const settings = TestSettings.create(role, IP);
        const started = TestProcess.start(role, settings.path);
        started.child.stdout?.destroy();
        started.child.stderr?.destroy();
        t.teardown(async () => {
            await started.kill();
            settings.remove();
        });
        t.true(await started.waitUntil(() => isListening(`${IP}:${TEST_PORTS.control}`)));
        started.child.kill("SIGTERM");
        t.deepEqual(await started.waitForExit(6_000), { code: 0, signal: null });
    });
}

test.serial("a control VM whose data folder is not there yet says so, answers 503, and starts once it is", async (t) => {
    const settings = TestSettings.create("control", IP);
    writeFileSync(settings.dataFolder, "a file in its place");
    const started = TestProcess.start("control", settings.path);
    t.teardown(async () => {
        await started.kill();
        settings.remove();
    });
    t.true(await started.waitFor("StartDelayed"), started.text);
    t.regex(String(started.find("StartDelayed")[0]?.what), /data folder/);
    t.is((await fetch(`http://${IP}:${TEST_PORTS.control}/config`)).status, 503);
    rmSync(settings.dataFolder);
    t.true(await started.waitFor("DaemonStarted"), started.text);
});

test.serial("a control VM whose disk hangs at the start says so, answers 503, and can be stopped", async (t) => {
    const settings = TestSettings.create("control", IP);
    mkdirSync(settings.dataFolder);
    // A read of a pipe that nobody writes hangs as one of a faulty disk does.
    execFileSync("mkfifo", [join(settings.dataFolder, "identity")]);
    const started = TestProcess.start("control", settings.path);
    t.teardown(async () => {
        await started.kill();
        settings.remove();
    });
    t.true(await started.waitFor("StartDelayed"), started.text);
    t.is((await fetch(`http://${IP}:${TEST_PORTS.control}/config`)).status, 503);
    started.child.kill("SIGTERM");
    t.not(await started.waitForExit(3_000), undefined, started.text);
    t.is(started.find("ProcessEnding")[0]?.reason, "stopped");
});

const CORRUPT_FILES: Readonly<Record<string, Buffer>> = {
    "identity": Buffer.alloc(0),
    "hard-state": Buffer.alloc(0),
    "snapshot": Buffer.from("noise"),
    // A record with a wrong checksum before an intact one.
    "log": Buffer.concat([Buffer.from([0, 0, 0, 1, 0, 0, 0, 0, 97]), Buffer.from([0, 0, 0, 1, 0xe8, 0xb7, 0xbe, 0x43, 97])]),
};

for (const [name, content] of Object.entries(CORRUPT_FILES)) {
    test.serial(`a control VM whose ${name} is corrupt ends with one line that names it`, async (t) => {
        const settings = TestSettings.create("control", IP);
        mkdirSync(settings.dataFolder);
        writeFileSync(join(settings.dataFolder, name), content);
        const started = TestProcess.start("control", settings.path);
        t.teardown(async () => {
            await started.kill();
            settings.remove();
        });
        t.deepEqual(await started.waitForExit(5_000), { code: 1, signal: null }, started.text);
        const [line] = started.find("ProcessEnding");
        t.is(line?.reason, "start-failed");
        t.true(String(line?.problem).includes(name), started.text);
    });
}

for (const content of [undefined, "", "[vm]\nname = \"control"]) {
    test.serial(`a process whose settings are ${content === undefined ? "missing" : content === "" ? "empty" : "cut"} waits for them`, async (t) => {
        const settings = TestSettings.create("control", IP);
        rmSync(settings.path);
        if (content !== undefined) {
            writeFileSync(settings.path, content);
        }
        const started = TestProcess.start("control", settings.path);
        t.teardown(async () => {
            await started.kill();
            settings.remove();
        });
        t.true(await started.waitFor("StartDelayed"), started.text);
        t.regex(String(started.find("StartDelayed")[0]?.what), /settings/);
        writeFileSync(settings.path, settings.text);
        t.true(await started.waitFor("DaemonStarted"), started.text);
    });
}

// Guards against a process that a crowd of connections ends.
for (const role of ["proxy", "control"] as const) {
    test.serial(`a ${role} that has used up its descriptors goes on, and answers again once it has some`, async (t) => {
        const settings = TestSettings.create(role, IP);
        const started = TestProcess.start(role, settings.path, ["ignore", "pipe", "pipe"], MAX_FDS);
        t.teardown(async () => {
            await started.kill();
            settings.remove();
        });
        t.true(await started.waitFor("DaemonStarted"), started.text);
        const sockets = Array.from({ length: 3 * MAX_FDS }, () => connect(TEST_PORTS.control, IP));
        sockets.forEach((socket) => socket.on("error", () => undefined));
        await delay(2_500);
        sockets.forEach((socket) => socket.destroy());
        t.is(started.exit, undefined, started.text);
        const answers = (): Promise<boolean> => fetch(`http://${IP}:${TEST_PORTS.control}/other`).then(({ status }) => status === 404, () => false);
        t.true(await started.waitUntil(answers), started.text);
        t.deepEqual(started.find("UnexpectedError"), []);
    });
}

// Guards against a process that a predecessor, its connections in TIME_WAIT or its unfinished stop keep from starting.
test.serial("a process that is killed and started again and again, also while its predecessor still stops, starts each time", async (t) => {
    const settings = TestSettings.create("control", IP);
    const all: TestProcess[] = [];
    t.teardown(async () => {
        await Promise.all(all.map((started) => started.kill()));
        settings.remove();
    });
    for (const signal of ["SIGKILL", "SIGTERM", "SIGKILL", "SIGTERM"] as const) {
        const started = TestProcess.start("control", settings.path);
        all.push(started);
        t.true(await started.waitFor("DaemonStarted"), started.text);
        await fetch(`http://${IP}:${TEST_PORTS.control}/other`, { headers: { connection: "close" } });
        started.child.kill(signal);
    }
    const last = TestProcess.start("control", settings.path);
    all.push(last);
    t.true(await last.waitFor("DaemonStarted"), last.text);
    t.deepEqual(all.slice(0, -1).map(({ exit }) => exit?.code ?? exit?.signal), ["SIGKILL", 0, "SIGKILL", 0]);
});

const SIGNAL_ORDERS = [["SIGHUP", "SIGTERM"], ["SIGTERM", "SIGHUP"], ["SIGINT", "SIGTERM"], ["SIGHUP", "SIGHUP", "SIGINT"], ["SIGTERM", "SIGTERM"]] as const;

/** Returns whether a process has its handler of SIGHUP; Node.js itself installs none before, see KNOWN-RED.txt. */
function handlesSignals(pid: number | undefined): boolean {
    const caught = /SigCgt:\s*([0-9a-f]+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? "0";
    return (BigInt(`0x${caught}`) & 1n) === 1n;
}

for (const role of ["proxy", "control"] as const) {
    test.serial(`signals in any order within the first second of a ${role} stop it with code 0`, async (t) => {
        t.timeout(90_000);
        for (const [index, order] of SIGNAL_ORDERS.entries()) {
            const settings = TestSettings.create(role, IP);
            const started = TestProcess.start(role, settings.path);
            t.teardown(async () => {
                await started.kill();
                settings.remove();
            });
            t.true(await started.waitUntil(() => handlesSignals(started.child.pid)));
            await delay(100 * index);
            for (const signal of order) {
                started.child.kill(signal);
                await delay(20 * index);
            }
            t.deepEqual(await started.waitForExit(6_000), { code: 0, signal: null }, `${order.join()} ${started.text}`);
            t.is(started.find("ProcessEnding")[0]?.reason, "stopped", started.text);
        }
    });
}
