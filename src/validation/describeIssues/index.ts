import * as z from "zod";

/**
 * Formats the issues of a failed validation, one line each: path of the field, value found, what is allowed.
 *
 * @param error - Error of a zod schema.
 * @param input - Value that was validated.
 * @returns One line for each issue, in the order of the schema.
 * @example
 * describeIssues(schema.safeParse({ port: "x" }).error, { port: "x" });
 * // ["port: found \"x\": Invalid input: expected number, received string"]
 */
export function describeIssues(error: z.ZodError, input: unknown): readonly string[] {
    return error.issues.map((issue) => {
        const path = issue.path.map(String).join(".");
        const value = valueAt(input, issue.path);
        const found = value === undefined ? "nothing" : JSON.stringify(value);
        return `${path === "" ? "(top level)" : path}: found ${found.slice(0, 80)}: ${issue.message}`;
    });
}

function valueAt(input: unknown, path: readonly PropertyKey[]): unknown {
    let value = input;
    for (const key of path) {
        if (typeof value !== "object" || value === null) {
            return undefined;
        }
        value = (value as Record<PropertyKey, unknown>)[key];
    }
    return value;
}
