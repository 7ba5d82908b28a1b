/** Period on the clock of the soak. */
export interface Period {
    readonly fromMs: number;
    readonly untilMs: number;
}
