import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { Command, Option } from "commander";
import * as z from "zod";
import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { ApplyDecisionKind } from "../../decisions/configuration/ApplyDecisionKind.js";
import { manifestSchema } from "../../decisions/configuration/manifestSchema.js";
import { parseManifest } from "../../decisions/configuration/parseManifest/index.js";
import { LogFields } from "../../logs/LogFields.js";
import { assertNever } from "../../model/assertNever/index.js";
import { ControlStatus } from "../../operators/ControlStatus.js";
import { DaemonStatus } from "../../operators/DaemonStatus.js";
import { EndpointStatus } from "../../operators/EndpointStatus.js";
import { parseSettings } from "../../settings/parseSettings/index.js";
import { settingsSchema } from "../../settings/settingsSchema.js";
import { callOperator } from "../callOperator/index.js";
import { CommandError } from "../CommandError.js";
import { CommonOptions } from "../CommonOptions.js";
import { ExitCode } from "../ExitCode.js";
import { printRows } from "../printRows/index.js";
import { waitInForce } from "../waitInForce/index.js";

const DEFAULT_OPERATOR = "127.0.0.1:7003";
const WAIT_TIMEOUT_MS = 10_000;

interface ApplyOptions extends CommonOptions {
    readonly basedOn: string;
    readonly changeId?: string;
    readonly wait?: string[] | true;
}

interface DrainOptions extends CommonOptions {
    readonly endpoint?: string;
}

/**
 * Creates the command-line tool.
 *
 * @param print - Takes the text to print.
 * @returns The program, ready to parse arguments.
 * @example
 * await createProgram((text) => process.stdout.write(text)).parseAsync();
 */
export function createProgram(print: (text: string) => void): Command {
    const program = new Command("gypsumpulley").description("Operates a gypsumpulley fleet.");
    const show = (options: { json?: boolean }, value: unknown, text: string): void =>
        print(options.json === true ? `${JSON.stringify(value, undefined, 2)}\n` : text);

    addJson(program.command("check-settings").argument("<file>", "settings file (TOML)"))
        .description("Checks the settings of a daemon.")
        .addHelpText("after", example("check-settings settings.toml"))
        .action((file: string, options: CommonOptions) => {
            const settings = check(() => parseSettings(readText(file), file));
            show(options, settings, `${file}: ok\n`);
        });
    addJson(program.command("check-manifest").argument("<file>", "manifest (TOML or JSON)"))
        .description("Checks a manifest.")
        .addHelpText("after", example("check-manifest manifest.toml"))
        .action((file: string, options: CommonOptions) => {
            const manifest = check(() => parseManifest(readText(file), file));
            show(options, manifest, `${file}: ok, ${manifest.services.length} services, ${manifest.routes.length} routes\n`);
        });
    program.command("schema")
        .argument("<kind>", "manifest or settings")
        .option("--json", "print JSON (always so)")
        .description("Prints the JSON Schema of manifests or settings.")
        .addHelpText("after", example("schema manifest"))
        .action((kind: string) => print(`${JSON.stringify(schemaOf(kind), undefined, 2)}\n`));
    addCommon(program.command("apply").argument("<file>", "manifest (TOML or JSON)"))
        .description("Puts a manifest in force, through a process with the control role.")
        .requiredOption("--based-on <version>", "version that the manifest is based on; 0 for the first")
        .option("--change-id <id>", "identity of the change; a resend with the same one has the same outcome")
        .option("--wait [operators...]", "wait until it is in force there (default: the process asked)")
        .addHelpText("after", example("apply manifest.toml --based-on 4 --change-id release-118 --wait"))
        .action((file: string, options: ApplyOptions) => applyFile(file, options, show));
    addCommon(program.command("status"))
        .description("Shows a process: configuration, members, links, outcomes and latencies.")
        .addHelpText("after", example("status --operator 127.0.0.1:7003"))
        .action(async (options: CommonOptions) => {
            const status = await get<DaemonStatus>(options, "/status");
            show(options, status, renderStatus(status));
        });
    addCommon(program.command("endpoints"))
        .description("Shows the endpoints that a process knows.")
        .addHelpText("after", example("endpoints"))
        .action(async (options: CommonOptions) => {
            const endpoints = await get<readonly EndpointStatus[]>(options, "/endpoints");
            show(options, endpoints, renderEndpoints(endpoints));
        });
    addCommon(program.command("drain"))
        .description("Drains the backend servers beside a proxy, or one endpoint, and waits until nothing is in flight.")
        .option("--endpoint <id>", "drain only this endpoint")
        .addHelpText("after", example("drain --operator 127.0.0.1:7003 --endpoint lookup-1"))
        .action((options: DrainOptions) => drain(options, show));
    addCommon(program.command("explain").argument("<text>", "request, attempt, endpoint or member"))
        .description("Shows the retained decisions of a process that concern something.")
        .addHelpText("after", example("explain 5f0c3c1e"))
        .action(async (text: string, options: CommonOptions) => {
            const events = await get<readonly LogFields[]>(options, `/explain?text=${encodeURIComponent(text)}`);
            show(options, events, events.map((event) => `${JSON.stringify(event)}\n`).join(""));
        });
    addControl(program, show);
    return program;
}

