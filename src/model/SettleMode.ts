/** Whether a settle message only queries an attempt, or also voids it if it has not started. */
export enum SettleMode {
    Query = "query",
    Void = "void",
}
