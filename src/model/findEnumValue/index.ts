/**
 * Finds the enum member with a given value.
 *
 * @param values - The enum.
 * @param text - Value to look for.
 * @returns The member, or undefined if there is none.
 * @example
 * findEnumValue(Outcome, "ran"); // Outcome.Ran
 */
export function findEnumValue<T extends string>(values: Readonly<Record<string, T>>, text: string | undefined): T | undefined {
    return Object.values(values).find((value) => value === text);
}