type Show = (options: { json?: boolean }, value: unknown, text: string) => void;

function addControl(program: Command, show: Show): void {
    const control = program.command("control").description("Shows and changes the control VMs that vote.");
    addCommon(control.command("list"))
        .description("Shows voters, leader and other control VMs.")
        .addHelpText("after", example("control list"))
        .action(async (options: CommonOptions) => {
            const status = await get<ControlStatus>(options, "/control");
            const rows = [...status.voters.map((voter) => [voter, "voter"]), ...status.others.map((other) => [other, "no vote"])];
            show(options, status, `leader ${status.leader}, term ${status.term}\n${printRows(["identity", "part"], rows)}`);
        });
    addCommon(control.command("bootstrap"))
        .description("Makes a control VM the only voter of a new log; once in the life of a fleet.")
        .addHelpText("after", example("control bootstrap"))
        .action((options: CommonOptions) => change(options, "/control/bootstrap", show));
    for (const name of ["add", "remove"]) {
        addCommon(control.command(name).argument("<vm>", "VM name or identity"))
            .description(name === "add" ? "Gives a live control VM a vote." : "Takes a control VM's vote away.")
            .addHelpText("after", example(`control ${name} muscat-control-2`))
            .action((vm: string, options: CommonOptions) => change(options, `/control/${name}?vm=${encodeURIComponent(vm)}`, show));
    }
}

async function change(options: CommonOptions, path: string, show: Show): Promise<void> {
    const result = await callOperator({ address: options.operator, token: options.token, method: "POST", path });
    show(options, result, "done\n");
}

async function applyFile(file: string, options: ApplyOptions, show: Show): Promise<void> {
    const basedOnVersion = Number(options.basedOn);
    if (!Number.isSafeInteger(basedOnVersion) || basedOnVersion < 0) {
        throw CommandError.create(ExitCode.Usage, `--based-on: found "${options.basedOn}": not a whole number of at least 0`);
    }
    const changeId = options.changeId ?? randomUUID();
    const body = { text: readText(file), fileName: basename(file), basedOnVersion, changeId };
    const decision = await callOperator<ApplyDecision>({ address: options.operator, token: options.token, method: "POST", path: "/apply", body });
    const version = versionOf(decision);
    if (options.wait === undefined) {
        show(options, decision, `version ${version} accepted (change ${changeId})\n`);
        return;
    }
    const operators = options.wait === true ? [options.operator] : options.wait;
    const report = await waitInForce(operators, version, WAIT_TIMEOUT_MS, options.token);
    show(options, { decision, report }, [
        `version ${version} accepted (change ${changeId})\n`,
        `in force: ${report.inForce.join(", ")}\n`,
        ...report.behind.map((address) => `not yet in force: ${address}\n`),
        ...report.unreachable.map((address) => `unreachable: ${address}\n`),
    ].join(""));
    if (report.inForce.length < operators.length) {
        throw CommandError.create(ExitCode.Unreachable, "the configuration is accepted, but not known to be in force everywhere");
    }
}

