import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { Command, Option } from "commander";
import * as z from "zod";
import { ApplyDecision } from "../../decisions/configuration/ApplyDecision.js";
import { ApplyDecisionKind } from "../../decisions/configuration/ApplyDecisionKind.js";
import { manifestSchema } from "../../decisions/configuration/manifestSchema.js";
import { parseManifest } from "../../decisions/configuration/parseManifest/index.js";
import { vmOf } from "../../decisions/quorum/vmOf/index.js";
import { VoterState } from "../../decisions/quorum/VoterState.js";
import { LogFields } from "../../logs/LogFields.js";
import { assertNever } from "../../model/assertNever/index.js";
import { ControlStatus } from "../../operators/ControlStatus.js";
import { DaemonStatus } from "../../operators/DaemonStatus.js";
import { EndpointStatus } from "../../operators/EndpointStatus.js";
import { parseSettings } from "../../settings/parseSettings/index.js";
import { settingsSchema } from "../../settings/settingsSchema.js";
import { callOperatorApi } from "../callOperatorApi/index.js";
import { CommandError } from "../CommandError.js";
import { CommonOptions } from "../CommonOptions.js";
import { ExitCode } from "../ExitCode.js";
import { formatTable } from "../formatTable/index.js";
import { waitUntilInForce } from "../waitUntilInForce/index.js";

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
 * @param print - Prints a text.
 * @returns The program, ready to parse arguments.
 * @example
 * await createProgram((text) => process.stdout.write(text)).parseAsync();
 */
export function createProgram(print: (text: string) => void): Command {
    const program = new Command("gypsumpulley").description("Operates a gypsumpulley fleet.");
    const printResult = (options: { json?: boolean }, value: unknown, text: string): void =>
        print(options.json === true ? `${JSON.stringify(value, undefined, 2)}\n` : text);

    addJsonOption(program.command("check-settings").argument("<file>", "settings file (TOML)"))
        .description("Checks the settings of a daemon.")
        .addHelpText("after", formatExample("check-settings settings.toml"))
        .action((file: string, options: CommonOptions) => {
            const settings = refuseOnError(() => parseSettings(readText(file), file));
            printResult(options, settings, `${file}: ok\n`);
        });
    addJsonOption(program.command("check-manifest").argument("<file>", "manifest (TOML or JSON)"))
        .description("Checks a manifest.")
        .addHelpText("after", formatExample("check-manifest manifest.toml"))
        .action((file: string, options: CommonOptions) => {
            const manifest = refuseOnError(() => parseManifest(readText(file), file));
            printResult(options, manifest, `${file}: ok, ${manifest.services.length} services, ${manifest.routes.length} routes\n`);
        });
    program.command("schema")
        .argument("<kind>", "manifest or settings")
        .option("--json", "print JSON (always the case)")
        .description("Prints the JSON Schema of manifests or settings.")
        .addHelpText("after", formatExample("schema manifest"))
        .action((kind: string) => print(`${JSON.stringify(createJsonSchema(kind), undefined, 2)}\n`));
    addCommonOptions(program.command("apply").argument("<file>", "manifest (TOML or JSON)"))
        .description("Puts a manifest in force, through a process with the control role.")
        .requiredOption("--based-on <version>", "version that the manifest is based on; 0 for the first")
        .option("--change-id <id>", "identity of the change; retrying with the same identity has the same outcome")
        .option("--wait [operators...]", "wait until the manifest is in force on these processes (default: the --operator process)")
        .addHelpText("after", formatExample("apply manifest.toml --based-on 4 --change-id release-118 --wait"))
        .action((file: string, options: ApplyOptions) => applyManifestFile(file, options, printResult));
    addCommonOptions(program.command("status"))
        .description("Shows the configuration, members, links, outcomes and latencies of a process.")
        .addHelpText("after", formatExample("status --operator 127.0.0.1:7003"))
        .action(async (options: CommonOptions) => {
            const status = await get<DaemonStatus>(options, "/status");
            printResult(options, status, renderStatus(status));
        });
    addCommonOptions(program.command("endpoints"))
        .description("Shows the endpoints known to a process.")
        .addHelpText("after", formatExample("endpoints"))
        .action(async (options: CommonOptions) => {
            const endpoints = await get<readonly EndpointStatus[]>(options, "/endpoints");
            printResult(options, endpoints, renderEndpoints(endpoints));
        });
    addCommonOptions(program.command("drain"))
        .description("Drains the backend servers of a proxy, or one endpoint, and waits until no request is in flight.")
        .option("--endpoint <id>", "drain only this endpoint")
        .addHelpText("after", formatExample("drain --operator 127.0.0.1:7003 --endpoint lookup-1"))
        .action((options: DrainOptions) => drain(options, printResult));
    addCommonOptions(program.command("explain").argument("<text>", "request, attempt, endpoint or member"))
        .description("Shows the recent events of a process that mention a text.")
        .addHelpText("after", formatExample("explain 5f0c3c1e"))
        .action(async (text: string, options: CommonOptions) => {
            const events = await get<readonly LogFields[]>(options, `/explain?text=${encodeURIComponent(text)}`);
            printResult(options, events, events.map((event) => `${JSON.stringify(event)}\n`).join(""));
        });
    addControlCommands(program, printResult);
    return program;
}

