import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";

const RESULT = /^(not ok|ok) \d+ - (.*?)( # SKIP.*)?$/;
const known = new Set(readFileSync("KNOWN-RED.txt", "utf8").split("\n").filter((line) => line.startsWith("test: ")).map((line) => line.slice(6).trim()));
const passed: string[] = [];
const failed: string[] = [];

const ava = spawn(process.execPath, ["node_modules/ava/entrypoints/cli.mjs", "--tap", ...process.argv.slice(2)], { stdio: ["ignore", "pipe", "inherit"] });
const exit = new Promise<number>((resolve) => ava.once("exit", (code) => resolve(code ?? 1)));
for await (const line of createInterface({ input: ava.stdout })) {
    process.stdout.write(`${line}\n`);
    const result = RESULT.exec(line);
    if (result !== null) {
        (result[1] === "ok" ? passed : failed).push(result[2] ?? "");
    }
}
const code = await exit;
const unexpected = failed.filter((title) => !known.has(title));
const passedOver = failed.filter((title) => known.has(title));
passedOver.forEach((title) => process.stdout.write(`KNOWN RED (see KNOWN-RED.txt): ${title}\n`));
const crashed = code !== 0 && failed.length === 0;
const failures = unexpected.length + (crashed ? 1 : 0);
process.stdout.write(`${passed.length} passed, ${failures} failed\n`);
process.exitCode = failures === 0 && passed.length > 0 ? 0 : 1;
