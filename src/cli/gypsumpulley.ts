#!/usr/bin/env node
import { CommanderError } from "commander";
import { toError } from "../model/toError/index.js";
import { CommandError } from "./CommandError.js";
import { createProgram } from "./createProgram/index.js";
import { ExitCode } from "./ExitCode.js";

const program = createProgram((text) => process.stdout.write(text));
program.exitOverride();
program.commands.flatMap((command) => [command, ...command.commands]).forEach((command) => command.exitOverride());
try {
    await program.parseAsync();
}
catch (thrown) {
    process.exitCode = getExitCode(thrown);
}

function getExitCode(thrown: unknown): ExitCode {
    if (thrown instanceof CommanderError) {
        return thrown.exitCode === 0 ? ExitCode.Done : ExitCode.Usage;
    }
    process.stderr.write(`${toError(thrown).message}\n`);
    return thrown instanceof CommandError ? thrown.exitCode : ExitCode.Refused;
}