function versionOf(decision: ApplyDecision): number {
    switch (decision.kind) {
        case ApplyDecisionKind.Accept:
            return decision.change.position.manifestVersion;
        case ApplyDecisionKind.Repeat:
            return decision.version;
        case ApplyDecisionKind.Conflict:
            throw CommandError.create(
                ExitCode.Refused,
                `conflict: version ${decision.version} is in force (change ${decision.winner}); differing parts: ${decision.differing.join(", ")}`,
            );
        default:
            return assertNever(decision);
    }
}

async function drain(options: DrainOptions, show: Show): Promise<void> {
    const query = options.endpoint === undefined ? "" : `?endpoint=${encodeURIComponent(options.endpoint)}`;
    await callOperator({ address: options.operator, token: options.token, method: "POST", path: `/drain${query}` });
    for (;;) {
        const endpoints = await get<readonly EndpointStatus[]>(options, "/endpoints");
        const local = endpoints.filter((endpoint) => endpoint.drained !== undefined);
        const wanted = local.filter((endpoint) => options.endpoint === undefined || endpoint.endpointId === options.endpoint);
        if (wanted.every((endpoint) => endpoint.drained)) {
            show(options, wanted, `drained: ${wanted.map((endpoint) => endpoint.endpointId).join(", ")}\n`);
            return;
        }
        await new Promise((resolve) => setTimeout(resolve, 100));
    }
}

function get<T>(options: CommonOptions, path: string): Promise<T> {
    return callOperator<T>({ address: options.operator, token: options.token, method: "GET", path });
}

function schemaOf(kind: string): unknown {
    switch (kind) {
        case "manifest":
            return z.toJSONSchema(manifestSchema, { io: "input" });
        case "settings":
            return z.toJSONSchema(settingsSchema, { io: "input" });
        default:
            throw CommandError.create(ExitCode.Usage, `kind: found "${kind}": allowed are manifest, settings`);
    }
}

function renderStatus(status: DaemonStatus): string {
    const { term, version, manifestVersion } = status.configuration;
    return [
        `${status.vm} (${status.failureDomain}, ${status.roles.join(" and ")}): ${status.state}\n`,
        `manifest: version ${manifestVersion}; configuration: version ${version}, term ${term}\n`,
        `links: ${status.links.join(", ")}\n`,
        `in flight: ${status.inFlight}; outcomes: ${JSON.stringify(status.outcomes)}; invariant violations: ${status.invariantViolations}\n`,
        printRows(["member", "failure domain", "state"], status.members.map((member) => [member.vm, member.failureDomain, member.lost ? "lost" : member.state])),
        printRows(["customer/class", "requests", "p50 ms", "p99 ms", "max ms"], status.latencies.map((series) =>
            [series.series, String(series.requests), series.p50Ms.toFixed(2), series.p99Ms.toFixed(2), series.maxMs.toFixed(2)])),
    ].join("");
}

function renderEndpoints(endpoints: readonly EndpointStatus[]): string {
    return printRows(["endpoint", "service", "vm", "failure domain", "state", "slots", "running", "queued"], endpoints.map((endpoint) => [
        endpoint.endpointId,
        endpoint.service,
        endpoint.vm,
        endpoint.failureDomain,
        endpoint.state,
        String(endpoint.slots),
        String(endpoint.running ?? ""),
        String(endpoint.queued ?? ""),
    ]));
}

function check<T>(action: () => T): T {
    try {
        return action();
    }
    catch (thrown) {
        throw CommandError.create(ExitCode.Refused, thrown instanceof Error ? thrown.message : String(thrown));
    }
}

function readText(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (thrown) {
        throw CommandError.create(ExitCode.Usage, thrown instanceof Error ? thrown.message : String(thrown));
    }
}

function addJson(command: Command): Command {
    return command.option("--json", "print JSON");
}

function addCommon(command: Command): Command {
    return addJson(command)
        .addOption(new Option("--operator <address>", "operators' interface of the process, host:port")
            .default(DEFAULT_OPERATOR).env("GYPSUMPULLEY_OPERATOR"))
        .addOption(new Option("--token <token>", "token of the operators' interface").env("GYPSUMPULLEY_TOKEN"));
}

function example(line: string): string {
    return `\nExample:\n  gypsumpulley ${line}`;
}
