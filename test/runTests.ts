import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";

const RESULT_PATTERN = /^(not ok|ok) \d+ - (.*?)( # SKIP.*)?$/;
const knownTitles = new Set(readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter((line) => line.startsWith("test: ")).map((line) => line.slice(6).trim()));
const passed: string[] = [];
const failed: string[] = [];

const ava = spawn(process.execPath, ["node_modules/ava/entrypoints/cli.mjs", "--tap", ...process.argv.slice(2)], { stdio: ["ignore", "pipe", "inherit"] });
const exit = new Promise<number>((resolve) => ava.once("exit", (code) => resolve(code ?? 1)));
for await (const line of createInterface({ input: ava.stdout })) {
    process.stdout.write(`${line}\n`);
    const result = RESULT_PATTERN.exec(line);
    if (result !== null) {
        (result[1] === "ok" ? passed : failed).push(result[2] ?? "");
    }
}
const code = await exit;
const unexpectedFailures = failed.filter((title) => !knownTitles.has(title));
const knownFailures = failed.filter((title) => knownTitles.has(title));
knownFailures.forEach((title) => process.stdout.write(`KNOWN RED (see KNOWN-RED.txt): ${title}\n`));
const hasCrashed = code !== 0 && failed.length === 0;
const failureCount = unexpectedFailures.length + (hasCrashed ? 1 : 0);
process.stdout.write(`${passed.length} passed, ${failureCount} failed\n`);
process.exitCode = failureCount === 0 && passed.length > 0 ? 0 : 1;
