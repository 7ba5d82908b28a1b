/** Whether a settle message only asks, or also voids an attempt that has not started. */
export enum SettleMode {
    Query = "query",
    Void = "void",
}
