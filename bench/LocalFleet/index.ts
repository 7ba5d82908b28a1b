import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { stringify } from "smol-toml";
import { callOperatorApi } from "../../src/cli/callOperatorApi/index.js";
import { EndpointState } from "../../src/model/EndpointState.js";
import { DaemonStatus } from "../../src/operators/DaemonStatus.js";
import { EndpointStatus } from "../../src/operators/EndpointStatus.js";
import { ControlNode } from "../ControlNode.js";
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
    readonly controls: ControlNode[] = [];
    private version = 0;

    private constructor(
        /** Folder of settings and data of this run. */
        readonly folder: string,
    ) {}

    /** Starts a fleet, applies its manifest and waits until every proxy knows every endpoint. */
    static async create(plan: FleetPlan): Promise<LocalFleet> {
        const fleet = new LocalFleet(mkdtempSync(join(tmpdir(), "gypsumpulley-")));
        try {
            await fleet.startAll(plan);
        }
        catch (thrown) {
            await fleet.kill();
            throw thrown;
        }
        return fleet;
    }

    /** Operators' interface of the first control VM, `host:port`. */
    get controlOperator(): string {
        return this.controls[0]?.operatorAddress ?? "";
    }

    /** Starts a control VM, as after it was stopped. */
    startControl(control: ControlNode): void {
        control.process = LocalProcess.create(DAEMON, ["--settings", control.settingsFile]);
    }

    /** Sends a request to the operators' interface of a control VM. */
    askControl<T>(control: ControlNode, method: "GET" | "POST", path: string): Promise<T> {
        return callOperatorApi<T>({ address: control.operatorAddress, method, path });
    }

    /** Starts the proxy of a node, as after it was stopped. */
    startProxy(node: FleetNode): void {
        node.proxy = LocalProcess.create(DAEMON, ["--settings", node.settingsFile]);
    }

    /** Starts the stand-in backend server of a node, as after it was stopped. */
    startStandIn(node: FleetNode): void {
        node.standIn = LocalProcess.create(STAND_IN, node.standInOptions);
    }

    /** Applies a manifest file on the version in force, by whichever control VM can; returns the new version. */
    async apply(manifestFile: string): Promise<number> {
        const body = {
            text: readFileSync(manifestFile, "utf8"),
            fileName: basename(manifestFile),
            basedOnVersion: this.version,
            changeId: `change-${this.version + 1}`,
        };
        await this.until("a control VM accepts the manifest", () => this.tryApply(body));
        this.version += 1;
        return this.version;
    }

    /** Waits until every proxy knows a number of serving endpoints and the configuration. */
    async ready(endpoints: number): Promise<void> {
        await this.until("every proxy knows every endpoint", async () => {
            const counts = await Promise.all(this.nodes.map((node) => this.servingEndpoints(node.operatorAddress)));
            const statuses = await Promise.all(this.nodes.map((node) => this.status(node.operatorAddress)));
            return counts.every((count) => count === endpoints) && statuses.every((status) => status?.ready);
        });
    }

    /** Number of serving endpoints that a process knows. */
    async servingEndpoints(operatorAddress: string): Promise<number> {
        try {
            const endpoints = await callOperatorApi<readonly EndpointStatus[]>({ address: operatorAddress, method: "GET", path: "/endpoints" });
            return endpoints.filter((endpoint) => endpoint.state === EndpointState.Serving).length;
        }
        catch {
            return 0;
        }
    }

    /** Status of a process, or undefined if it cannot be reached. */
    async status(operatorAddress: string): Promise<DaemonStatus | undefined> {
        try {
            return await callOperatorApi<DaemonStatus>({ address: operatorAddress, method: "GET", path: "/status" });
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
        await Promise.all(this.controls.map((control) => control.process.stop()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Ends all processes at once. */
    async kill(): Promise<void> {
        await Promise.all(this.nodes.flatMap((node) => [node.standIn, node.proxy]).map((process) => process.stop("SIGKILL")));
        await Promise.all(this.controls.map((control) => control.process.stop("SIGKILL")));
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async startAll(plan: FleetPlan): Promise<void> {
        await this.startControls(plan);
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

    private async startControls(plan: FleetPlan): Promise<void> {
        for (let index = 0; index < (plan.controls ?? 1); index += 1) {
            await this.addControl(`control-${index + 1}`, plan.failureDomains[index % plan.failureDomains.length] ?? "");
        }
        const [first, ...others] = this.controls;
        if (first === undefined) {
            return;
        }
        await this.until("control answers", async () => (await this.status(first.operatorAddress)) !== undefined);
        await this.askControl(first, "POST", "/control/bootstrap");
        for (const other of others) {
            await this.until(`${other.name} votes`, () => this.succeeds(this.askControl(first, "POST", `/control/add?vm=${other.name}`)));
        }
    }

    private async addControl(name: string, failureDomain: string): Promise<void> {
        const [link = 0, operator = 0] = await findFreePorts(2);
        const dataFolder = join(this.folder, name);
        const settingsFile = this.writeSettings(name, failureDomain, link, operator, { roles: ["control"], control: { dataFolder } });
        this.controls.push({
            name,
            operatorAddress: `127.0.0.1:${operator}`,
            linkAddress: `127.0.0.1:${link}`,
            settingsFile,
            dataFolder,
            process: LocalProcess.create(DAEMON, ["--settings", settingsFile]),
        });
    }

    private async tryApply(body: unknown): Promise<boolean> {
        for (const control of this.controls) {
            if (await this.succeeds(callOperatorApi({ address: control.operatorAddress, method: "POST", path: "/apply", body }))) {
                return true;
            }
        }
        return false;
    }

    private async succeeds(action: Promise<unknown>): Promise<boolean> {
        try {
            await action;
            return true;
        }
        catch {
            return false;
        }
    }

    /** Latest output of all processes. */
    outputs(): string {
        return [...this.controls.map((control) => control.process), ...this.nodes.flatMap((node) => [node.proxy, node.standIn])]
            .map((process) => process.output)
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
            links: { port: linkPort, seeds: this.controls.map((control) => control.linkAddress), fleetKey: FLEET_KEY },
            operator: { port: operatorPort },
            ...roles,
        }));
        return file;
    }
}
