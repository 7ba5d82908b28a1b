import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { stringify } from "smol-toml";
import { callOperator } from "../../src/cli/callOperator/index.js";
import { EndpointState } from "../../src/model/EndpointState.js";
import { DaemonStatus } from "../../src/operators/DaemonStatus.js";
import { EndpointStatus } from "../../src/operators/EndpointStatus.js";
import { findFreePorts } from "../findFreePorts/index.js";
import { FleetNode } from "../FleetNode.js";
import { FleetPlan } from "../FleetPlan.js";
import { LocalProcess } from "../LocalProcess/index.js";
import { StandInPlan } from "../StandInPlan.js";

const DAEMON = new URL("../../src/daemon/gypsumpulleyd.js", import.meta.url).pathname;
const STAND_IN = new URL("../standIn.js", import.meta.url).pathname;
const FLEET_KEY = "the fleet key of a local run";
const PORTS_PER_NODE = 6;
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** A fleet of separate processes on the loopback address: control, proxies and stand-in backend servers. */
export class LocalFleet {
    readonly nodes: FleetNode[] = [];
    private controlProcess: LocalProcess | undefined;
    private controlSettings = "";
    private version = 0;

    private constructor(
        /** Folder of settings and data of this run. */
        readonly folder: string,
        /** Operators' interface of control, `host:port`. */
        readonly controlOperator: string,
        private readonly controlLink: string,
    ) {}

    /** Starts a fleet, applies its manifest and waits until every proxy knows every endpoint. */
    static async create(plan: FleetPlan): Promise<LocalFleet> {
        const [linkPort, operatorPort] = await findFreePorts(2);
        const folder = mkdtempSync(join(tmpdir(), "gypsumpulley-"));
        const fleet = new LocalFleet(folder, `127.0.0.1:${operatorPort}`, `127.0.0.1:${linkPort}`);
        fleet.controlSettings = fleet.writeSettings("control-1", plan.failureDomains[0] ?? "", linkPort ?? 0, operatorPort ?? 0, {
            roles: ["control"],
            control: { dataFolder: join(folder, "control-1") },
        });
        try {
            await fleet.startAll(plan);
        }
        catch (thrown) {
            await fleet.kill();
            throw thrown;
        }
        return fleet;
    }

    /** Process of control. */
    get control(): LocalProcess | undefined {
        return this.controlProcess;
    }

    /** Starts control, as after it was stopped. */
    startControl(): void {
        this.controlProcess = LocalProcess.create(DAEMON, ["--settings", this.controlSettings]);
    }

    /** Starts the proxy of a node, as after it was stopped. */
    startProxy(node: FleetNode): void {
        node.proxy = LocalProcess.create(DAEMON, ["--settings", node.settingsFile]);
    }

    /** Starts the stand-in backend server of a node, as after it was stopped. */
    startStandIn(node: FleetNode): void {
        node.standIn = LocalProcess.create(STAND_IN, node.standInOptions);
    }

    /** Applies a manifest file on the version in force; returns the new version. */
    async apply(manifestFile: string): Promise<number> {
        await callOperator({
            address: this.controlOperator,
            method: "POST",
            path: "/apply",
            body: {
                text: readFileSync(manifestFile, "utf8"),
                fileName: basename(manifestFile),
                basedOnVersion: this.version,
                changeId: `change-${this.version + 1}`,
            },
        });
        this.version += 1;
        return this.version;
    }

    /** Waits until every proxy knows a number of serving endpoints and the configuration. */
    async ready(endpoints: number): Promise<void> {
        await this.until("every proxy knows every endpoint", async () => {
            const counts = await Promise.all(this.nodes.map((node) => this.servingEndpoints(node.operatorAddress)));
            return counts.every((count) => count === endpoints);
        });
    }

    /** Number of serving endpoints that a process knows. */
    async servingEndpoints(operatorAddress: string): Promise<number> {
        try {
            const endpoints = await callOperator<readonly EndpointStatus[]>({ address: operatorAddress, method: "GET", path: "/endpoints" });
            return endpoints.filter((endpoint) => endpoint.state === EndpointState.Serving).length;
        }
        catch {
            return 0;
        }
    }

