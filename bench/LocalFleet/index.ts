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
import { FleetSpec } from "../FleetSpec.js";
import { LocalProcess } from "../LocalProcess/index.js";
import { StandInSpec } from "../StandInSpec.js";

const DAEMON_SCRIPT = new URL("../../src/daemon/gypsumpulleyd.js", import.meta.url).pathname;
const STAND_IN_SCRIPT = new URL("../standIn.js", import.meta.url).pathname;
const FLEET_KEY = "the fleet key of a local run";
const PORTS_PER_NODE = 6;
const WAIT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

/** A fleet of separate processes on the loopback address: control VMs, proxies and stand-in backend servers. */
export class LocalFleet {
    readonly nodes: FleetNode[] = [];
    readonly controls: ControlNode[] = [];
    private manifestVersion = 0;

    private constructor(
        /** Folder for the settings and data of this run; deleted when the fleet ends. */
        readonly folder: string,
    ) {}

    /** Starts a fleet, applies its manifest and waits until every proxy knows every endpoint. */
    static async create(spec: FleetSpec): Promise<LocalFleet> {
        const fleet = new LocalFleet(mkdtempSync(join(tmpdir(), "gypsumpulley-")));
        try {
            await fleet.startAll(spec);
        }
        catch (error) {
            await fleet.kill();
            throw error;
        }
        return fleet;
    }

    /** Operator address of the first control VM, `host:port`. */
    get controlOperatorAddress(): string {
        return this.controls[0]?.operatorAddress ?? "";
    }

    /** Restarts a stopped control VM. */
    startControl(control: ControlNode): void {
        control.process = LocalProcess.create(DAEMON_SCRIPT, ["--settings", control.settingsFile]);
    }

    /** Sends a request to the operator API of a control VM. */
    callControl<T>(control: ControlNode, method: "GET" | "POST", path: string): Promise<T> {
        return callOperatorApi<T>({ address: control.operatorAddress, method, path });
    }

    /** Restarts the stopped proxy of a node. */
    startProxy(node: FleetNode): void {
        node.proxy = LocalProcess.create(DAEMON_SCRIPT, ["--settings", node.settingsFile]);
    }

    /** Restarts the stopped stand-in backend server of a node. */
    startStandIn(node: FleetNode): void {
        node.standIn = LocalProcess.create(STAND_IN_SCRIPT, node.standInArguments);
    }

    /**
     * Applies a manifest file through the first control VM that accepts it, based on the last version applied here.
     *
     * @param manifestFile - Path of the manifest.
     * @returns The new version.
     */
    async applyManifest(manifestFile: string): Promise<number> {
        const body = {
            text: readFileSync(manifestFile, "utf8"),
            fileName: basename(manifestFile),
            basedOnVersion: this.manifestVersion,
            changeId: `change-${this.manifestVersion + 1}`,
        };
        await this.waitUntil("a control VM accepts the manifest", () => this.tryApply(body));
        this.manifestVersion += 1;
        return this.manifestVersion;
    }

    /** Waits until every proxy is ready and knows the given number of serving endpoints. */
    async waitUntilReady(endpointCount: number): Promise<void> {
        await this.waitUntil("every proxy knows every endpoint", async () => {
            const counts = await Promise.all(this.nodes.map((node) => this.countServingEndpoints(node.operatorAddress)));
            const statuses = await Promise.all(this.nodes.map((node) => this.fetchStatus(node.operatorAddress)));
            return counts.every((count) => count === endpointCount) && statuses.every((status) => status?.ready);
        });
    }

    /** Returns the number of serving endpoints that a process knows, or 0 if it cannot be reached. */
    async countServingEndpoints(operatorAddress: string): Promise<number> {
        try {
            const endpoints = await callOperatorApi<readonly EndpointStatus[]>({ address: operatorAddress, method: "GET", path: "/endpoints" });
            return endpoints.filter((endpoint) => endpoint.state === EndpointState.Serving).length;
        }
        catch {
            return 0;
        }
    }

    /** Returns the status of a process, or undefined if it cannot be reached. */
    async fetchStatus(operatorAddress: string): Promise<DaemonStatus | undefined> {
        try {
            return await callOperatorApi<DaemonStatus>({ address: operatorAddress, method: "GET", path: "/status" });
        }
        catch {
            return undefined;
        }
    }

    /**
     * Polls a condition until it holds.
     *
     * @param description - The condition in words, for the error message.
     * @param condition - Condition to poll.
     * @throws Error with the recent output of all processes if the condition does not hold in time.
     */
    async waitUntil(description: string, condition: () => Promise<boolean>): Promise<void> {
        const deadlineMs = Date.now() + WAIT_TIMEOUT_MS;
        while (!await condition()) {
            if (Date.now() > deadlineMs) {
                throw new Error(`timed out waiting for: ${description}\n${this.recentOutput()}`);
            }
            await delay(POLL_INTERVAL_MS);
        }
    }