type PrintResult = (options: { json?: boolean }, value: unknown, text: string) => void;

function addControlCommands(program: Command, printResult: PrintResult): void {
    const control = program.command("control").description("Shows and changes the voting control VMs.");
    addCommonOptions(control.command("list"))
        .description("Shows voters, leader and other control VMs.")
        .addHelpText("after", formatExample("control list"))
        .action(async (options: CommonOptions) => {
            const status = await get<ControlStatus>(options, "/control");
            printResult(options, status, renderControl(status));
        });
    addCommonOptions(control.command("bootstrap"))
        .description("Starts a new log with a control VM as its only voter; run it once in the lifetime of a fleet.")
        .addHelpText("after", formatExample("control bootstrap"))
        .action((options: CommonOptions) => postControlChange(options, "/control/bootstrap", printResult));
    for (const name of ["add", "remove"]) {
        addCommonOptions(control.command(name).argument("<vm>", "VM name or identity"))
            .description(name === "add" ? "Gives a live control VM a vote." : "Removes the vote of a control VM.")
            .addHelpText("after", formatExample(`control ${name} muscat-control-2`))
            .action((vm: string, options: CommonOptions) => postControlChange(options, `/control/${name}?vm=${encodeURIComponent(vm)}`, printResult));
    }
}

function renderControl({ leader, term, voters, others, toleratedLosses, replacements }: ControlStatus): string {
    const voterRows = voters.map((identity) => {
        const replacement = replacements?.find((candidate) => candidate.identity === identity);
        const state = replacement?.state ?? (replacements === undefined ? "unknown" : VoterState.Live);
        return [vmOf(identity), identity, "voter", state, replacement?.waitsFor ?? ""];
    });
    const rows = [...voterRows, ...others.map((identity) => [vmOf(identity), identity, "no vote", VoterState.Live, ""])];
    const losses = toleratedLosses === undefined ? "; the leader knows the states of the voters" : `, ${toleratedLosses} losses tolerated now`;
    return `leader ${leader}, term ${term}${losses}\n${formatTable(["vm", "identity", "part", "state", "replacement waits for"], rows)}`;
}

async function postControlChange(options: CommonOptions, path: string, printResult: PrintResult): Promise<void> {
    const result = await callOperatorApi({ address: options.operator, token: options.token, method: "POST", path });
    printResult(options, result, "done\n");
}

