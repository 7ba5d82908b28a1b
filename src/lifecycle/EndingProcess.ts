/** The part of the process object that ends it. */
export interface EndingProcess {
    readonly pid: number;
    getActiveResourcesInfo(): readonly string[];
    exit(code: number): unknown;
    kill(pid: number, signal: NodeJS.Signals): unknown;
}