    /** Stops all processes gracefully: first the backend servers, then the proxies, then the control VMs. */
    async stop(): Promise<void> {
        await Promise.all(this.nodes.map((node) => node.standIn.stop()));
        await Promise.all(this.nodes.map((node) => node.proxy.stop()));
        await Promise.all(this.controls.map((control) => control.process.stop()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Kills all processes with SIGKILL. */
    async kill(): Promise<void> {
        await Promise.all(this.nodes.flatMap((node) => [node.standIn, node.proxy]).map((process) => process.stop("SIGKILL")));
        await Promise.all(this.controls.map((control) => control.process.stop("SIGKILL")));
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async startAll(spec: FleetSpec): Promise<void> {
        await this.startControls(spec);
        await this.applyManifest(spec.manifestFile);
        for (const [index, standIn] of spec.standIns.entries()) {
            const failureDomain = spec.failureDomains[index % spec.failureDomains.length] ?? "";
            this.nodes.push(await this.startNode(`vm-${index + 1}`, failureDomain, standIn));
        }
        for (let index = 0; index < (spec.bareProxyCount ?? 0); index += 1) {
            const failureDomain = spec.failureDomains[index % spec.failureDomains.length] ?? "";
            this.nodes.push(await this.startNode(`bare-${index + 1}`, failureDomain, undefined));
        }
        await this.waitUntilReady(spec.standIns.length);
    }

    private async startControls(spec: FleetSpec): Promise<void> {
        for (let index = 0; index < (spec.controlCount ?? 1); index += 1) {
            await this.addControl(`control-${index + 1}`, spec.failureDomains[index % spec.failureDomains.length] ?? "");
        }
        const [first, ...others] = this.controls;
        if (first === undefined) {
            return;
        }
        await this.waitUntil("the first control VM responds", async () => (await this.fetchStatus(first.operatorAddress)) !== undefined);
        await this.callControl(first, "POST", "/control/bootstrap");
        for (const other of others) {
            await this.waitUntil(`${other.name} is added as a voter`, () => this.succeeds(this.callControl(first, "POST", `/control/add?vm=${other.name}`)));
        }
    }

    private async addControl(name: string, failureDomain: string): Promise<void> {
        const [linkPort = 0, operatorPort = 0] = await findFreePorts(2);
        const dataFolder = join(this.folder, name);
        const settingsFile = this.writeSettings(name, failureDomain, linkPort, operatorPort, { roles: ["control"], control: { dataFolder } });
        this.controls.push({
            name,
            operatorAddress: `127.0.0.1:${operatorPort}`,
            linkAddress: `127.0.0.1:${linkPort}`,
            settingsFile,
            dataFolder,
            process: LocalProcess.create(DAEMON_SCRIPT, ["--settings", settingsFile]),
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

    /** Returns the latest output of all processes. */
    recentOutput(): string {
        return [...this.controls.map((control) => control.process), ...this.nodes.flatMap((node) => [node.proxy, node.standIn])]
            .map((process) => process.recentOutput)
            .join("\n")
            .slice(-4_000);
    }

    private async startNode(name: string, failureDomain: string, spec: StandInSpec | undefined): Promise<FleetNode> {
        const standIn = spec ?? { service: "none", serviceMs: 0, bytesPerMs: 0 };
        const ports = await findFreePorts(PORTS_PER_NODE);
        const [linkPort = 0, operatorPort = 0, callerPort = 0, gatePort = 0, announcePort = 0, backendPort = 0] = ports;
        const settingsFile = this.writeSettings(name, failureDomain, linkPort, operatorPort, {
            roles: ["proxy"],
            proxy: { callerPort, gatePort, announcePort },
        });
        const endpointId = `${standIn.service}-${name}`;
        const standInArguments = [
            "--endpoint",
            endpointId,
            "--service",
            standIn.service,
            "--port",
            String(backendPort),
            "--announce-port",
            String(announcePort),
            "--service-ms",
            String(standIn.serviceMs),
            "--bytes-per-ms",
            String(standIn.bytesPerMs),
        ];
        return {
            name,
            endpointId,
            callerAddress: `127.0.0.1:${callerPort}`,
            operatorAddress: `127.0.0.1:${operatorPort}`,
            standInAddress: `127.0.0.1:${backendPort}`,
            settingsFile,
            standInArguments,
            proxy: LocalProcess.create(DAEMON_SCRIPT, ["--settings", settingsFile]),
            standIn: spec === undefined ? LocalProcess.createNotStarted() : LocalProcess.create(STAND_IN_SCRIPT, standInArguments),
        };
    }

    private writeSettings(
        name: string,
        failureDomain: string,
        linkPort: number,
        operatorPort: number,
        roleSettings: Record<string, unknown>,
    ): string {
        const file = join(this.folder, `${name}.toml`);
        writeFileSync(file, stringify({
            vm: { name, failureDomain, address: "127.0.0.1" },
            links: { port: linkPort, seeds: this.controls.map((control) => control.linkAddress), fleetKey: FLEET_KEY },
            operator: { port: operatorPort },
            ...roleSettings,
        }));
        return file;
    }
}