    /** Status of a process, or undefined if it cannot be reached. */
    async status(operatorAddress: string): Promise<DaemonStatus | undefined> {
        try {
            return await callOperator<DaemonStatus>({ address: operatorAddress, method: "GET", path: "/status" });
        }
        catch {
            return undefined;
        }
    }

    /** Waits until a condition holds; throws after a fixed time. */
    async until(what: string, condition: () => Promise<boolean>): Promise<void> {
        const endsAtMs = Date.now() + READY_TIMEOUT_MS;
        while (!await condition()) {
            if (Date.now() > endsAtMs) {
                throw new Error(`not reached: ${what}\n${this.outputs()}`);
            }
            await delay(POLL_MS);
        }
    }

    /** Stops all processes gracefully: first the backend servers, then the proxies, then control. */
    async stop(): Promise<void> {
        await Promise.all(this.nodes.map((node) => node.standIn.stop()));
        await Promise.all(this.nodes.map((node) => node.proxy.stop()));
        await this.controlProcess?.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Ends all processes at once. */
    async kill(): Promise<void> {
        await Promise.all(this.nodes.flatMap((node) => [node.standIn, node.proxy]).map((process) => process.stop("SIGKILL")));
        await this.controlProcess?.stop("SIGKILL");
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async startAll(plan: FleetPlan): Promise<void> {
        this.startControl();
        await this.until("control answers", async () => (await this.status(this.controlOperator)) !== undefined);
        await this.apply(plan.manifestFile);
        for (const [index, standIn] of plan.standIns.entries()) {
            const domain = plan.failureDomains[index % plan.failureDomains.length] ?? "";
            this.nodes.push(await this.startNode(`vm-${index + 1}`, domain, standIn));
        }
        for (let index = 0; index < (plan.bareProxies ?? 0); index += 1) {
            const domain = plan.failureDomains[index % plan.failureDomains.length] ?? "";
            this.nodes.push(await this.startNode(`bare-${index + 1}`, domain, undefined));
        }
        await this.ready(plan.standIns.length);
    }

    private outputs(): string {
        return [this.controlProcess, ...this.nodes.flatMap((node) => [node.proxy, node.standIn])]
            .map((process) => process?.output ?? "")
            .join("\n")
            .slice(-4_000);
    }

    private async startNode(name: string, failureDomain: string, plan: StandInPlan | undefined): Promise<FleetNode> {
        const standIn = plan ?? { service: "none", serviceMs: 0, bytesPerMs: 0 };
        const ports = await findFreePorts(PORTS_PER_NODE);
        const [link = 0, operator = 0, caller = 0, gate = 0, announce = 0, backend = 0] = ports;
        const settingsFile = this.writeSettings(name, failureDomain, link, operator, {
            roles: ["proxy"],
            proxy: { callerPort: caller, gatePort: gate, announcePort: announce },
        });
        const endpointId = `${standIn.service}-${name}`;
        const standInOptions = [
            "--endpoint",
            endpointId,
            "--service",
            standIn.service,
            "--port",
            String(backend),
            "--announce-port",
            String(announce),
            "--service-ms",
            String(standIn.serviceMs),
            "--bytes-per-ms",
            String(standIn.bytesPerMs),
        ];
        return {
            name,
            endpointId,
            callerAddress: `127.0.0.1:${caller}`,
            operatorAddress: `127.0.0.1:${operator}`,
            standInAddress: `127.0.0.1:${backend}`,
            settingsFile,
            standInOptions,
            proxy: LocalProcess.create(DAEMON, ["--settings", settingsFile]),
            standIn: plan === undefined ? LocalProcess.createEnded() : LocalProcess.create(STAND_IN, standInOptions),
        };
    }

    private writeSettings(
        name: string,
        failureDomain: string,
        linkPort: number,
        operatorPort: number,
        roles: Record<string, unknown>,
    ): string {
        const file = join(this.folder, `${name}.toml`);
        writeFileSync(file, stringify({
            vm: { name, failureDomain, address: "127.0.0.1" },
            links: { port: linkPort, seeds: [this.controlLink], fleetKey: FLEET_KEY },
            operator: { port: operatorPort },
            ...roles,
        }));
        return file;
    }
}
