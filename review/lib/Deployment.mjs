/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { chooseNetwork } from "./chooseNetwork.mjs";
import { renderTemplate } from "./renderTemplate.mjs";
import { sendJson } from "./sendJson.mjs";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const SEED_COUNT = 3;
const START_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
/** Bounds of the site `cbb-plataforma`. */
const BOUNDS = { grace: "6s", retry_budget_ratio: 0.2, budget_window: "10s", retry_budget_slack: 62 };

/**
 * A small deployment: control and proxy processes, started with the commands of the deploy file, each machine with a loopback
 * address of its own.
 */
export class Deployment {
    #recorder;
    #network;
    #folder;
    #commands = readCommands();
    #template = readFileSync("deploy/settings.toml", "utf8");
    #controlCount;
    #toleratedLosses;
    #processes = new Map();

    constructor(recorder, network, controlCount) {
        this.#recorder = recorder;
        this.#network = network;
        this.#controlCount = controlCount;
        this.#toleratedLosses = Math.floor((controlCount - 1) / 2);
        this.#folder = mkdtempSync(join(tmpdir(), "review-"));
    }

    /**
     * Chooses the addresses of a deployment without starting anything.
     *
     * @param recorder - Record of the run.
     * @param controlCount - Number of control machines.
     * @param proxyCount - Number of machines with a proxy.
     */
    static async create(recorder, controlCount, proxyCount) {
        const network = await chooseNetwork(controlCount + proxyCount);
        return new Deployment(recorder, network, controlCount);
    }

    /** Number of control machines. */
    get controlCount() {
        return this.#controlCount;
    }

    /** Address `host:port` of a control machine for operators. */
    controlAddress(control) {
        return `${this.#network.addressOf(control)}:${this.#network.ports.control}`;
    }

    /** Addresses of the machine of a proxy. */
    proxyAddresses(proxy) {
        const ip = this.#network.addressOf(this.#controlCount + proxy);
        const { ports } = this.#network;
        return { ip, app: `${ip}:${ports.app}`, outbound: `${ip}:${ports.outbound}`, control: `${ip}:${ports.control}`, ready: `${ip}:${ports.ready}` };
    }

    /** Starts all control processes. */
    startControls() {
        for (let control = 0; control < this.#controlCount; control += 1) {
            this.startControl(control, true);
        }
    }

    /** Starts one control process. */
    startControl(control, isFirstStart = false) {
        const ip = this.#network.addressOf(control);
        const dataFolder = this.dataFolderOf(control);
        mkdirSync(dataFolder, { recursive: true });
        this.#start("control", `control-${control}`, { ip, zone: ZONES[control % ZONES.length], bootstrap: isFirstStart, data_dir: dataFolder, control });
    }

    /** Starts the proxy of a machine, whose endpoint belongs to a service. */
    startProxy(proxy, service, isFirstStart = false) {
        const { ip, app } = this.proxyAddresses(proxy);
        this.#start("proxy", `proxy-${proxy}`, { ip, zone: ZONES[proxy % ZONES.length], bootstrap: isFirstStart, data_dir: null, app_addr: app, service });
    }

    /** Data folder of a control machine. */
    dataFolderOf(control) {
        return join(this.#folder, `control-${control}`);
    }

    /** Returns the process of a machine. */
    processOf(name) {
        return this.#processes.get(name);
    }

    /** Sends a signal to a process that this deployment started. */
    signal(name, signal) {
        this.#recorder.record("signal", { process: name, signal });
        this.#processes.get(name)?.kill(signal);
    }

    /** Sends the configuration until a control process acknowledges it. */
    async applyConfiguration(resources) {
        const body = { upsert: { resources }, remove: { routes: [] } };
        const deadlineMs = Date.now() + START_TIMEOUT_MS;
        for (let control = 0; Date.now() < deadlineMs; control = (control + 1) % this.#controlCount) {
            const reply = await sendJson(this.controlAddress(control), "PATCH", "/config", body);
            if (reply?.status === 200) {
                this.#recorder.record("configuration acknowledged", { control });
                return;
            }
            await delay(POLL_INTERVAL_MS);
        }
        throw new Error("the configuration was not acknowledged");
    }

    /** Waits until proxies are ready. */
    async waitUntilReady(proxies) {
        const deadlineMs = Date.now() + START_TIMEOUT_MS;
        for (const proxy of proxies) {
            while ((await sendJson(this.proxyAddresses(proxy).ready, "GET", "/readiness"))?.status !== 200) {
                if (Date.now() > deadlineMs) {
                    throw new Error(`proxy ${proxy} is not ready`);
                }
                await delay(POLL_INTERVAL_MS);
            }
        }
        this.#recorder.record("proxies ready", { proxies });
    }

    /** Ends all processes and removes the temporary folder. */
    async close() {
        await Promise.all([...this.#processes.values()].map(async (process) => {
            if (process.exitCode === null && process.signalCode === null) {
                process.kill("SIGKILL");
                await once(process, "exit");
            }
        }));
        if (globalThis.process.env.KEEP_LOGS === undefined) {
            rmSync(this.#folder, { recursive: true, force: true });
        }
        else {
            globalThis.process.stderr.write(`logs: ${this.#folder}\n`);
        }
    }

    #start(role, name, fields) {
        const { ports } = this.#network;
        const { ip } = fields;
        const seeds = Array.from({ length: Math.min(SEED_COUNT, this.#controlCount) }, (_value, control) => this.controlAddress(control));
        const text = renderTemplate(this.#template, {
            ...fields,
            node_id: name,
            listen: {
                control: `${ip}:${ports.control}`,
                inbound: `${ip}:${ports.inbound}`,
                outbound: `${ip}:${ports.outbound}`,
                ready: `${ip}:${ports.ready}`,
            },
            internal_ports: [ports.internal, ports.internal + 15],
            seed_nodes: seeds,
            fault_tolerance: { machines: this.#toleratedLosses },
            bounds: BOUNDS,
        });
        const settingsFile = join(this.#folder, `${name}.toml`);
        writeFileSync(settingsFile, text);
        const [program, ...words] = this.#commands[role].split(" ");
        const log = openSync(join(this.#folder, `${name}.log`), "a");
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, words, { env: { PATH, HOME, LANG, GYPSUMPULLEY_NODE_FILE: settingsFile }, stdio: ["ignore", log, log] });
        closeSync(log);
        child.once("exit", (code, signal) => this.#recorder.record("process ended", { process: name, code, signal }));
        this.#processes.set(name, child);
        this.#recorder.record("process started", { process: name });
    }
}

function readCommands() {
    const text = readFileSync("deploy/system.toml", "utf8");
    const commandOf = (role) => new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)?.[1] ?? "";
    return { proxy: commandOf("proxy"), control: commandOf("control") };
}
