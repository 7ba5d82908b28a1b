import { readFileSync } from "node:fs";
import { parse } from "smol-toml";

const DEPLOY_FILE = "deploy/system.toml";
const PROGRAM = "target/gypsumpulley.cjs";

/**
 * Reads the command by which the deploy file runs a role.
 *
 * @param role - Name of the role.
 * @param program - JavaScript file to run instead of the one in the command.
 * @returns The arguments for Node.js.
 * @throws Error if the deploy file has no such role.
 * @example
 * readRunCommand("proxy", "target/gypsumpulley.cjs"); // ["--max-old-space-size=120", …]
 */
export function readRunCommand(role: string, program: string): readonly string[] {
    const { roles } = parse(readFileSync(DEPLOY_FILE, "utf8")) as { readonly roles: Readonly<Record<string, { readonly run: string } | undefined>> };
    const command = roles[role]?.run;
    if (command === undefined) {
        throw new Error(`${DEPLOY_FILE} has no role "${role}"`);
    }
    return command.split(" ").slice(1).map((word) => word === PROGRAM ? program : word);
}
