/**
 * Marks a branch that an exhaustive switch never reaches.
 *
 * @param value - Value whose type the compiler has narrowed to `never`.
 * @throws Error always.
 * @example
 * switch (kind) { default: return assertNever(kind); }
 */
export function assertNever(value: never): never {
    throw new Error(`unexpected variant: ${JSON.stringify(value)}`);
}
