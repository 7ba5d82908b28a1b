/**
 * Formats rows as a table with aligned columns.
 *
 * @param header - Names of the columns.
 * @param rows - Cells of each row.
 * @returns The table; each line ends with a line break.
 * @example
 * formatTable(["vm", "state"], [["a", "serving"]]); // "vm  state\na   serving\n"
 */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const all = [header, ...rows];
    const widths = header.map((_, column) => Math.max(...all.map((row) => (row[column] ?? "").length)));
    const lines = all.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
    return `${lines.join("\n")}\n`;
}