async function applyManifestFile(file: string, options: ApplyOptions, printResult: PrintResult): Promise<void> {
    const basedOnVersion = Number(options.basedOn);
    if (!Number.isSafeInteger(basedOnVersion) || basedOnVersion < 0) {
        throw CommandError.create(ExitCode.Usage, `--based-on: found "${options.basedOn}": not a whole number of at least 0`);
    }
    const changeId = options.changeId ?? randomUUID();
    const body = { text: readText(file), fileName: basename(file), basedOnVersion, changeId };
    const decision = await callOperatorApi<ApplyDecision>({ address: options.operator, token: options.token, method: "POST", path: "/apply", body });
    const version = getAcceptedVersion(decision);
    if (options.wait === undefined) {
        printResult(options, decision, `version ${version} accepted (change ${changeId})\n`);
        return;
    }
    const operators = options.wait === true ? [options.operator] : options.wait;
    const report = await waitUntilInForce(operators, version, WAIT_TIMEOUT_MS, options.token);
    printResult(options, { decision, report }, [
        `version ${version} accepted (change ${changeId})\n`,
        `in force: ${report.inForce.join(", ")}\n`,
        ...report.behind.map((address) => `not yet in force: ${address}\n`),
        ...report.unreachable.map((address) => `unreachable: ${address}\n`),
    ].join(""));
    if (report.inForce.length < operators.length) {
        throw CommandError.create(ExitCode.Unreachable, "the configuration was accepted, but is not confirmed to be in force on all processes");
    }
}

function getAcceptedVersion(decision: ApplyDecision): number {
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

async function drain(options: DrainOptions, printResult: PrintResult): Promise<void> {
    const query = options.endpoint === undefined ? "" : `?endpoint=${encodeURIComponent(options.endpoint)}`;
    await callOperatorApi({ address: options.operator, token: options.token, method: "POST", path: `/drain${query}` });
    for (;;) {
        const endpoints = await get<readonly EndpointStatus[]>(options, "/endpoints");
        const local = endpoints.filter((endpoint) => endpoint.drained !== undefined);
        const selected = local.filter((endpoint) => options.endpoint === undefined || endpoint.endpointId === options.endpoint);
        if (selected.every((endpoint) => endpoint.drained)) {
            printResult(options, selected, `drained: ${selected.map((endpoint) => endpoint.endpointId).join(", ")}\n`);
            return;
        }
        await new Promise((resolve) => setTimeout(resolve, 100));
    }
}

function get<T>(options: CommonOptions, path: string): Promise<T> {
    return callOperatorApi<T>({ address: options.operator, token: options.token, method: "GET", path });
}

function createJsonSchema(kind: string): unknown {
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
        formatTable(["member", "failure domain", "state"], status.members.map((member) =>
            [member.vm, member.failureDomain, member.lost ? "lost" : member.state])),
        formatTable(["customer/class", "requests", "p50 ms", "p99 ms", "max ms"], status.latencies.map((series) =>
            [series.series, String(series.requests), series.p50Ms.toFixed(2), series.p99Ms.toFixed(2), series.maxMs.toFixed(2)])),
    ].join("");
}

function renderEndpoints(endpoints: readonly EndpointStatus[]): string {
    return formatTable(["endpoint", "service", "vm", "failure domain", "state", "slots", "running", "queued"], endpoints.map((endpoint) => [
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

function refuseOnError<T>(action: () => T): T {
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

function addJsonOption(command: Command): Command {
    return command.option("--json", "print JSON");
}

function addCommonOptions(command: Command): Command {
    return addJsonOption(command)
        .addOption(new Option("--operator <address>", "address of the operator API, host:port")
            .default(DEFAULT_OPERATOR).env("GYPSUMPULLEY_OPERATOR"))
        .addOption(new Option("--token <token>", "token for the operator API").env("GYPSUMPULLEY_TOKEN"));
}

function formatExample(line: string): string {
    return `\nExample:\n  gypsumpulley ${line}`;
}
