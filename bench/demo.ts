import { setTimeout as delay } from "node:timers/promises";
import { formatTable } from "../src/cli/formatTable/index.js";
import { HeaderName } from "../src/http/HeaderName.js";
import { LocalFleet } from "./LocalFleet/index.js";
import { makeBody } from "./makeBody/index.js";
import { TimedRequest } from "./TimedRequest.js";
import { sendTimedRequest } from "./sendTimedRequest/index.js";

const BUNDLE_BYTES = 8 * 1_024 * 1_024;
const WARM_UP_REQUESTS = 20;

const fleet = await LocalFleet.create({
    manifestFile: "examples/muscat/manifest.toml",
    failureDomains: ["mutrah", "ruwi", "seeb"],
    standIns: [
        { service: "lookup-front", serviceMs: 2, bytesPerMs: 0 },
        { service: "submissions-desk", serviceMs: 5, bytesPerMs: 0 },
        { service: "archive", serviceMs: 2, bytesPerMs: 0 },
    ],
});
let hasFailed = false;
try {
    hasFailed = !await runSteps();
}
finally {
    if (process.argv.includes("--keep") && !hasFailed) {
        printCommands();
        await new Promise((resolve) => process.once("SIGINT", resolve));
    }
    await fleet.stop();
}
process.exitCode = hasFailed ? 1 : 0;

interface Step {
    readonly name: string;
    readonly service: string;
    readonly request: Omit<TimedRequest, "address">;
    readonly isExpectedBody: (body: Buffer) => boolean;
}

async function runSteps(): Promise<boolean> {
    const bundle = makeBody("/archive/bundle-7", BUNDLE_BYTES);
    const steps: readonly Step[] = [
        ...["kitab", "qalam", "madrasa"].map((word): Step => ({
            name: `lookup ${word}`,
            service: "lookup-front",
            request: { method: "GET", path: `/lookup/${word}` },
            isExpectedBody: (body) => body.equals(makeBody(`/lookup/${word}`, 512)),
        })),
        {
            name: "submission",
            service: "submissions-desk",
            request: { method: "POST", path: "/submissions", headers: { "x-work-id": "correction-1" }, body: "a correction" },
            isExpectedBody: (body) => body.toString().includes("correction-1"),
        },
        {
            name: "bundle of 8 MiB",
            service: "archive",
            request: { method: "GET", path: `/archive/bundle-7?bytes=${BUNDLE_BYTES}` },
            isExpectedBody: (body) => body.equals(bundle),
        },
    ];
    await warmUp();
    const rows: (readonly string[])[] = [];
    let isEveryBodyIntact = true;
    for (const [index, step] of steps.entries()) {
        const node = fleet.nodes.find((candidate) => candidate.endpointId.startsWith(step.service));
        const entry = fleet.nodes[index % fleet.nodes.length];
        const direct = await sendTimedRequest({ ...step.request, address: node?.standInAddress ?? "" });
        const proxied = await sendTimedRequest({ ...step.request, address: entry?.callerAddress ?? "" });
        const isIntact = step.isExpectedBody(proxied.body);
        isEveryBodyIntact &&= isIntact;
        rows.push([
            step.name,
            String(proxied.status),
            String(proxied.headers[HeaderName.Outcome]),
            isIntact ? "whole" : "NOT WHOLE",
            entry?.name ?? "",
            String(proxied.headers[HeaderName.Server]),
            `${(proxied.durationMs - direct.durationMs).toFixed(2)} ms`,
        ]);
    }
    process.stdout.write(formatTable(["request", "status", "outcome", "answer", "entry", "backend server", "added"], rows));
    return isEveryBodyIntact;
}

async function warmUp(): Promise<void> {
    for (let count = 0; count < WARM_UP_REQUESTS; count += 1) {
        for (const node of fleet.nodes) {
            await sendTimedRequest({ address: node.callerAddress, method: "GET", path: "/lookup/warm-up" });
            await sendTimedRequest({ address: node.standInAddress, method: "GET", path: "/lookup/warm-up" });
        }
        await delay(1);
    }
}

function printCommands(): void {
    const [node] = fleet.nodes;
    process.stdout.write([
        "\nThe fleet is up; end it with Ctrl-C. Commands to try:",
        `  curl -i http://${node?.callerAddress}/lookup/kitab`,
        `  node dist/src/cli/gypsumpulley.js status --operator ${node?.operatorAddress}`,
        `  node dist/src/cli/gypsumpulley.js endpoints --operator ${node?.operatorAddress}`,
        `  node dist/src/cli/gypsumpulley.js apply examples/muscat/manifest.toml --based-on 1 --operator ${fleet.controlOperatorAddress}`,
        "",
    ].join("\n"));
}
